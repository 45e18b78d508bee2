// Estimates whether a generation can meet its deadline.

#include <LibForwarding/DeadlineAdmission.h>

namespace Wisteria {

bool DeadlineAdmission::canFinishInTime(const DeadlineAdmissionInput &input)
{
    const bool hasIdleTarget = input.backlog == absl::ZeroDuration();
    const auto decodeTime = hasIdleTarget ? absl::ZeroDuration() : input.decodeTime;
    if (!hasIdleTarget && input.moreUrgentShare >= 1)
        return false;
    const auto wait = input.moreUrgentShare > 0 && !hasIdleTarget
        ? input.backlog / (1 - input.moreUrgentShare)
        : input.backlog;
    return wait + input.prefillTime + decodeTime <= input.timeLeft;
}

} // namespace Wisteria
