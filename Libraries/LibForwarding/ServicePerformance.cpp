// Moving estimates of service times.

#include <LibForwarding/ServicePerformance.h>

#include <cmath>

namespace Wisteria {

namespace detail {

// Relative change of an estimate per sample. It follows a doubling within about thirty samples.
constexpr double quantileStep = 0.05;

} // namespace detail

void MovingQuantile::add(double sample)
{
    if (!std::isfinite(sample) || sample <= 0)
        return;
    if (sample > m_value)
        m_value *= 1 + detail::quantileStep * m_quantile;
    else
        m_value *= 1 - detail::quantileStep * (1 - m_quantile);
}

void ServicePerformance::recordPlainResponse(absl::Duration duration)
{
    m_plainServiceTimeMs.add(absl::ToDoubleMilliseconds(duration));
}

void ServicePerformance::recordPrompt(std::int64_t promptTokens)
{
    m_promptTokens.add(static_cast<double>(promptTokens));
}

void ServicePerformance::recordPrefill(std::int64_t promptTokens, absl::Duration untilFirstEvent)
{
    m_prefillTokensPerMs.add(static_cast<double>(promptTokens) / absl::ToDoubleMilliseconds(untilFirstEvent));
}

void ServicePerformance::recordGeneration(const CompletedGeneration &generation)
{
    m_generationTimeMs.add(absl::ToDoubleMilliseconds(generation.total));
    // A single event has no gap to measure.
    if (generation.events < 2)
        return;
    m_eventTimeMs.add(absl::ToDoubleMilliseconds(generation.decoding)
                      / static_cast<double>(generation.events - 1));
    m_tokensPerEvent.add(static_cast<double>(generation.expectedOutputTokens)
                         / static_cast<double>(generation.events));
}

absl::Duration ServicePerformance::plainServiceTime() const
{
    return absl::Milliseconds(m_plainServiceTimeMs.value());
}

absl::Duration ServicePerformance::prefillTime(std::int64_t promptTokens) const
{
    return absl::Milliseconds(static_cast<double>(promptTokens) / m_prefillTokensPerMs.value());
}

absl::Duration ServicePerformance::typicalPrefillTime() const
{
    return absl::Milliseconds(m_promptTokens.value() / m_prefillTokensPerMs.value());
}

absl::Duration ServicePerformance::decodeTime(std::int64_t outputTokens) const
{
    return absl::Milliseconds(m_eventTimeMs.value() / m_tokensPerEvent.value()
                              * static_cast<double>(outputTokens));
}

absl::Duration ServicePerformance::eventTime() const
{
    return absl::Milliseconds(m_eventTimeMs.value());
}

absl::Duration ServicePerformance::generationTime() const
{
    return absl::Milliseconds(m_generationTimeMs.value());
}

} // namespace Wisteria
