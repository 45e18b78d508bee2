// The resume policy of production: limits follow each engine's own gaps, and one knob trades resume latency
// (thrift 0) for extra engine work (thrift 1).

#pragma once

#include <LibRouting/ResumePolicy.h>

namespace Wisteria {

class AdaptivePolicy final : public ResumePolicy
{
public:
    [[nodiscard]] absl::Duration stallLimit(const StallContext &) const override;
    // NOTE: A race costs no more than a replacement: the second attempt's prefill is paid either way, and a
    // silent engine does no work. So thrift changes when a race starts, not whether the old stream may win
    // it.
    [[nodiscard]] StallResponse stallResponse() const override { return StallResponse::Hedge; }
    [[nodiscard]] ResumeTargetStrategy targetStrategy(double thrift) const override;
    [[nodiscard]] ReattachMode reattachMode() const override { return ReattachMode::Reattach; }

    static const ResumePolicyRegistration<AdaptivePolicy> registration;
};

} // namespace Wisteria
