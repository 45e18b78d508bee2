// Hosts the PromptQuarantine of a gateway: feeds it with what runs and probes show, and logs its verdicts.

#pragma once

#include <LibForwarding/PromptQuarantine.h>
#include <LibForwarding/RouterRegistry.h>
#include <LibForwarding/TargetPool.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/StructuredLog.h>

#include <functional>
#include <optional>

namespace Wisteria {

class PromptGuard
{
public:
    // Interval at which the evidence of verdicts is repeated, for routers that have missed it. A report goes
    // to each router of the group.
    static constexpr absl::Duration verdictInterval = absl::Seconds(2);

    struct Callbacks
    {
        // The other routers should hear of an end at once.
        std::function<void()> endRecorded;
        // Runs that have become barred should be cancelled.
        std::function<void()> verdictAdded;
    };

    PromptGuard(RouterId self, const RouterRegistry &routers, StructuredLog &log, GatewayMetrics &metrics,
                Callbacks callbacks)
        : m_self(std::move(self)), m_routers(routers), m_log(log), m_metrics(metrics),
          m_callbacks(std::move(callbacks))
    {
    }

    // Returns how long requests with these parts are barred; empty if the request may be forwarded, also as
    // the trial of a verdict.
    [[nodiscard]] std::optional<absl::Duration> admit(const PromptParts &, absl::Time now);
    // Like admit(), for a run that has already been admitted: no trial is started.
    [[nodiscard]] std::optional<absl::Duration> barOf(const PromptParts &, absl::Time now) const;

    // A run was lost or given up before its target had written for PromptQuarantine::survivalTime.
    void runLost(const TargetProcess &process, const PromptParts &parts, absl::Time startedAt, absl::Time now)
    {
        m_quarantine.recordLostRun(process, parts, startedAt, now);
    }
    void runSurvived(const PromptParts &, absl::Time now);
    void targetEnded(const TargetId &, absl::Time now);
    // The directory lists this process.
    void processListed(const TargetProcess &, absl::Time now);

    // For a report to the own group: news, and now and then what supports the verdicts.
    [[nodiscard]] PromptEvidence evidenceForGroup(absl::Time now);
    [[nodiscard]] PromptEvidence evidenceForOthers(absl::Time now) const
    {
        return m_quarantine.evidence(PromptQuarantine::EvidenceScope::Recent, now);
    }
    // A router has started; the next report contains what supports the verdicts.
    void routerFound() { m_verdictsDueAt = absl::InfinitePast(); }
    void merge(const PromptEvidence &, PromptQuarantine::EvidenceSource, absl::Time now);
    void expire(absl::Time now);

private:
    [[nodiscard]] bool isTrialOwner(const PromptQuarantine::Verdict &, absl::Time now) const;
    void report(const QuarantineChange &, absl::Time now);
    // `name` says what is known of the end, for the log.
    void reportEnd(const QuarantineChange &, const char *name, const TargetId &, absl::Time now);

    RouterId m_self;
    const RouterRegistry &m_routers;
    StructuredLog &m_log;
    GatewayMetrics &m_metrics;
    Callbacks m_callbacks;
    PromptQuarantine m_quarantine;
    absl::Time m_verdictsDueAt{absl::InfinitePast()};
};

// Names of the parts, as in requests.
[[nodiscard]] nlohmann::json partNames(const PromptParts &);

} // namespace Wisteria
