// Strongly typed identifiers: two ids of different kinds never convert into each other.

#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <utility>

namespace Wisteria {

// Wraps a representation (an integer or a string) under a tag type. Ids order, hash and print like their
// value.
template <typename Tag, typename Rep>
class StrongId
{
public:
    using Representation = Rep;

    StrongId() = default;
    explicit StrongId(Rep value) : m_value(std::move(value)) { }

    [[nodiscard]] const Rep &value() const { return m_value; }

    auto operator<=>(const StrongId &) const = default;
    bool operator==(const StrongId &) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const StrongId &id)
    {
        return H::combine(std::move(state), id.m_value);
    }

    friend std::ostream &operator<<(std::ostream &out, const StrongId &id) { return out << id.m_value; }

private:
    Rep m_value{};
};

} // namespace Wisteria
