// Implementation of Router. Dispatches each event to the component that handles it.

#pragma once

#include <LibRouting/Admission.h>
#include <LibRouting/Router.h>
#include <LibRouting/Sequencer.h>

namespace Wisteria {

class RoutingCore final : public Router
{
public:
    explicit RoutingCore(RandomSource &random);

    [[nodiscard]] RoutingActions handle(const RoutingEvent &, absl::Time now) override;
    [[nodiscard]] absl::Time nextWakeUp() const override { return m_nextWakeUp; }
    [[nodiscard]] std::map<WorkspaceName, std::uint32_t> demand() const override;
    [[nodiscard]] bool isIdle() const override;

private:
    void process(const RequestOpened &event) { m_admission.handle(event); }
    void process(const CallerLeft &);
    void process(const AttemptStarted &event) { m_sequencer.handle(event); }
    void process(const TokenArrived &event) { m_sequencer.handle(event); }
    void process(const AttemptFinished &event) { m_sequencer.handle(event); }
    void process(const AttemptFailed &event) { m_recovery.handle(event); }
    void process(const TargetChanged &);
    void process(const LoadReported &);
    void process(const CacheReported &);
    void process(const ConfigurationChanged &);
    void process(const FreshnessChanged &);
    void process(const WorkspaceDemandReported &);
    void process(const DrainStarted &);
    void process(const Tick &);

    void detectProcessPause();
    void handOverAll();
    void reschedulePending();
    [[nodiscard]] absl::Time drainDeadline() const;
    [[nodiscard]] absl::Time earliestWakeUp() const;

    RoutingState m_state;
    AttemptLauncher m_launcher;
    GenerationCloser m_closer;
    Recovery m_recovery;
    Sequencer m_sequencer;
    Admission m_admission;

    absl::Time m_nextWakeUp{absl::InfiniteFuture()};
};

} // namespace Wisteria
