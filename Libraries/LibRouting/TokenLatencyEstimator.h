// Learns from an engine's recent token gaps how long a silence is still normal for it. First tokens are kept
// apart, since they carry the prefill and the engine's own queue.

#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace Wisteria {

namespace detail {

// Decaying mean, deviation and peak of a series of durations.
class DecayingTailEstimator
{
public:
    explicit DecayingTailEstimator(absl::Duration prior);

    void add(absl::Duration sample);
    // A duration that only a rare sample exceeds.
    [[nodiscard]] absl::Duration tail() const;

private:
    // Weight of one sample; grows while there are few samples, so that the prior fades fast.
    [[nodiscard]] double gain() const;

    double m_meanSeconds;
    double m_deviationSeconds;
    // Invariant: at least every recent sample, less its decay since. Covers engines whose gaps come in
    // bursts.
    double m_peakSeconds{0};
    std::uint32_t m_samples{0};
};

} // namespace detail

class TokenLatencyEstimator
{
public:
    void addInterTokenLatency(absl::Duration latency) { m_interTokenLatency.add(latency); }
    // `prefillTokens` counts the prompt and the prefix that the attempt opened with.
    void addTimeToFirstToken(absl::Duration latency, std::uint64_t prefillTokens);

    [[nodiscard]] absl::Duration interTokenLatencyTail() const { return m_interTokenLatency.tail(); }
    [[nodiscard]] absl::Duration timeToFirstTokenTail(std::uint64_t prefillTokens) const;

private:
    detail::DecayingTailEstimator m_interTokenLatency{absl::Milliseconds(100)};
    // Normalised by prefillScale(), so that short prompts tell something about long ones.
    detail::DecayingTailEstimator m_timeToFirstToken{absl::Milliseconds(500)};
};

} // namespace Wisteria
