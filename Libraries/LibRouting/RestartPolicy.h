// Baseline: a constant stall limit, then the attempt is replaced on the next target in turn, without regard
// to caches or to streams that still run.

#pragma once

#include <LibRouting/ResumePolicy.h>

namespace Wisteria {

class RestartPolicy final : public ResumePolicy
{
public:
    [[nodiscard]] absl::Duration stallLimit(const StallContext &) const override { return absl::Seconds(5); }
    [[nodiscard]] StallResponse stallResponse() const override { return StallResponse::Replace; }
    [[nodiscard]] ResumeTargetStrategy targetStrategy(double) const override
    {
        return ResumeTargetStrategy::RoundRobin;
    }
    [[nodiscard]] ReattachMode reattachMode() const override { return ReattachMode::Restart; }

    static const ResumePolicyRegistration<RestartPolicy> registration;
};

} // namespace Wisteria
