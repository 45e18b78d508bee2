// Waves of the phase Loading.

#include <LibForwarding/RolloutCoordinator.h>
#include <LibForwarding/RolloutShare.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Accumulating time of a wave, as a fraction of the order's duration and within these bounds.
constexpr double waveFractionOfDuration = 0.08;
constexpr absl::Duration shortestWave = absl::Seconds(1);
constexpr absl::Duration longestWave = absl::Seconds(8);
constexpr absl::Duration shortestSpending = absl::Milliseconds(500);
// Orders of this duration or more need two waves, shorter ones one.
constexpr absl::Duration twoWavesDuration = absl::Seconds(60);
// A wave counts if this many attempts went to new targets, and at least this fraction of what its pace
// allows.
constexpr std::uint64_t minWaveAttempts = 8;
constexpr double minWavePace = 0.5;
// A new target was loaded like an old one with this fraction of its runs.
constexpr double minWaveLoad = 0.5;
// If a wave has not loaded the targets, the next one accumulates for longer by this factor.
constexpr double waveGrowth = 2;

// In this time, what has accumulated is spent at the pace of a wave.
absl::Duration spendingTime(absl::Duration accumulatingTime, double share)
{
    const double surplus = RolloutShare::waveFraction - share;
    if (surplus <= share)
        return accumulatingTime;
    return std::max(shortestSpending, accumulatingTime * (share / surplus));
}

} // namespace detail

absl::Duration RolloutCoordinator::firstAccumulatingTime(const RolloutOrder &order)
{
    return std::clamp(detail::waveFractionOfDuration * order.duration, detail::shortestWave,
                      detail::longestWave);
}

int RolloutCoordinator::neededWaves(const RolloutOrder &order)
{
    return order.duration >= detail::twoWavesDuration ? 2 : 1;
}

void RolloutCoordinator::advanceWave(Rollout &it, absl::Time now)
{
    const auto elapsed = now - it.wave.stepAt;
    if (it.wave.step != Wave::Step::Accumulating)
        it.wave.load = std::max(it.wave.load, reportedLoad(it, now));
    switch (it.wave.step) {
    case Wave::Step::Accumulating:
        if (elapsed < it.accumulatingTime)
            return;
        it.wave = {Wave::Step::Spending, now, it.reports.counts(), 0};
        break;
    case Wave::Step::Spending:
        if (elapsed < detail::spendingTime(it.accumulatingTime, shareSafety * m_limits.maxShare))
            return;
        it.wave.step = Wave::Step::Reporting;
        it.wave.stepAt = now;
        break;
    case Wave::Step::Reporting:
        if (elapsed < messageInterval(m_routers.alive) + messageMargin)
            return;
        finishWave(it, now);
        return;
    }
    it.grantAt = now;
}

void RolloutCoordinator::finishWave(Rollout &it, absl::Time now)
{
    if (isWaveEffective(it, now)) {
        ++it.effectiveWaves;
        if (it.wave.load >= detail::minWaveLoad)
            it.isLoadReached = true;
        else
            it.accumulatingTime *= detail::waveGrowth;
    }
    it.wave = {.stepAt = now};
}

absl::Duration RolloutCoordinator::waveTime(const Rollout &it) const
{
    return it.accumulatingTime + detail::spendingTime(it.accumulatingTime, shareSafety * m_limits.maxShare)
        + messageInterval(m_routers.alive) + messageMargin + 2 * tickInterval;
}

double RolloutCoordinator::reportedLoad(const Rollout &it, absl::Time now) const
{
    const auto runs = it.reports.runs(heardSince(now));
    const auto targets = it.reports.baselineProcesses();
    // With less than one run per target, the runs are short, and what counts is how many are started.
    if (runs.baseline <= 0 || static_cast<std::size_t>(runs.baseline) < targets)
        return 1;
    const double perOld = static_cast<double>(runs.baseline) / static_cast<double>(targets);
    return runs.candidate / static_cast<double>(RolloutShare::waveTargets(targets)) / perOld;
}

bool RolloutCoordinator::isWaveEffective(const Rollout &it, absl::Time now) const
{
    const auto &before = it.wave.countsBefore;
    const auto &after = it.reports.counts();
    const auto spending = detail::spendingTime(it.accumulatingTime, shareSafety * m_limits.maxShare);
    const auto reported = spending + (now - it.wave.stepAt);
    const double inWave =
        static_cast<double>(after.total - before.total) * absl::FDivDuration(spending, reported);
    const auto attempts = after.candidate - before.candidate;
    return attempts >= detail::minWaveAttempts
        && static_cast<double>(attempts) >= detail::minWavePace * RolloutShare::waveFraction * inWave;
}

} // namespace Wisteria
