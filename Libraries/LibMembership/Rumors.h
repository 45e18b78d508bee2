// Chooses which changed records the next messages carry: each a bounded number of times, the least sent
// first.

#pragma once

#include <absl/numeric/bits.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace Wisteria::detail {

// How often a record is sent after its last change. A few times the logarithm reaches every member with high
// probability; the full exchange repairs the rest.
[[nodiscard]] inline unsigned sendLimit(std::size_t members)
{
    constexpr unsigned sendsPerDoubling = 2;
    return sendsPerDoubling * static_cast<unsigned>(absl::bit_width(members + 1));
}

[[nodiscard]] inline std::uint64_t saltOf(const std::string &id)
{
    return XXH64(id.data(), id.size(), 0);
}

template <typename Id>
class Rumors
{
public:
    // The salt differs by router, so that routers do not all send the same records first.
    explicit Rumors(std::uint64_t salt) : m_salt(salt) { }

    void add(const Id &id) { m_sent[id] = 0; }
    void remove(const Id &id) { m_sent.erase(id); }
    [[nodiscard]] bool isEmpty() const { return m_sent.empty(); }

    // The next records to send, each counted as sent once more.
    [[nodiscard]] std::vector<Id> take(std::size_t most, unsigned limit)
    {
        std::vector<Candidate> order;
        order.reserve(m_sent.size());
        for (const auto &[id, sent] : m_sent)
            order.emplace_back(sent, XXH64(id.value().data(), id.value().size(), m_salt), id);
        const auto n = std::min(most, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
        std::vector<Id> chosen;
        for (std::size_t i = 0; i < n; ++i) {
            const auto &[sent, hash, id] = order[i];
            chosen.push_back(id);
            if (sent + 1 >= limit)
                m_sent.erase(id);
            else
                ++m_sent[id];
        }
        return chosen;
    }

private:
    using Candidate = std::tuple<unsigned, std::uint64_t, Id>;

    std::uint64_t m_salt;
    // Invariant: each value is below the limit at which take() drops the record.
    std::map<Id, unsigned> m_sent;
};

} // namespace Wisteria::detail
