// Decaying statistics of token latencies with outlier clipping.

#include <LibRouting/TokenLatencyEstimator.h>

#include <algorithm>
#include <cmath>

namespace Wisteria {

namespace detail {

// Weight of a sample once enough samples have been seen.
constexpr double minGain = 1.0 / 64;
// Fraction by which each sample decays the peak.
constexpr double peakDecay = 1.0 / 8192;
constexpr double deviationsInTail = 4;
// Samples beyond this multiple of the tail are treated as pauses and clipped, so that a single pause does not
// desensitise stall detection. The estimate still follows an engine that really slowed down within a few
// samples.
constexpr double outlierThresholdInTails = 4;
// Number of prefill tokens that take about as long as the fixed part of the time to first token.
constexpr double prefillTokensPerFixedCost = 1024;

DecayingTailEstimator::DecayingTailEstimator(absl::Duration prior)
    : m_meanSeconds(absl::ToDoubleSeconds(prior)), m_deviationSeconds(m_meanSeconds / 2)
{
}

void DecayingTailEstimator::add(absl::Duration sample)
{
    const double clip = outlierThresholdInTails * absl::ToDoubleSeconds(tail());
    const double seconds = std::clamp(absl::ToDoubleSeconds(sample), 0.0, clip);
    const double error = seconds - m_meanSeconds;
    m_samples = std::min(m_samples + 1, std::uint32_t{1} << 16);
    m_meanSeconds += gain() * error;
    m_deviationSeconds += gain() * (std::abs(error) - m_deviationSeconds);
    m_peakSeconds = std::max(seconds, m_peakSeconds * (1 - peakDecay));
}

absl::Duration DecayingTailEstimator::tail() const
{
    return absl::Seconds(std::max(m_meanSeconds + deviationsInTail * m_deviationSeconds, m_peakSeconds));
}

double DecayingTailEstimator::gain() const
{
    // The prior has the weight of four samples.
    constexpr double priorSamples = 4;
    return std::max(minGain, 1.0 / (priorSamples + m_samples));
}

double prefillScale(std::uint64_t prefillTokens)
{
    return 1 + static_cast<double>(prefillTokens) / prefillTokensPerFixedCost;
}

} // namespace detail

void TokenLatencyEstimator::addTimeToFirstToken(absl::Duration latency, std::uint64_t prefillTokens)
{
    m_timeToFirstToken.add(latency / detail::prefillScale(prefillTokens));
}

absl::Duration TokenLatencyEstimator::timeToFirstTokenTail(std::uint64_t prefillTokens) const
{
    return m_timeToFirstToken.tail() * detail::prefillScale(prefillTokens);
}

} // namespace Wisteria
