// Estimates how fast the targets of a service work, from the requests that this router has forwarded. The
// estimates replace figures of a particular deployment in the choice of targets and in admission control.
//
// Performs no I/O; the host reports the samples.

#pragma once

#include <LibForwarding/Request.h>

#include <absl/time/time.h>

#include <cstdint>

namespace Wisteria {

// Follows a quantile of a series of positive samples without storing them. The estimate moves by a small
// fraction of itself per sample, so single outliers have little effect.
class MovingQuantile
{
public:
    // `quantile` is in (0, 1).
    MovingQuantile(double initialValue, double quantile) : m_value(initialValue), m_quantile(quantile) { }

    // Ignores samples that are not positive and finite.
    void add(double sample);
    [[nodiscard]] double value() const { return m_value; }

private:
    double m_value;
    double m_quantile;
};

class ServicePerformance
{
public:
    // Assumed until there are samples.
    static constexpr absl::Duration initialPlainServiceTime = absl::Milliseconds(15);
    static constexpr double initialPrefillTokensPerMs = 8;
    static constexpr absl::Duration initialTokenTime = absl::Microseconds(3500);
    static constexpr double initialTokensPerEvent = 7;
    static constexpr absl::Duration initialGenerationTime = absl::Seconds(8);
    static constexpr double initialPromptTokens = 8000;

    // A plain request was answered successfully after this time.
    void recordPlainResponse(absl::Duration);
    // A target without other unprocessed prompts sent the first event after this time.
    void recordPrefill(std::int64_t promptTokens, absl::Duration untilFirstEvent);
    // A generation was forwarded to a target.
    void recordPrompt(std::int64_t promptTokens);
    // A generation completed on the target that it was sent to first.
    struct CompletedGeneration
    {
        std::int64_t expectedOutputTokens{0};
        std::int64_t events{0};
        // From sending the request.
        absl::Duration total;
        // From the first to the last event.
        absl::Duration decoding;
    };
    void recordGeneration(const CompletedGeneration &);

    // Median response time of a plain request, including the network.
    [[nodiscard]] absl::Duration plainServiceTime() const;
    // Time that an otherwise idle target needs for the prompt.
    [[nodiscard]] absl::Duration prefillTime(std::int64_t promptTokens) const;
    // The same for a prompt of typical length.
    [[nodiscard]] absl::Duration typicalPrefillTime() const;
    // Time that a fast target needs to generate the tokens.
    [[nodiscard]] absl::Duration decodeTime(std::int64_t outputTokens) const;
    // Time between two events of a stream of a fast target.
    [[nodiscard]] absl::Duration eventTime() const;
    // Median time for which a generation occupies its target.
    [[nodiscard]] absl::Duration generationTime() const;

private:
    MovingQuantile m_plainServiceTimeMs{absl::ToDoubleMilliseconds(initialPlainServiceTime), 0.5};
    // Prompts of other requests lower the measured speed, so a high quantile is used.
    MovingQuantile m_prefillTokensPerMs{initialPrefillTokensPerMs, 0.8};
    MovingQuantile m_promptTokens{initialPromptTokens, 0.5};
    // Load on the target raises the measured time, so a low quantile is used.
    MovingQuantile m_eventTimeMs{absl::ToDoubleMilliseconds(initialTokenTime) * initialTokensPerEvent, 0.2};
    // Callers' estimates of the output length are accurate at the median.
    MovingQuantile m_tokensPerEvent{initialTokensPerEvent, 0.5};
    MovingQuantile m_generationTimeMs{absl::ToDoubleMilliseconds(initialGenerationTime), 0.5};
};

} // namespace Wisteria
