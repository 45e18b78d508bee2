// Turns growing sums of answers into periods, and hands these to the sequential tests.

#include <LibForwarding/VersionComparison.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Wisteria {

namespace detail {

// Losses of one process within this time count once.
constexpr absl::Duration lossWindow = absl::Seconds(1);
// Times of earlier losses are dropped when more processes than this have lost a connection.
constexpr std::size_t maxLossTimes = 256;
// Buckets of the histogram for a factor of two.
constexpr double bucketsPerOctave = 2;

// A process that has crashed loses connections in up to three loss periods. The threshold of the alarm
// is 14.5, so these don't suffice, even if all processes crash at once.
constexpr double maxLossGain = 4.5;
// The first sums of a route may cover a long time, in which a burst may have met more answers of one version.
// With a limit of 7, take-overs raised an alarm in 1 of 40 series of a sound version under waves of load.
constexpr double maxHistoryGain = 4;
// Crashes of both versions make up to this fraction of the loss periods of a process.
constexpr double minLossFraction = 0.05;
// A version that loses a part of its connections does so in most loss periods of each process.
constexpr double lossDegradation = 0.5;

std::size_t sideIndex(VersionSide side)
{
    return side == VersionSide::Baseline ? 0 : 1;
}

void addCapped(std::uint32_t &sum, std::uint32_t n)
{
    sum += std::min(n, std::numeric_limits<std::uint32_t>::max() - sum);
}

template <typename To, typename From>
void addCounts(To &sum, const From &counts)
{
    addCapped(sum.answers, counts.answers);
    addCapped(sum.failures, counts.failures);
    addCapped(sum.losses, counts.losses);
    addCapped(sum.isolatedLosses, counts.isolatedLosses);
    for (std::size_t n = 0; n < sum.slowness.size(); ++n)
        addCapped(sum.slowness[n], counts.slowness[n]);
}

std::size_t slownessBucket(double slowness)
{
    if (!(slowness > 0))
        return 0;
    const double bucket = std::floor(bucketsPerOctave * std::log2(slowness)) + 1;
    return static_cast<std::size_t>(
        std::clamp(bucket, 0.0, static_cast<double>(RouteTally::slownessBuckets - 1)));
}

template <typename Tally>
bool hasDropped(const Tally &last, const Tally &current)
{
    for (std::size_t n = 0; n < current.slowness.size(); ++n) {
        if (current.slowness[n] < last.slowness[n])
            return true;
    }
    return current.answers < last.answers || current.failures < last.failures || current.losses < last.losses
        || current.isolatedLosses < last.isolatedLosses;
}

// Adds the growth of a tally. Lost connections count only if they are isolated.
template <typename Counts, typename Tally>
void addGrowth(Counts &counts, const Tally &last, const Tally &current, double sign = 1)
{
    const double losses = static_cast<double>(current.losses) - last.losses
        - (static_cast<double>(current.isolatedLosses) - last.isolatedLosses);
    counts.answers += sign * (static_cast<double>(current.answers) - last.answers - losses);
    counts.failures += sign * (static_cast<double>(current.failures) - last.failures - losses);
    for (std::size_t n = 0; n < current.slowness.size(); ++n)
        counts.slowness[n] += sign * (static_cast<double>(current.slowness[n]) - last.slowness[n]);
}

template <typename Counts>
double countSlownesses(const Counts &counts)
{
    double sum = 0;
    for (const auto it : counts.slowness)
        sum += it;
    return sum;
}

// Position in the histogram, as a bucket with a fraction, that half of the answers are below.
template <typename Counts>
double medianPosition(const Counts &counts)
{
    const double half = countSlownesses(counts) / 2;
    double below = 0;
    for (std::size_t n = 0; n < counts.slowness.size(); ++n) {
        if (below + counts.slowness[n] >= half && counts.slowness[n] > 0)
            return static_cast<double>(n) + (half - below) / counts.slowness[n];
        below += counts.slowness[n];
    }
    return static_cast<double>(counts.slowness.size());
}

// Answers above a position in the histogram; a bucket that contains it counts in proportion.
template <typename Counts>
double countAbove(const Counts &counts, double position)
{
    double sum = 0;
    for (std::size_t n = 0; n < counts.slowness.size(); ++n)
        sum += counts.slowness[n] * std::clamp(static_cast<double>(n) + 1 - position, 0.0, 1.0);
    return sum;
}

EvidenceLimits answerLimits()
{
    return {.falseAlarmRate = VersionComparison::falseAlarmRate,
            .missRate = VersionComparison::missRate,
            .minDegradation = VersionComparison::minDegradation,
            .minBad = VersionComparison::minBadAnswers};
}

EvidenceLimits lossLimits()
{
    auto limits = answerLimits();
    limits.minDegradation = lossDegradation;
    limits.largeDegradation = lossDegradation;
    limits.minBaselineFraction = minLossFraction;
    return limits;
}

std::uint32_t toCount(double n)
{
    return static_cast<std::uint32_t>(
        std::clamp(n, 0.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
}

} // namespace detail

ProcessTally &ProcessTally::operator+=(const ProcessTally &other)
{
    detail::addCounts(*this, other);
    return *this;
}

RouteTally &RouteTally::operator+=(const RouteTally &other)
{
    detail::addCounts(*this, other);
    for (const auto &it : other.processes) {
        if (processes.size() < maxSummedProcesses)
            processes.insert(it);
    }
    for (const auto &it : other.failingProcesses) {
        if (failingProcesses.size() < maxFailingProcesses)
            failingProcesses.insert(it);
    }
    for (const auto &[process, it] : other.byProcess) {
        if (byProcess.size() < maxSummedProcesses || byProcess.contains(process))
            byProcess[process] += it;
    }
    return *this;
}

void addTallies(VersionTallies &sum, const VersionTallies &tallies)
{
    for (const auto &[route, sides] : tallies) {
        auto &total = sum[route];
        for (std::size_t n = 0; n < sides.size(); ++n)
            total[n] += sides[n];
    }
}

void VersionTally::add(const AnswerSample &sample, absl::Time now)
{
    if (!sample.isLoss) {
        countIsolatedLosses(sample.process, now);
    } else {
        auto &pending = m_pendingLosses[sample.process];
        if (pending.size() >= maxPendingLosses)
            pending.pop_front();
        pending.push_back({sample.route, sample.side, now});
        if (const auto it = m_lastLossAt.find(sample.process);
            it != m_lastLossAt.end() && now - it->second < detail::lossWindow)
            return;
        if (m_lastLossAt.size() >= detail::maxLossTimes) {
            absl::erase_if(m_lastLossAt,
                           [now](const auto &it) { return now - it.second >= detail::lossWindow; });
            absl::erase_if(m_pendingLosses,
                           [now](const auto &it) { return now - it.second.back().at > maxIsolation; });
        }
        m_lastLossAt[sample.process] = now;
    }

    ProcessTally one;
    one.answers = 1;
    one.failures = sample.isFailure || sample.isLoss ? 1 : 0;
    one.losses = sample.isLoss ? 1 : 0;
    // A failure may be fast, and counts as bad already.
    if (one.failures == 0 && sample.slowness && !std::isnan(*sample.slowness))
        one.slowness[detail::slownessBucket(*sample.slowness)] = 1;
    add(sample.route, sample.side, sample.process, one);
}

void VersionTally::add(const std::string &route, VersionSide side, const TargetId &process,
                       const ProcessTally &one)
{
    auto &total = m_tallies[route][detail::sideIndex(side)];
    detail::addCounts(total, one);
    if (total.processes.size() < RouteTally::maxSummedProcesses)
        total.processes.insert(process);
    if (one.failures > 0 && total.failingProcesses.size() < RouteTally::maxFailingProcesses)
        total.failingProcesses.insert(process);
    if (total.byProcess.size() >= RouteTally::maxCountedProcesses && !total.byProcess.contains(process))
        return;
    auto &counted = total.byProcess[process];
    if (side == VersionSide::Candidate) {
        counted += one;
        return;
    }
    auto withoutSlowness = one;
    withoutSlowness.slowness = {};
    counted += withoutSlowness;
}

void VersionTally::countIsolatedLosses(const TargetId &process, absl::Time now)
{
    const auto found = m_pendingLosses.find(process);
    if (found == m_pendingLosses.end())
        return;
    auto &pending = found->second;
    while (!pending.empty() && now - pending.front().at >= minIsolation) {
        if (now - pending.front().at <= maxIsolation) {
            ProcessTally one;
            one.isolatedLosses = 1;
            add(pending.front().route, pending.front().side, process, one);
        }
        pending.pop_front();
    }
    if (pending.empty())
        m_pendingLosses.erase(found);
}

void VersionTally::clear()
{
    m_tallies.clear();
    m_lastLossAt.clear();
    m_pendingLosses.clear();
}

VersionComparison::Route::Route() : failures(detail::answerLimits()), slowness(detail::answerLimits())
{
    failurePeriod.maxGain = detail::maxHistoryGain;
    slownessPeriod.maxGain = detail::maxHistoryGain;
}

VersionComparison::VersionComparison() : m_losses(detail::lossLimits()) { }

void VersionComparison::update(const VersionTallies &sum, absl::Time now)
{
    for (const auto &[name, sides] : sum) {
        if (m_routes.size() >= maxRoutes && !m_routes.contains(name))
            continue;
        advance(m_routes[name], sides, now);
    }

    const std::size_t inUse = countInUse(now);
    for (auto &[name, route] : m_routes) {
        compareFailures(name, route, inUse, now);
        compareSlowness(name, route, inUse, now);
    }
    compareLosses(inUse, now);
    summarize(inUse);
}

void VersionComparison::advance(Route &route, const std::array<RouteTally, 2> &sum, absl::Time now)
{
    const auto last = std::exchange(route.last, sum);
    if (detail::hasDropped(last[0], sum[0]) || detail::hasDropped(last[1], sum[1])) {
        // A router has restarted. Which part of the growth is new is not known.
        route.failurePeriod = {};
        route.slownessPeriod = {};
        return;
    }
    if (sum == last)
        return;

    for (const auto side : {VersionSide::Baseline, VersionSide::Candidate})
        recordProcesses(side, last[detail::sideIndex(side)], sum[detail::sideIndex(side)], now);
    const auto candidateAnswers = static_cast<double>(sum[1].answers) - last[1].answers;
    route.answers += static_cast<double>(sum[0].answers) - last[0].answers + candidateAnswers;
    route.candidateAnswers += candidateAnswers;

    Counts rest;
    detail::addGrowth(rest, last[1], sum[1]);
    route.candidateFailures +=
        std::max(rest.failures, static_cast<double>(sum[1].failures) - last[1].failures);
    for (auto *period : {&route.failurePeriod, &route.slownessPeriod}) {
        period->start = std::min(period->start, now);
        detail::addGrowth(period->baseline, last[0], sum[0]);
    }
    for (const auto &[process, tally] : sum[1].byProcess) {
        const auto it = last[1].byProcess.find(process);
        const auto before = it == last[1].byProcess.end() ? ProcessTally{} : it->second;
        if (tally == before || detail::hasDropped(before, tally))
            continue;
        detail::addGrowth(route.failurePeriod.candidate[process], before, tally);
        detail::addGrowth(route.slownessPeriod.candidate[process], before, tally);
        detail::addGrowth(rest, before, tally, -1);
    }
    rest.answers = std::max(rest.answers, 0.0);
    rest.failures = std::clamp(rest.failures, 0.0, rest.answers);
    for (auto &it : rest.slowness)
        it = std::max(it, 0.0);
    if (rest.answers == 0)
        return;
    for (auto *period : {&route.failurePeriod, &route.slownessPeriod}) {
        auto &counts = period->candidate[TargetId()];
        counts.answers += rest.answers;
        counts.failures += rest.failures;
        for (std::size_t n = 0; n < rest.slowness.size(); ++n)
            counts.slowness[n] += rest.slowness[n];
    }
}

void VersionComparison::recordProcesses(VersionSide side, const RouteTally &last, const RouteTally &current,
                                        absl::Time now)
{
    for (const auto &[process, tally] : current.byProcess) {
        const auto it = last.byProcess.find(process);
        const auto before = it == last.byProcess.end() ? ProcessTally{} : it->second;
        if (tally.answers <= before.answers)
            continue;
        if (side == VersionSide::Candidate)
            m_candidatesUsedAt[process] = now;
        m_lossPeriodStart = std::min(m_lossPeriodStart, now);
        auto &hasLoss = m_lossPeriod[detail::sideIndex(side)][process];
        hasLoss = hasLoss || tally.losses > before.losses;
    }
}

std::size_t VersionComparison::countInUse(absl::Time now)
{
    absl::erase_if(m_candidatesUsedAt, [now](const auto &it) { return now - it.second > processInUse; });
    return m_candidatesUsedAt.size();
}

void VersionComparison::compareFailures(const std::string &name, Route &route, std::size_t inUse,
                                        absl::Time now)
{
    auto &period = route.failurePeriod;
    ComparedPeriod compared{.baselineAnswers = period.baseline.answers,
                            .baselineBad = period.baseline.failures,
                            .maxGain = period.maxGain};
    double answers = 0;
    for (const auto &[process, it] : period.candidate) {
        compared.candidate.push_back({process, it.answers, it.failures});
        answers += it.answers;
    }
    // Without counts by process, the names of the failing ones have to do.
    const auto &candidate = route.last[1];
    const bool isOneTarget = candidate.byProcess.empty() && candidate.processes.size() > 1
        && candidate.failingProcesses.size() < 2;
    route.overallFailures = route.failures.overallEvidence(compared);
    if (!isOneTarget && route.failures.isWorse(compared, inUse))
        raiseAlarm("failures on route " + name);
    if (period.baseline.answers >= periodAnswers || answers >= periodAnswers
        || now - period.start >= maxPeriod) {
        route.failures.add(compared, inUse);
        period = {};
    }
}

void VersionComparison::compareSlowness(const std::string &name, Route &route, std::size_t inUse,
                                        absl::Time now)
{
    auto &period = route.slownessPeriod;
    const double baselineAnswers = detail::countSlownesses(period.baseline);
    ComparedPeriod compared{.baselineAnswers = baselineAnswers, .maxGain = period.maxGain};
    double answers = 0;
    route.slowNow = 0;
    const bool hasMedian = baselineAnswers >= minMedianAnswers;
    if (hasMedian) {
        const double limit =
            detail::medianPosition(period.baseline) + detail::bucketsPerOctave * std::log2(slowFactor);
        compared.baselineBad = detail::countAbove(period.baseline, limit);
        for (const auto &[process, it] : period.candidate) {
            compared.candidate.push_back(
                {process, detail::countSlownesses(it), detail::countAbove(it, limit)});
            answers += compared.candidate.back().answers;
            route.slowNow += compared.candidate.back().bad;
        }
        route.isSlownessCompared = route.isSlownessCompared || answers > 0;
        route.overallSlowness = route.slowness.overallEvidence(compared);
        if (route.slowness.isWorse(compared, inUse))
            raiseAlarm("slowness on route " + name);
    }
    if (baselineAnswers >= periodAnswers || answers >= periodAnswers || now - period.start >= maxPeriod) {
        if (hasMedian)
            route.slowness.add(compared, inUse);
        route.slowBefore += std::exchange(route.slowNow, 0);
        period = {};
    }
}

void VersionComparison::compareLosses(std::size_t inUse, absl::Time now)
{
    if (now - m_lossPeriodStart < lossPeriod)
        return;
    ComparedPeriod compared{.maxGain = detail::maxLossGain};
    for (const auto &[process, hasLoss] : m_lossPeriod[0]) {
        compared.baselineAnswers += 1;
        compared.baselineBad += hasLoss ? 1 : 0;
    }
    for (const auto &[process, hasLoss] : m_lossPeriod[1])
        compared.candidate.push_back({process, 1, hasLoss ? 1.0 : 0.0});
    if (m_losses.isWorse(compared, inUse))
        raiseAlarm("lost connections");
    m_losses.add(compared, inUse);
    m_lossPeriod = {};
    m_lossPeriodStart = absl::InfiniteFuture();
}

void VersionComparison::raiseAlarm(std::string reason)
{
    if (m_result == Result::Worse)
        return;
    m_result = Result::Worse;
    m_reason = std::move(reason);
}

void VersionComparison::summarize(std::size_t inUse)
{
    double all = 0;
    double bad = 0;
    for (const auto &[name, it] : m_routes) {
        all += it.answers;
        bad += it.candidateFailures + it.slowBefore + it.slowNow;
    }
    m_badAnswers = detail::toCount(bad);

    summarizeOverall(all, inUse);

    double fewest = std::numeric_limits<double>::infinity();
    // The route that is not accepted yet, for the log.
    std::string open;
    for (const auto &[name, it] : m_routes) {
        if (it.answers == 0 || it.answers < minRouteShare * all)
            continue;
        fewest = std::min(fewest, it.candidateAnswers);
        if (!it.failures.isAccepted())
            open = "failures on route " + name;
        else if (it.isSlownessCompared && !it.slowness.isAccepted())
            open = "slowness on route " + name;
    }
    m_fewestAnswers = std::isinf(fewest) ? 0 : detail::toCount(fewest);
    if (m_result == Result::Worse)
        return;
    if (open.empty() && m_losses.evidence(inUse) >= std::log(1 / missRate))
        open = "lost connections";
    m_result = std::isinf(fewest) || !open.empty() ? Result::Undecided : Result::Sound;
    m_reason = m_result == Result::Sound ? "all routes accepted" : open;
}

void VersionComparison::summarizeOverall(double allAnswers, std::size_t inUse)
{
    double failures = 0;
    double slowness = 0;
    bool isSlownessCompared = false;
    bool isDoubtful = m_losses.evidence(inUse) >= std::log(1 / missRate);
    for (const auto &[name, it] : m_routes) {
        failures += it.overallFailures;
        slowness += it.overallSlowness;
        isSlownessCompared = isSlownessCompared || it.isSlownessCompared;
        if (it.answers == 0 || it.answers < minRouteShare * allAnswers)
            continue;
        isDoubtful = isDoubtful || it.candidateAnswers < minAnswersOverall || it.overallFailures > 0
            || it.overallSlowness > 0;
    }
    const double threshold = std::log(1 / missRate);
    m_isSoundOverall = !isDoubtful && m_result != Result::Worse && failures <= -threshold
        && isSlownessCompared && slowness <= -threshold;
}

} // namespace Wisteria
