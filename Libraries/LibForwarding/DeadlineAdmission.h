// Decides whether a generation can still end before its caller leaves, before a target reads its prompt.
//
// Load pattern: all callers come back at once after an outage, many with a few seconds of their patience
// left, and the targets have more prompts than they can read. Each prompt that is read for a caller who will
// have left takes a second of a target from one who would have been served. Such a generation is refused at
// once. No I/O; each router decides for its own requests, by the loads that all routers tell.

#pragma once

#include <LibForwarding/Request.h>

#include <absl/time/time.h>

namespace Wisteria {

struct DeadlineAdmissionInput
{
    GenerationSize size;
    // Until the best target would begin to read the prompt.
    absl::Duration backlog;
    absl::Duration timeLeft;
};

class DeadlineAdmission
{
public:
    // Prompt tokens that a target reads in a millisecond. Source: the users' sheets.
    static constexpr double prefillTokensPerMs = 8;
    // The least time for one more token of the answer. Source: the users' sheets (a step takes 3.5 ms and
    // more).
    static constexpr absl::Duration minTokenTime = absl::Microseconds(3500);

    // How long a target takes for the prompt alone.
    [[nodiscard]] static absl::Duration prefillTime(const GenerationSize &);
    // False when even an undisturbed run would end too late. The caller's guess of the length, which is often
    // far off, counts only where prompts wait at every target: with a free one, the try takes nothing from
    // others.
    [[nodiscard]] static bool canFinishInTime(const DeadlineAdmissionInput &);
};

} // namespace Wisteria
