// The implementation of Router: hands each event to the part that decides on it.

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
    void take(const RequestOpened &event) { m_admission.handle(event); }
    void take(const CallerLeft &);
    void take(const AttemptStarted &event) { m_sequencer.handle(event); }
    void take(const TokenArrived &event) { m_sequencer.handle(event); }
    void take(const AttemptFinished &event) { m_sequencer.handle(event); }
    void take(const AttemptFailed &event) { m_recovery.handle(event); }
    void take(const TargetChanged &);
    void take(const LoadReported &);
    void take(const CacheReported &);
    void take(const ConfigurationChanged &);
    void take(const FreshnessChanged &);
    void take(const WorkspaceDemandReported &);
    void take(const DrainStarted &);
    void take(const Tick &);

    void notePauseOfThisProcess();
    void handOverAll();
    void scheduleTouched();
    [[nodiscard]] absl::Time drainEnd() const;
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
