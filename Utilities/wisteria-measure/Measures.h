// What one run measured, and the summary of several runs.

#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Wisteria::Measure {

// Counts and samples of one run; durations in seconds.
struct RunResult
{
    std::vector<double> resumeLatencies;
    std::vector<double> firstTokenUrgent;
    std::vector<double> firstTokenPatient;
    std::vector<double> gapsUrgent;
    std::vector<double> gapsPatient;
    // From the question to the end of the answer.
    std::vector<double> urgentAnswers;
    std::uint64_t requests{0};
    std::uint64_t answers{0};
    std::uint64_t attempts{0};
    // Refusals, by error name.
    std::map<std::string, std::uint64_t> refusals;
    std::vector<double> retryAfters;
    // Refusals of requests that had delivered tokens already.
    std::uint64_t brokenOff{0};
    // Generations that neither ended nor were refused although the run went on long enough.
    std::uint64_t unanswered{0};
    // Tokens that did not continue their caller's text, gaps, repetitions, and ends before the end.
    std::uint64_t wrongTokens{0};
    std::uint64_t tokensDelivered{0};
    double engineSeconds{0};
    // Engine seconds a delivered token.
    [[nodiscard]] double workPerToken() const { return engineSeconds / static_cast<double>(tokensDelivered); }
};

// One row of the table over the runs of all seeds.
struct Figure
{
    std::string name;
    std::string unit;
    double median{0};
    double least{0};
    double most{0};
};

// The quantile of the samples; zero when there are none.
[[nodiscard]] double quantile(const std::vector<double> &samples, double probability);

// Figures by seed, summarised. `references` are the failure-free runs of the same seeds.
[[nodiscard]] std::vector<Figure> summarise(const std::vector<RunResult> &runs,
                                            const std::vector<RunResult> &references);

} // namespace Wisteria::Measure
