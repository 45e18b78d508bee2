// A queue of events on a virtual clock, and the seeds of randomized runs.

#pragma once

#include <LibCore/Random.h>

#include <absl/time/time.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

namespace Wisteria {

class VirtualTime
{
public:
    using Step = std::function<void()>;

    [[nodiscard]] absl::Time now() const { return m_now; }

    void after(absl::Duration delay, Step step) { m_steps.emplace(m_now + delay, std::move(step)); }

    // Runs the next step; false when none is left before `end`.
    bool runNext(absl::Time end)
    {
        if (m_steps.empty() || m_steps.begin()->first > end)
            return false;
        auto node = m_steps.extract(m_steps.begin());
        m_now = node.key();
        node.mapped()();
        return true;
    }

    // When no step is left before this time.
    void advanceTo(absl::Time time) { m_now = std::max(m_now, time); }

private:
    absl::Time m_now{absl::UnixEpoch() + absl::Hours(1)};
    // Steps of one moment run in the order in which they were added.
    std::multimap<absl::Time, Step> m_steps;
};

class TestRandom
{
public:
    explicit TestRandom(std::uint64_t seed) : m_source(seed) { }

    [[nodiscard]] RandomSource &source() { return m_source; }
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return m_source.below(bound); }
    [[nodiscard]] bool oneIn(std::uint64_t n) { return below(n) == 0; }

    [[nodiscard]] absl::Duration between(absl::Duration least, absl::Duration most)
    {
        const std::int64_t spread = absl::ToInt64Microseconds(most - least);
        return least
            + absl::Microseconds(static_cast<std::int64_t>(below(static_cast<std::uint64_t>(spread) + 1)));
    }

    // Mostly a millisecond or two, now and then seconds.
    [[nodiscard]] absl::Duration networkDelay()
    {
        return oneIn(20) ? between(absl::ZeroDuration(), absl::Seconds(8))
                         : between(absl::Microseconds(200), absl::Milliseconds(3));
    }

private:
    SeededRandom m_source;
};

// Runs `check` for `count` seeds from 1, or for the one in WISTERIA_SEED. It returns what is broken, or
// nothing.
[[nodiscard]] inline std::string firstBrokenSeed(std::uint64_t count,
                                                 const std::function<std::string(std::uint64_t)> &check)
{
    std::uint64_t first = 1;
    if (const char *it = std::getenv("WISTERIA_SEED")) {
        first = std::strtoull(it, nullptr, 10);
        count = 1;
    }
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        if (std::string broken = check(seed); !broken.empty())
            return "WISTERIA_SEED=" + std::to_string(seed) + ": " + broken;
    }
    return {};
}

} // namespace Wisteria
