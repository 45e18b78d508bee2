// Estimates whether a generation can meet its deadline.

#include <LibForwarding/DeadlineAdmission.h>

namespace Wisteria {

bool DeadlineAdmission::canFinishInTime(const DeadlineAdmissionInput &input)
{
    const bool hasIdleTarget = input.backlog == absl::ZeroDuration();
    const auto decodeTime = hasIdleTarget ? absl::ZeroDuration() : input.decodeTime;
    return input.backlog + input.prefillTime + decodeTime <= input.timeLeft;
}

} // namespace Wisteria
