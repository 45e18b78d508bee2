// Estimates whether a generation can meet its deadline.

#include <LibForwarding/DeadlineAdmission.h>

namespace Wisteria {

absl::Duration DeadlineAdmission::prefillTime(const GenerationSize &size)
{
    return absl::Milliseconds(static_cast<double>(size.promptTokens) / prefillTokensPerMs);
}

bool DeadlineAdmission::canFinishInTime(const DeadlineAdmissionInput &input)
{
    const bool hasIdleTarget = input.backlog == absl::ZeroDuration();
    const auto decodeTime =
        hasIdleTarget ? absl::ZeroDuration() : minTokenTime * input.size.expectedOutputTokens;
    return input.backlog + prefillTime(input.size) + decodeTime <= input.timeLeft;
}

} // namespace Wisteria
