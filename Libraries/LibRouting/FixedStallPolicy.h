// Baseline policy: a constant stall limit, then a hedged attempt on the target chosen by the selector.

#pragma once

#include <LibRouting/ResumePolicy.h>

namespace Wisteria {

class FixedStallPolicy final : public ResumePolicy
{
public:
    [[nodiscard]] absl::Duration stallLimit(const StallContext &) const override { return absl::Seconds(2); }
    [[nodiscard]] StallResponse stallResponse() const override { return StallResponse::Hedge; }
    [[nodiscard]] ResumeTargetStrategy targetStrategy(double) const override
    {
        return ResumeTargetStrategy::BySelector;
    }
    [[nodiscard]] ReattachMode reattachMode() const override { return ReattachMode::Reattach; }

    static const ResumePolicyRegistration<FixedStallPolicy> registration;
};

} // namespace Wisteria
