// The virtual clock: callbacks in the order of their times, and of their insertion where times are equal.

#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Wisteria::Measure {

class EventQueue
{
public:
    using Callback = std::function<void()>;

    [[nodiscard]] absl::Time now() const { return m_now; }

    void at(absl::Time time, Callback callback)
    {
        m_entries.push(Entry{std::max(time, m_now), m_inserted++, std::move(callback)});
    }
    void after(absl::Duration delay, Callback callback) { at(m_now + delay, std::move(callback)); }

    // Runs until the given time, or until nothing is left.
    void runUntil(absl::Time end)
    {
        while (!m_entries.empty() && m_entries.top().time <= end) {
            // The entry is taken out before its callback adds others.
            Entry entry = std::move(const_cast<Entry &>(m_entries.top()));
            m_entries.pop();
            m_now = entry.time;
            entry.callback();
        }
    }

private:
    struct Entry
    {
        absl::Time time;
        std::uint64_t number;
        Callback callback;
    };
    struct Later
    {
        bool operator()(const Entry &a, const Entry &b) const
        {
            return a.time != b.time ? a.time > b.time : a.number > b.number;
        }
    };

    absl::Time m_now{absl::UnixEpoch()};
    std::uint64_t m_inserted{0};
    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
};

} // namespace Wisteria::Measure
