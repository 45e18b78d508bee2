// What one router knows of one target: phase, estimated load, cached prompt heads, token gaps, recent
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
    // A stream that ran already is in the engine's report; only the own count rises.
    void noteReattachStarted() { ++m_localAttempts; }
    void noteAttemptEnded(absl::Time now);

    // The target is passed over for a while, longer with each failure in a row.
    void noteFailure(absl::Time now);
    // The engine said that it is full.
    void noteOverloaded(absl::Time now);
    void noteProgress(absl::Time now);

    [[nodiscard]] const TargetChanged &properties() const { return m_properties; }
    [[nodiscard]] bool acceptsNewWork() const
    {
        return m_properties.phase == TargetPhase::Live || m_properties.phase == TargetPhase::Suspect;
    }
    [[nodiscard]] bool isCoolingDown(absl::Time now) const { return now < m_cooldownEnd; }
    // Streams that run or wait at the engine: its last report, corrected by what this router did since.
    [[nodiscard]] std::uint32_t load(absl::Time now) const;
    [[nodiscard]] absl::Time lastProgress() const { return m_lastProgress; }

    [[nodiscard]] TokenLatencyEstimator &tokenLatency() { return m_tokenLatency; }
    [[nodiscard]] const TokenLatencyEstimator &tokenLatency() const { return m_tokenLatency; }
    [[nodiscard]] CacheHints &cache() { return m_cache; }
    [[nodiscard]] const CacheHints &cache() const { return m_cache; }

private:
    // An own change of the load that the last report cannot contain.
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
    // Attempts of this router that run at the target.
    std::uint32_t m_localAttempts{0};
    // Invariant: ordered by time; none is older than the report.
    std::deque<LocalLoadChange> m_localChangesSinceReport;

    std::uint32_t m_consecutiveFailures{0};
    absl::Time m_cooldownEnd{absl::InfinitePast()};
    absl::Time m_lastProgress{absl::InfinitePast()};
};

} // namespace Wisteria
