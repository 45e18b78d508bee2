// Classifies the ends of runs.

#include <LibForwarding/PromptWaste.h>

#include <algorithm>

namespace Wisteria {

std::string_view promptWasteName(PromptWaste waste)
{
    switch (waste) {
    case PromptWaste::TargetLost:
        return "target_lost";
    case PromptWaste::CallerLeft:
        return "caller_left";
    case PromptWaste::PastDeadline:
        return "past_deadline";
    case PromptWaste::ResumedWithoutCopy:
        return "resumed_without_copy";
    case PromptWaste::Superseded:
        return "superseded";
    }
    return "unknown";
}

std::int64_t processedPromptTokens(const EndedRun &run)
{
    if (run.isFromCopy)
        return 0;
    if (run.hasEvents)
        return run.promptTokens;
    if (run.prefillTime <= absl::ZeroDuration())
        return 0;
    const double share = absl::FDivDuration(run.lasted - run.expectedWait, run.prefillTime);
    return static_cast<std::int64_t>(std::clamp(share, 0.0, 1.0) * static_cast<double>(run.promptTokens));
}

std::optional<PromptWaste> promptWasteOf(std::string_view reason, bool isReplacement, bool hasEvents)
{
    if (reason == "caller_left")
        return PromptWaste::CallerLeft;
    if (reason == "timed_out")
        return PromptWaste::PastDeadline;
    if (reason == "cancelled" && isReplacement)
        return PromptWaste::Superseded;
    // The loss of a run that has sent events is counted when its stream goes on, if a target then has to
    // process the prompt again.
    if ((reason == "lost" || reason == "cancelled") && !hasEvents)
        return PromptWaste::TargetLost;
    return std::nullopt;
}

} // namespace Wisteria
