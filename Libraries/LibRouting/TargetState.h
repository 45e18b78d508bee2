// One router's view of a target: phase, estimated load, cached prompt prefixes, token latency and recent
// failures.

#pragma once

#include <LibRouting/CacheHints.h>
#include <LibRouting/TokenLatencyEstimator.h>

#include <deque>

namespace Wisteria {

class TargetState
{
public:
    explicit TargetState(const TargetChanged &change) : m_properties(change) { }

    void apply(const TargetChanged &change) { m_properties = change; }
    void apply(const LoadReported &, absl::Time now);
    void apply(const CacheReported &);

    void noteAttemptStarted(absl::Time now);
    // The stream is already included in the engine's load report, so only the local count increases.
    void noteReattachStarted() { ++m_localAttempts; }
    void noteAttemptEnded(absl::Time now);

    // Starts a cooldown during which the target is avoided. It doubles with each consecutive failure, up to a
    // limit.
    void noteFailure(absl::Time now);
    // The engine reported that it is overloaded.
    void noteOverloaded(absl::Time now);
    void noteProgress(absl::Time now);

    [[nodiscard]] const TargetChanged &properties() const { return m_properties; }
    [[nodiscard]] bool acceptsNewWork() const
    {
        return m_properties.phase == TargetPhase::Live || m_properties.phase == TargetPhase::Suspect;
    }
    [[nodiscard]] bool isCoolingDown(absl::Time now) const { return now < m_cooldownEnd; }
    // Estimated number of streams running or queued at the engine: its last report, adjusted by later changes
    // made by this router.
    [[nodiscard]] std::uint32_t load(absl::Time now) const;
    [[nodiscard]] absl::Time lastProgress() const { return m_lastProgress; }

    [[nodiscard]] TokenLatencyEstimator &tokenLatency() { return m_tokenLatency; }
    [[nodiscard]] const TokenLatencyEstimator &tokenLatency() const { return m_tokenLatency; }
    [[nodiscard]] CacheHints &cache() { return m_cache; }
    [[nodiscard]] const CacheHints &cache() const { return m_cache; }

private:
    // A load change by this router that the last report cannot include.
    struct LocalLoadChange
    {
        absl::Time at;
        int delta{0};
    };

    TargetChanged m_properties;
    TokenLatencyEstimator m_tokenLatency;
    CacheHints m_cache;

    std::uint32_t m_reportedLoad{0};
    absl::Time m_reportedAt{absl::InfinitePast()};
    // Attempts of this router that are running on the target.
    std::uint32_t m_localAttempts{0};
    // Invariant: ordered by time, and none is older than the report.
    std::deque<LocalLoadChange> m_localChangesSinceReport;

    std::uint32_t m_consecutiveFailures{0};
    absl::Time m_cooldownEnd{absl::InfinitePast()};
    absl::Time m_lastProgress{absl::InfinitePast()};
};

} // namespace Wisteria
