// Chooses which changed records the next messages carry: each a bounded number of times, the least sent
// first.

#pragma once

#include <absl/numeric/bits.h>

#include <algorithm>
#include <map>
#include <vector>

namespace Wisteria::detail {

// How often a record is sent after its last change. A few times the logarithm reaches every member with high
// probability; the full exchange repairs the rest.
[[nodiscard]] inline unsigned sendLimit(std::size_t members)
{
    constexpr unsigned sendsPerDoubling = 3;
    return sendsPerDoubling * static_cast<unsigned>(absl::bit_width(members + 1));
}

template <typename Id>
class Rumors
{
public:
    void add(const Id &id) { m_sent[id] = 0; }
    void remove(const Id &id) { m_sent.erase(id); }
    [[nodiscard]] bool isEmpty() const { return m_sent.empty(); }

    // The next records to send, each counted as sent once more.
    [[nodiscard]] std::vector<Id> take(std::size_t most, unsigned limit)
    {
        std::vector<std::pair<unsigned, Id>> order;
        order.reserve(m_sent.size());
        for (const auto &[id, sent] : m_sent)
            order.emplace_back(sent, id);
        const auto n = std::min(most, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
        std::vector<Id> chosen;
        for (std::size_t i = 0; i < n; ++i) {
            chosen.push_back(order[i].second);
            if (order[i].first + 1 >= limit)
                m_sent.erase(order[i].second);
            else
                ++m_sent[order[i].second];
        }
        return chosen;
    }

private:
    // Invariant: each value is below the limit at which take() drops the record.
    std::map<Id, unsigned> m_sent;
};

} // namespace Wisteria::detail
