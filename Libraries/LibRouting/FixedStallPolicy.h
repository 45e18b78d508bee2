// Baseline: a constant stall limit, then a race on the selector's target.

#pragma once

#include <LibRouting/ResumePolicy.h>

namespace Wisteria {

class FixedStallPolicy final : public ResumePolicy
{
public:
    [[nodiscard]] absl::Duration stallLimit(const SilenceView &) const override { return absl::Seconds(2); }
    [[nodiscard]] StallResponse stallResponse() const override { return StallResponse::Race; }
    [[nodiscard]] ResumeTarget resumeTarget(double) const override { return ResumeTarget::BySelector; }
    [[nodiscard]] ReattachUse reattachUse() const override { return ReattachUse::Reattach; }

    static const ResumePolicyRegistration<FixedStallPolicy> registration;
};

} // namespace Wisteria
