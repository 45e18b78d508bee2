// Estimates from recent token latencies how long an engine may normally stay silent. Time to first token is
// tracked separately, because it includes the prefill and the queueing at the engine.

#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace Wisteria {

namespace detail {

// Tracks the decaying mean, deviation and peak of a series of durations.
class DecayingTailEstimator
{
public:
    explicit DecayingTailEstimator(absl::Duration prior);

    void add(absl::Duration sample);
    // A duration that samples rarely exceed.
    [[nodiscard]] absl::Duration tail() const;

private:
    // Weight of one sample. It is larger while there are few samples, so that the prior loses influence
    // quickly.
    [[nodiscard]] double gain() const;

    double m_meanSeconds;
    double m_deviationSeconds;
    // Invariant: at least each earlier sample (after clipping), decayed once per later sample. Covers engines
    // that emit tokens in bursts.
    double m_peakSeconds{0};
    std::uint32_t m_samples{0};
};

} // namespace detail

class TokenLatencyEstimator
{
public:
    void addInterTokenLatency(absl::Duration latency) { m_interTokenLatency.add(latency); }
    // `prefillTokens` counts the prompt tokens and the prefix that the attempt was opened with.
    void addTimeToFirstToken(absl::Duration latency, std::uint64_t prefillTokens);

    [[nodiscard]] absl::Duration interTokenLatencyTail() const { return m_interTokenLatency.tail(); }
    [[nodiscard]] absl::Duration timeToFirstTokenTail(std::uint64_t prefillTokens) const;

private:
    detail::DecayingTailEstimator m_interTokenLatency{absl::Milliseconds(100)};
    // Normalised by prefillScale(), so that samples from short prompts apply to long ones.
    detail::DecayingTailEstimator m_timeToFirstToken{absl::Milliseconds(500)};
};

} // namespace Wisteria
