// A number of requests per unit of time.

#pragma once

#include <absl/time/time.h>

#include <compare>

namespace Wisteria {

class RequestRate
{
public:
    [[nodiscard]] static constexpr RequestRate perSecond(double n) { return RequestRate(n); }

    [[nodiscard]] constexpr double requestsPerSecond() const { return m_perSecond; }
    // Mean time between two requests. The rate must be positive.
    [[nodiscard]] absl::Duration interval() const { return absl::Seconds(1 / m_perSecond); }
    auto operator<=>(const RequestRate &) const = default;

private:
    explicit constexpr RequestRate(double n) : m_perSecond(n) { }

    double m_perSecond;
};

} // namespace Wisteria
