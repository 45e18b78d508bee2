// Weighs the newest samples of all routers.

#include <LibForwarding/TargetSpeeds.h>

#include <LibForwarding/StableHash.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Wisteria {

namespace detail {

constexpr double prefillWeight = 1;
constexpr double decodingWeight = 1;
constexpr double plainWeight = 1;
constexpr std::size_t maxOwnSamples = 8;
// Plain requests differ in their work. The shortest of this many responses depends on the target's speed
// more than on the requests.
constexpr int responsesPerPlainSample = 8;
// Measurements of a service that are at or below the typical one. High enough that unknown prompts and a
// minority of slow targets don't lower it.
constexpr double referenceQuantile = 0.7;
// Tolerance for sums of weights.
constexpr double weightEpsilon = 1e-9;

bool isTypicalRatio(double ratio)
{
    return TargetSpeed::fromRatio(ratio).isTypical();
}

} // namespace detail

TargetSpeed TargetSpeed::fromRatio(double ratio)
{
    TargetSpeed out;
    if (std::isfinite(ratio) && (ratio < deadBand || ratio > 1 / deadBand))
        out.m_ratio = std::clamp(ratio, min, max);
    return out;
}

void TargetSpeeds::Reference::add(double measurement)
{
    if (m_measurements.size() < maxCount) {
        m_measurements.push_back(measurement);
    } else {
        m_measurements[m_next] = measurement;
        m_next = (m_next + 1) % maxCount;
    }
    if (m_measurements.size() < minCount)
        return;
    auto sorted = m_measurements;
    const auto n =
        static_cast<std::size_t>(detail::referenceQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n), sorted.end());
    m_typical = sorted[n];
}

std::uint16_t TargetSpeeds::tagOf(const TargetProcess &process)
{
    return static_cast<std::uint16_t>(stableHash(absl::StrCat(process.startedAtMs, "@", process.address)));
}

TargetSpeeds::Target &TargetSpeeds::targetOf(const TargetProcess &process)
{
    auto &target = m_targets[process.id];
    if (const auto tag = tagOf(process); target.tag != tag) {
        target = Target{.tag = tag};
        m_estimates.erase(process.id);
    }
    return target;
}

void TargetSpeeds::processStarted(const TargetProcess &process)
{
    (void)targetOf(process);
}

void TargetSpeeds::remove(const TargetId &id)
{
    m_targets.erase(id);
    m_estimates.erase(id);
}

void TargetSpeeds::recordPrefill(const TargetProcess &process, const ServiceName &service,
                                 std::int64_t promptTokens, absl::Duration untilFirstEvent, absl::Time now)
{
    if (const auto it = m_targets.find(process.id); it != m_targets.end() && it->second.tag == tagOf(process))
        add(process.id, it->second, m_services[service].prefill,
            static_cast<double>(promptTokens) / absl::ToDoubleMilliseconds(untilFirstEvent),
            detail::prefillWeight, now);
}

void TargetSpeeds::recordDecoding(const TargetProcess &process, const ServiceName &service,
                                  std::int64_t events, absl::Duration duration, absl::Time now)
{
    const auto it = m_targets.find(process.id);
    if (it == m_targets.end() || it->second.tag != tagOf(process)
        || now - it->second.decodingSampledAt < decodingWindow)
        return;
    it->second.decodingSampledAt = now;
    add(process.id, it->second, m_services[service].decoding,
        static_cast<double>(events) / absl::ToDoubleMilliseconds(duration), detail::decodingWeight, now);
}

void TargetSpeeds::recordPlainResponse(const TargetProcess &process, const ServiceName &service,
                                       absl::Duration duration, absl::Time now)
{
    const auto it = m_targets.find(process.id);
    if (it == m_targets.end() || it->second.tag != tagOf(process))
        return;
    auto &target = it->second;
    target.shortestResponse = std::min(target.shortestResponse, duration);
    if (++target.plainResponses < detail::responsesPerPlainSample)
        return;
    const auto shortest = std::exchange(target.shortestResponse, absl::InfiniteDuration());
    target.plainResponses = 0;
    add(process.id, target, m_services[service].plain, 1 / absl::ToDoubleMilliseconds(shortest),
        detail::plainWeight, now);
}

void TargetSpeeds::add(const TargetId &id, Target &target, Reference &reference, double measurement,
                       double weight, absl::Time now)
{
    if (!std::isfinite(measurement) || measurement <= 0)
        return;
    reference.add(measurement);
    if (reference.typical() <= 0)
        return;
    if (target.own.size() >= detail::maxOwnSamples)
        target.own.erase(target.own.begin());
    target.own.push_back(
        {std::clamp(measurement / reference.typical(), TargetSpeed::min, TargetSpeed::max), weight, now});
    updateEstimate(id, target, now);
}

void TargetSpeeds::merge(const RouterId &router, const SpeedReports &reports, absl::Time now)
{
    for (const auto &[id, report] : reports) {
        const auto it = m_targets.find(id);
        if (it == m_targets.end() || it->second.tag != report.processTag || !std::isfinite(report.ratio)
            || !std::isfinite(report.weight))
            continue;
        auto &target = it->second;
        const auto age = std::clamp(report.age, absl::ZeroDuration(), sampleLifetime);
        target.peers[router] = {std::clamp(report.ratio, TargetSpeed::min, TargetSpeed::max),
                                std::clamp(report.weight, 0.0, maxPeerWeight), now - age};
        if (target.peers.size() > maxPeerReports) {
            const auto oldest =
                std::min_element(target.peers.begin(), target.peers.end(),
                                 [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
            target.peers.erase(oldest);
        }
        updateEstimate(id, target, now);
    }
}

double TargetSpeeds::weightAt(const Sample &sample, absl::Time now)
{
    const auto age = now - sample.at;
    if (age <= fullWeightTime)
        return sample.weight;
    const double left = absl::FDivDuration(sampleLifetime - age, sampleLifetime - fullWeightTime);
    return sample.weight * std::max(left, 0.0);
}

TargetSpeeds::Summary TargetSpeeds::summarize(std::vector<Sample> samples, absl::Time now)
{
    std::sort(samples.begin(), samples.end(), [](const Sample &a, const Sample &b) { return a.at > b.at; });
    std::vector<Summary> deciding;
    double total = 0;
    for (const auto &it : samples) {
        const double weight = std::min(weightAt(it, now), decidingWeight - total);
        if (weight <= 0)
            continue;
        total += weight;
        deciding.push_back({it.ratio, weight});
    }
    std::sort(deciding.begin(), deciding.end(),
              [](const Summary &a, const Summary &b) { return a.ratio < b.ratio; });
    double sum = 0;
    for (const auto &it : deciding) {
        sum += it.weight;
        if (sum >= quantile * total - detail::weightEpsilon)
            return {it.ratio, total};
    }
    return {};
}

void TargetSpeeds::updateEstimate(const TargetId &id, Target &target, absl::Time now)
{
    std::erase_if(target.own, [&](const Sample &it) { return now - it.at >= sampleLifetime; });
    absl::erase_if(target.peers, [&](const auto &it) { return now - it.second.at >= sampleLifetime; });
    if (!isContested(target, now)) {
        m_estimates.erase(id);
        return;
    }
    auto samples = target.own;
    for (const auto &[router, sample] : target.peers)
        samples.push_back(sample);
    const auto summary = summarize(std::move(samples), now);
    const auto speed = summary.weight < minWeight - detail::weightEpsilon
        ? TargetSpeed()
        : TargetSpeed::fromRatio(summary.ratio);
    // Contested targets stay in the map, so that they are refreshed as their samples grow old.
    m_estimates[id] = speed;
}

bool TargetSpeeds::isContested(const Target &target, absl::Time now)
{
    const auto deviates = [&](const Sample &it) {
        return now - it.at < sampleLifetime && !detail::isTypicalRatio(it.ratio);
    };
    return std::any_of(target.own.begin(), target.own.end(), deviates)
        || std::any_of(target.peers.begin(), target.peers.end(),
                       [&](const auto &it) { return deviates(it.second); });
}

SpeedReports TargetSpeeds::reports(absl::Time now) const
{
    SpeedReports out;
    for (const auto &[id, estimate] : m_estimates) {
        const auto it = m_targets.find(id);
        if (it == m_targets.end() || it->second.own.empty())
            continue;
        // The newest sample rather than a summary, so that a change of speed is not delayed twice.
        const auto &newest = it->second.own.back();
        if (now - newest.at < sampleLifetime) {
            out[id] = {newest.ratio, std::min(newest.weight, maxPeerWeight), now - newest.at, it->second.tag};
        }
    }
    return out;
}

std::size_t TargetSpeeds::sampleCount() const
{
    std::size_t n = 0;
    for (const auto &[id, target] : m_targets)
        n += target.own.size() + target.peers.size();
    return n;
}

void TargetSpeeds::refresh(absl::Time now)
{
    if (m_estimates.empty() || now - m_refreshedAt < refreshInterval)
        return;
    m_refreshedAt = now;
    std::vector<TargetId> ids;
    ids.reserve(m_estimates.size());
    for (const auto &[id, speed] : m_estimates)
        ids.push_back(id);
    for (const auto &id : ids) {
        if (const auto it = m_targets.find(id); it != m_targets.end())
            updateEstimate(id, it->second, now);
    }
}

} // namespace Wisteria
