// Baseline policy: a constant stall limit, then a replacement attempt on the next target in round-robin
// order. Ignores caches and streams that are still running.

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
