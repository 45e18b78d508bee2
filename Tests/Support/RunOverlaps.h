// Measures for how long a run of a stream is active beside those that were started after it.

#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace Wisteria {

class RunOverlaps
{
public:
    // Overlaps of a run with a shorter gap between them are added up.
    explicit RunOverlaps(absl::Duration minGap) : m_minGap(minGap) { }

    // Runs are numbered in the order in which they are first started. Times never go back.
    void start(int run, absl::Time at)
    {
        const auto [started, isNew] = m_active.try_emplace(run);
        if (!isNew)
            return;
        for (auto it = m_active.begin(); it != started; ++it) {
            if (it->second.laterRuns++ == 0)
                beginOverlap(it->second, at);
        }
        // It may be one that goes on after a pause.
        started->second.laterRuns = static_cast<int>(std::distance(std::next(started), m_active.end()));
        if (started->second.laterRuns > 0)
            beginOverlap(started->second, at);
    }

    void end(int run, absl::Time at) { remove(run, at, true); }

    // The run was never at work.
    void discard(int run, absl::Time at) { remove(run, at, false); }

    [[nodiscard]] absl::Duration longest(absl::Time now) const
    {
        auto out = m_longest;
        for (const auto &[run, it] : m_active) {
            if (it.laterRuns > 0)
                out = std::max(out, it.earlier + (now - it.startedAt));
        }
        return out;
    }

private:
    // A run and its overlap with later ones.
    struct First
    {
        int laterRuns{0};
        absl::Time startedAt;
        absl::Time endedAt{absl::InfinitePast()};
        // Overlaps before the present one that are added to it.
        absl::Duration earlier;
    };

    void beginOverlap(First &first, absl::Time at)
    {
        if (at - first.endedAt >= m_minGap)
            first.earlier = absl::ZeroDuration();
        first.startedAt = at;
    }

    void endOverlap(First &first, absl::Time at)
    {
        first.earlier += at - first.startedAt;
        first.endedAt = at;
        m_longest = std::max(m_longest, first.earlier);
    }

    void remove(int run, absl::Time at, bool wasAtWork)
    {
        const auto removed = m_active.find(run);
        if (removed == m_active.end())
            return;
        for (auto it = m_active.begin(); it != removed; ++it) {
            if (--it->second.laterRuns == 0 && wasAtWork)
                endOverlap(it->second, at);
        }
        if (removed->second.laterRuns > 0 && wasAtWork)
            endOverlap(removed->second, at);
        m_active.erase(removed);
    }

    absl::Duration m_minGap;
    std::map<int, First> m_active;
    absl::Duration m_longest;
};

} // namespace Wisteria
