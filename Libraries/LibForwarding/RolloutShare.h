// Decides for each attempt of this router which version of a service it may use during a rollout, and keeps
// the counts by which the share of the new version is limited.
//
// The share holds for each router by itself, so it holds for the sum over any number of routers, also while
// they are cut off from each other. A router without a current grant sends nothing to the new version.
//
// Performs no I/O. Invariant: the time passed in never goes back.

#pragma once

#include <LibForwarding/RolloutMessages.h>
#include <LibForwarding/RolloutOrder.h>

#include <absl/time/time.h>

#include <cstddef>
#include <optional>

namespace Wisteria {

// Which targets an attempt may use.
enum class VersionChoice { Any, BaselineOnly, CandidateOnly };

class RolloutShare
{
public:
    // How long a grant is valid after it was received.
    static constexpr absl::Duration grantLifetime = absl::Seconds(2);
    // While switching, a router without a current grant uses both versions for this long.
    static constexpr absl::Duration switchingLifetime = absl::Seconds(5);
    // Fraction of the requests that go to new targets during a wave of the phase Loading.
    static constexpr double waveFraction = 0.4;
    // A fault that shows only under load has to show at more than one target to count as one of the version.
    static constexpr std::size_t minWaveTargets = 2;

    // The fleet's size and the tolerated excess (RolloutLimits::slack). If the excess is large enough for the
    // fleet, fractions of an attempt are rounded at random, so that routers with few requests also take part.
    // Until this is called, they are rounded down.
    void setFleet(std::size_t routers, double slack);
    // Starts or ends an order. The same order again changes nothing but the state.
    void setOrder(const std::optional<RolloutRecord> &, absl::Time now);
    // Grants for another order are ignored.
    void grant(const RolloutGrant &, absl::Time now);
    // `draw` is uniform in [0, 1). With CandidateOnly, the caller falls back to the old version if no new
    // target takes the attempt, unless the rollout is completed.
    [[nodiscard]] VersionChoice choose(double draw, absl::Time now) const;
    // An attempt is being sent to a target of this side.
    void recordAttempt(VersionSide);

    [[nodiscard]] const std::optional<RolloutRecord> &record() const { return m_record; }
    [[nodiscard]] const RolloutCounts &counts() const { return m_counts; }
    [[nodiscard]] RolloutPhase phase(absl::Time now) const;
    // Since when the order is known to the fleet, as far as this router knows.
    [[nodiscard]] absl::Duration orderAge(absl::Time now) const;
    // The share is in a wave: attempts at new targets go to only waveTargets() of them.
    [[nodiscard]] bool concentrates(absl::Time now) const;
    // New targets that carry as much load as the old ones do, with waveFraction of the requests; at least
    // minWaveTargets, also if there are fewer.
    [[nodiscard]] static std::size_t waveTargets(std::size_t baselineTargets);

private:
    [[nodiscard]] bool hasGrant(absl::Time now) const { return now - m_grantedAt < grantLifetime; }
    [[nodiscard]] bool mayUseCandidate(double draw) const;

    std::optional<RolloutRecord> m_record;
    RolloutCounts m_counts;
    // Invariant: goes up only, except to RolledBack, or to the verdict that the store holds.
    RolloutPhase m_phase{RolloutPhase::Idle};
    double m_share{0};
    absl::Time m_grantedAt{absl::InfinitePast()};
    absl::Time m_orderedAt{absl::InfinitePast()};
    bool m_roundsAtRandom{false};
};

} // namespace Wisteria
