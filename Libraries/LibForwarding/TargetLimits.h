// Keeps the limits on requests that targets have named in their answers.
//
// A limit holds for all routers together, so routers tell each other what they have heard. Answers overtake
// each other: one that was written before a limit may arrive after it. What relaxes a limit therefore counts
// only from a request that was sent after the limit was last named.
//
// Performs no I/O.

#pragma once

#include <LibForwarding/TargetNotices.h>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace Wisteria {

// What is known of the limit of one process.
struct TargetLimit
{
    TargetProcess process;
    // Empty if the target has ended its limit.
    std::optional<RequestRate> rate;
    // When the target last said so. Invariant: never decreases while the process lives.
    absl::Time statedAt;
    // Since when a limit has been in force without a break, at whatever rate.
    absl::Time firstNamedAt;

    // No answer has confirmed a limit for longer than this while there are requests.
    static constexpr absl::Duration staleAfter = absl::Seconds(2);
    // The limit may have ended without anybody having heard of it.
    [[nodiscard]] bool isStale(absl::Time now) const { return now - statedAt > staleAfter; }
};

class TargetLimits
{
public:
    // The oldest limits are dropped first.
    static constexpr std::size_t maxLimits = 4096;
    // A higher limit has no effect: no target reaches it.
    static constexpr RequestRate highestRate = RequestRate::perSecond(10000);
    // Other routers are told of the end of a limit for this long.
    static constexpr absl::Duration endedLifetime = absl::Minutes(1);

    // Records what an answer said: the limit, or that there is none. `requestSentAt` is when its request was
    // sent. Ignored if a later process of the target is known.
    TargetLimitChange recordNamed(const TargetProcess &, RequestRate, absl::Time requestSentAt,
                                  absl::Time now);
    TargetLimitChange recordAbsent(const TargetProcess &, absl::Time requestSentAt);
    // Merges what another router knows. The latest statement holds.
    TargetLimitChange merge(const TargetLimit &);
    // Drops the limit of an earlier process.
    void processStarted(const TargetProcess &);

    // The limit in force; null if there is none.
    [[nodiscard]] const TargetLimit *find(const TargetId &) const;
    [[nodiscard]] std::vector<TargetLimit> inForce() const;
    // Limits in force and those that ended a short time ago, the latest statements first.
    [[nodiscard]] std::vector<TargetLimit> recent(std::size_t most, absl::Time now) const;
    [[nodiscard]] std::size_t countInForce() const;

private:
    [[nodiscard]] static bool isInForce(const TargetLimit &limit)
    {
        return limit.rate && *limit.rate <= highestRate;
    }
    // Null if a later process of the target is known. Forgets the limit of an earlier process.
    [[nodiscard]] TargetLimit *findProcess(const TargetProcess &);
    TargetLimitChange add(const TargetLimit &);
    static TargetLimitChange apply(TargetLimit &known, std::optional<RequestRate> rate, absl::Time statedAt,
                                   absl::Time firstNamedAt);

    absl::flat_hash_map<TargetId, TargetLimit> m_limits;
    // Invariant: holds each key of `m_limits` once, oldest first.
    std::deque<TargetId> m_order;
};

} // namespace Wisteria
