// The version rule of each attempt, and the local limit of the share.

#include <LibForwarding/RolloutShare.h>

#include <algorithm>
#include <cmath>

namespace Wisteria {

namespace detail {

// A router that is behind its share catches up with at most this multiple of it, or with
// RolloutShare::waveFraction of its requests if that is more.
constexpr double catchUpFactor = 2;

// Fractions of an attempt are rounded at random if the square of the tolerated excess is at least this
// multiple of the number of routers. Each router's rounding error is below one attempt, so the probability of
// a sum above the excess is at most exp(-2 * 8), about 1e-7 (Hoeffding's inequality).
constexpr double roundingMargin = 8;

} // namespace detail

void RolloutShare::setOrder(const std::optional<RolloutRecord> &record, absl::Time now)
{
    if (!record || !m_record || m_record->order != record->order) {
        m_counts = {};
        m_phase = RolloutPhase::Idle;
        m_share = 0;
        m_grantedAt = absl::InfinitePast();
        m_orderedAt = now;
    }
    m_record = record;
    if (!record)
        return;
    // The store's verdict overrides a phase that a coordinator has only intended.
    if (record->effectiveState() == RolloutState::Completed)
        m_phase = RolloutPhase::Completed;
    else if (record->effectiveState() == RolloutState::RolledBack)
        m_phase = RolloutPhase::RolledBack;
}

void RolloutShare::grant(const RolloutGrant &grant, absl::Time now)
{
    if (!m_record || m_record->order != grant.order)
        return;
    // The age is told by whoever has known the order for longest.
    m_orderedAt = std::min(m_orderedAt, now - grant.orderAge);
    // An earlier phase is that of a coordinator that does not know the current one yet. A verdict is final.
    if (grant.phase < m_phase || m_phase == RolloutPhase::Completed)
        return;
    m_phase = grant.phase;
    m_share = grant.share;
    m_grantedAt = now;
}

VersionChoice RolloutShare::choose(double draw, absl::Time now) const
{
    if (!m_record)
        return VersionChoice::Any;
    switch (m_phase) {
    case RolloutPhase::Completed:
        return VersionChoice::CandidateOnly;
    case RolloutPhase::RolledBack:
        return VersionChoice::BaselineOnly;
    case RolloutPhase::Switching:
        if (hasGrant(now))
            return VersionChoice::CandidateOnly;
        return now - m_grantedAt < switchingLifetime ? VersionChoice::Any : VersionChoice::BaselineOnly;
    case RolloutPhase::Idle:
    case RolloutPhase::Probing:
    case RolloutPhase::Canary:
    case RolloutPhase::Loading:
        break;
    }
    return hasGrant(now) && mayUseCandidate(draw) ? VersionChoice::CandidateOnly
                                                  : VersionChoice::BaselineOnly;
}

bool RolloutShare::mayUseCandidate(double draw) const
{
    const bool isWave = m_phase == RolloutPhase::Loading;
    const double pace = std::max(waveFraction, detail::catchUpFactor * m_share);
    const double allowance =
        m_share * static_cast<double>(m_counts.total) - static_cast<double>(m_counts.candidate);
    // The draw spreads the attempts, so that a regular sequence of routes does not send only one of them.
    if (allowance >= 1)
        return draw < pace;
    if (!m_roundsAtRandom || allowance < 0)
        return false;
    return draw < std::max(m_share, isWave ? pace * std::min(1.0, 2 * allowance) : 0.0);
}

void RolloutShare::recordAttempt(VersionSide side)
{
    ++m_counts.total;
    if (side == VersionSide::Candidate)
        ++m_counts.candidate;
}

void RolloutShare::setFleet(std::size_t routers, double slack)
{
    m_roundsAtRandom = slack * slack >= detail::roundingMargin * static_cast<double>(routers);
}

RolloutPhase RolloutShare::phase(absl::Time) const
{
    return m_phase;
}

absl::Duration RolloutShare::orderAge(absl::Time now) const
{
    return m_record ? now - m_orderedAt : absl::ZeroDuration();
}

bool RolloutShare::concentrates(absl::Time now) const
{
    return m_phase == RolloutPhase::Loading && m_share > 0 && hasGrant(now);
}

std::size_t RolloutShare::waveTargets(std::size_t baselineTargets)
{
    const double targets = static_cast<double>(baselineTargets) * waveFraction / (1 - waveFraction);
    return std::max(minWaveTargets, static_cast<std::size_t>(std::round(targets)));
}

} // namespace Wisteria
