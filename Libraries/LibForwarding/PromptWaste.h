// Tells how many prompt tokens targets have processed for nothing, and why.
//
// Performs no I/O.

#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Wisteria {

enum class PromptWaste {
    // The target was lost before its first event, and nobody has a copy of its KV cache.
    TargetLost,
    CallerLeft,
    PastDeadline,
    // A stream goes on at a target that has to process the prompt again.
    ResumedWithoutCopy,
    // Another run of the same request made progress first.
    Superseded,
};

[[nodiscard]] std::string_view promptWasteName(PromptWaste);

// A run that has ended without a complete answer.
struct EndedRun
{
    std::int64_t promptTokens{0};
    // Estimates from when the run was sent.
    absl::Duration expectedWait;
    absl::Duration prefillTime;
    // Since it was sent.
    absl::Duration lasted;
    bool hasEvents{false};
    // The target resumed from a copy and processed almost nothing.
    bool isFromCopy{false};
};

// Tokens that the target has probably processed. Exact if the run has sent events.
[[nodiscard]] std::int64_t processedPromptTokens(const EndedRun &);

// Why the prompt of a run that ended for `reason`, as named in the log, was processed for nothing; empty if
// it was not, or if the target did not get it.
[[nodiscard]] std::optional<PromptWaste> promptWasteOf(std::string_view reason, bool isReplacement,
                                                       bool hasEvents);

} // namespace Wisteria
