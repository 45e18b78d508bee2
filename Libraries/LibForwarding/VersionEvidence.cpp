// Sums of log-likelihood ratios by process.

#include <LibForwarding/VersionEvidence.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace Wisteria {

namespace detail {

// Weight of the remembered fraction against that of a period, in answers. Short periods are uncertain.
constexpr double memoryWeight = 10;
// The worst processes count for at most this part of what the others count.
constexpr double weightOfWorst = 0.5;
// Larger fractions leave no room for a degradation.
constexpr double maxFraction = 0.98;

// Upper end of Wilson's interval at one standard deviation.
double wilsonUpper(double bad, double answers)
{
    const double fraction = bad / answers;
    const double spread = std::sqrt(fraction * (1 - fraction) / answers + 1 / (4 * answers * answers));
    return (fraction + 1 / (2 * answers) + spread) / (1 + 1 / answers);
}

} // namespace detail

std::array<double, 2> VersionEvidence::degradations() const
{
    return {m_limits.minDegradation, m_limits.largeDegradation};
}

double VersionEvidence::alarmThreshold() const
{
    // The error rate is divided among the degradations and the restarts of each sum.
    return std::log(static_cast<double>(m_alarm.size()) * assumedRestarts / m_limits.falseAlarmRate);
}

double VersionEvidence::estimate(const ComparedPeriod &period) const
{
    const double answers = m_answers + period.baselineAnswers;
    if (answers < minRememberedAnswers)
        return m_limits.minBaselineFraction;
    const double pooled = (m_bad + period.baselineBad) / answers;
    const double current = (period.baselineBad + detail::memoryWeight * pooled)
        / (period.baselineAnswers + detail::memoryWeight);
    return std::clamp(current, m_limits.minBaselineFraction, detail::maxFraction);
}

double VersionEvidence::upperEstimate(const ComparedPeriod &period) const
{
    const double answers = m_answers + period.baselineAnswers;
    if (answers < minRememberedAnswers)
        return m_limits.minBaselineFraction;
    const double pooled = detail::wilsonUpper(std::min(m_bad + period.baselineBad, answers), answers);
    // The period's own fraction covers faults that affect both versions for a while.
    return std::clamp(std::max(pooled, estimate(period)), m_limits.minBaselineFraction, detail::maxFraction);
}

double VersionEvidence::limitWorst(const ByProcess &evidence, std::size_t inUse)
{
    double sum = 0;
    std::vector<double> against;
    for (const auto &[process, it] : evidence) {
        sum += it;
        if (it > 0 && !process.value().empty())
            against.push_back(it);
    }
    if (inUse < 2)
        return sum;
    const auto excluded = std::min(std::max<std::size_t>(inUse / processesPerExcluded, 1), against.size());
    std::partial_sort(against.begin(), against.begin() + static_cast<std::ptrdiff_t>(excluded), against.end(),
                      std::greater<>());
    double worst = 0;
    for (std::size_t n = 0; n < excluded; ++n)
        worst += against[n];
    const double rest = sum - worst;
    // In a bad version, the worst processes are like the others; of a single bad one, this is the limit.
    return rest + std::clamp(detail::weightOfWorst * rest, 0.0, worst);
}

void VersionEvidence::addTo(Sum &sum, const ComparedPeriod &period, double baselineFraction,
                            double degradation) const
{
    const double larger = std::min(baselineFraction + degradation, (1 + baselineFraction) / 2);
    const double perBad = std::log(larger / baselineFraction);
    const double perGood = std::log((1 - larger) / (1 - baselineFraction));
    double gain = 0;
    for (const auto &it : period.candidate)
        gain += it.bad * perBad + (it.answers - it.bad) * perGood;
    const double factor = gain > period.maxGain ? period.maxGain / gain : 1;
    for (const auto &it : period.candidate) {
        sum.evidence[it.process] += factor * (it.bad * perBad + (it.answers - it.bad) * perGood);
        sum.bad += it.bad;
    }
}

void VersionEvidence::add(const ComparedPeriod &period, std::size_t inUse)
{
    const double upper = upperEstimate(period);
    for (std::size_t n = 0; n < m_alarm.size(); ++n) {
        addTo(m_alarm[n], period, upper, degradations()[n]);
        if (limitWorst(m_alarm[n].evidence, inUse) <= 0)
            m_alarm[n] = {};
    }

    addTo(m_overall, period, estimate(period), m_limits.overallDegradation);
    addTo(m_acceptance, period, estimate(period), m_limits.minDegradation);
    double all = 0;
    for (const auto &[process, it] : m_acceptance.evidence)
        all += it;
    const double rest = limitWorst(m_acceptance.evidence, inUse);
    const double threshold = std::log(1 / m_limits.missRate);
    // The limit for the worst processes favors the acceptance, so more evidence is necessary then.
    const bool isSound = all <= -threshold || rest <= -2 * threshold;
    if (isSound || rest >= threshold) {
        m_isAccepted = isSound;
        m_acceptance = {};
    }

    m_answers += period.baselineAnswers;
    m_bad += period.baselineBad;
    if (m_answers > rememberedAnswers) {
        m_bad *= rememberedAnswers / m_answers;
        m_answers = rememberedAnswers;
    }
}

bool VersionEvidence::isWorse(const ComparedPeriod &unfinished, std::size_t inUse) const
{
    const double upper = upperEstimate(unfinished);
    for (std::size_t n = 0; n < m_alarm.size(); ++n) {
        auto sum = m_alarm[n];
        addTo(sum, unfinished, upper, degradations()[n]);
        if (sum.bad >= m_limits.minBad && limitWorst(sum.evidence, inUse) >= alarmThreshold())
            return true;
    }
    return false;
}

double VersionEvidence::overallEvidence(const ComparedPeriod &unfinished) const
{
    auto sum = m_overall;
    addTo(sum, unfinished, estimate(unfinished), m_limits.overallDegradation);
    double all = 0;
    for (const auto &[process, it] : sum.evidence)
        all += it;
    return all;
}

double VersionEvidence::evidence(std::size_t inUse) const
{
    double largest = 0;
    for (const auto &it : m_alarm)
        largest = std::max(largest, limitWorst(it.evidence, inUse));
    return largest;
}

} // namespace Wisteria
