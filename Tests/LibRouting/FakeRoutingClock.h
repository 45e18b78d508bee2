// A virtual clock that runs scheduled callbacks in time order. Callbacks with equal times run in the order in
// which they were scheduled.

#pragma once

#include <absl/time/time.h>

#include <functional>
#include <map>

namespace Wisteria {

class FakeRoutingClock
{
public:
    using Callback = std::function<void()>;

    [[nodiscard]] absl::Time now() const { return m_now; }
    // A time in the past counts as now.
    void at(absl::Time time, Callback callback)
    {
        m_queue.emplace(std::max(time, m_now), std::move(callback));
    }
    void after(absl::Duration delay, Callback callback) { at(m_now + delay, std::move(callback)); }

    // Runs the next callback and moves the clock to its time. Returns false when none is due by `end`.
    bool runNext(absl::Time end)
    {
        if (m_queue.empty() || m_queue.begin()->first > end)
            return false;
        auto node = m_queue.extract(m_queue.begin());
        m_now = node.key();
        node.mapped()();
        return true;
    }

private:
    absl::Time m_now{absl::FromUnixSeconds(1000)};
    std::multimap<absl::Time, Callback> m_queue;
};

} // namespace Wisteria
