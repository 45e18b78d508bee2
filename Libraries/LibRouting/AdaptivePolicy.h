// The production resume policy. Stall limits follow the token latency of each engine. The `thrift` setting
// trades resume latency against extra engine work: 0 minimises resume latency, 1 minimises extra work.

#pragma once

#include <LibRouting/ResumePolicy.h>

namespace Wisteria {

class AdaptivePolicy final : public ResumePolicy
{
public:
    [[nodiscard]] absl::Duration stallLimit(const StallContext &) const override;
    // NOTE: A hedged attempt costs no more than a replacement: the prefill of the second attempt is paid
    // either way, and a stalled engine does no work. Thrift therefore controls when hedging starts, not
    // whether the original stream may still win.
    [[nodiscard]] StallResponse stallResponse() const override { return StallResponse::Hedge; }
    [[nodiscard]] ResumeTargetStrategy targetStrategy(double thrift) const override;
    [[nodiscard]] ReattachMode reattachMode() const override { return ReattachMode::Reattach; }

    static const ResumePolicyRegistration<AdaptivePolicy> registration;
};

} // namespace Wisteria
