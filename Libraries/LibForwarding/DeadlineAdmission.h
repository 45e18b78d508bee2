// Deadline-based admission control: rejects a generation that cannot finish before its caller's deadline,
// before a target spends prefill time on it.
//
// After an outage, all callers retry at once. Many have only a few seconds left, and more prompts are queued
// than the targets can prefill. Every prompt prefilled for a caller that disconnects before the answer takes
// about a second of target time from a caller that could have been served.
//
// Performs no I/O. Each router decides for its own requests, based on the loads reported by all routers.

#pragma once

#include <absl/time/time.h>

namespace Wisteria {

struct DeadlineAdmissionInput
{
    // Time until the least loaded target would start prefilling the prompt.
    absl::Duration backlog;
    // Time a target needs to prefill the prompt, without queueing.
    absl::Duration prefillTime;
    // Time a target needs to generate the output that the caller expects.
    absl::Duration decodeTime;
    absl::Duration timeLeft;
    // Share of the targets' capacity that more urgent requests take. Zero without such requests.
    double moreUrgentShare{0};
};

class DeadlineAdmission
{
public:
    // Returns false if the backlog, the prefill and, with no idle target, the decoding take longer than the
    // time left. The caller's estimate of the output length is often far off, so it only counts if prompts
    // are queued at every target. With an idle target, trying takes no capacity from other requests.
    //
    // While prompts queue at every target, more urgent prompts that arrive meanwhile are served first. They
    // slow down the rest of the queue by the share of the capacity that they take; if they take all of it,
    // the prompt would never be processed.
    [[nodiscard]] static bool canFinishInTime(const DeadlineAdmissionInput &);
};

} // namespace Wisteria
