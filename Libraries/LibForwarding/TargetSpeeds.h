// Estimates how fast each target works relative to the other targets of its service.
//
// Load patterns: a part of the targets is permanently slower than the others; a target turns slow for some
// seconds. A slow target that is treated like the others queues prompts until their callers have left.
//
// Each router measures the requests that it forwards and compares them with its own recent measurements of
// the whole service, so that a router with a slow link sees no slow targets. Routers exchange what they
// measured. The newest measurements of all routers decide, and a target counts as slow only if most of them
// agree: a prompt of another router that this one has not heard of makes a single measurement too slow, but
// nothing makes one too fast.
//
// Performs no I/O; the host reports the samples and exchanges the reports.

#pragma once

#include <LibCore/Ids.h>
#include <LibForwarding/TargetLimits.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Wisteria {

// Speed of a target relative to its service; 1 is typical.
class TargetSpeed
{
public:
    // Estimates are confined to this range, so that no measurement makes a target unusable or irresistible.
    static constexpr double min = 1.0 / 16;
    static constexpr double max = 4;
    // A speed between `deadBand` and its inverse counts as typical. A prompt on a target of this speed takes
    // as much longer as the choice of targets ignores anyway (a quarter of a prompt).
    static constexpr double deadBand = 0.8;

    constexpr TargetSpeed() = default;
    // `ratio` is confined to [min, max]; a ratio in the dead band becomes 1.
    [[nodiscard]] static TargetSpeed fromRatio(double ratio);

    [[nodiscard]] bool isTypical() const { return m_ratio == 1; }
    [[nodiscard]] double ratio() const { return m_ratio; }
    // Time that the target needs for what takes a typical one `typicalTime`.
    [[nodiscard]] absl::Duration timeFor(absl::Duration typicalTime) const
    {
        return isTypical() ? typicalTime : typicalTime / m_ratio;
    }
    // How much longer than a typical target it needs; negative for a fast one.
    [[nodiscard]] absl::Duration delayOf(absl::Duration typicalTime) const
    {
        return isTypical() ? absl::ZeroDuration() : typicalTime / m_ratio - typicalTime;
    }
    bool operator==(const TargetSpeed &) const = default;

private:
    double m_ratio{1};
};

// What one router measured last of one target, for the other routers.
struct SpeedReport
{
    // Confined to [TargetSpeed::min, TargetSpeed::max]; not rounded by the dead band.
    double ratio{1};
    // How much the sample counts, confined to [0, 1].
    double weight{0};
    // Age of the sample.
    absl::Duration age;
    // Identifies the measured process.
    std::uint16_t processTag{0};

    bool operator==(const SpeedReport &) const = default;
};

using SpeedReports = absl::btree_map<TargetId, SpeedReport>;

class TargetSpeeds
{
public:
    // A sample counts fully for this long, then less and less until `sampleLifetime`. A slow target that is
    // not used any more counts as typical then, and is tried again.
    static constexpr absl::Duration fullWeightTime = absl::Seconds(5);
    static constexpr absl::Duration sampleLifetime = absl::Seconds(10);
    // The newest samples with this weight in total decide; older ones describe a speed that may have changed.
    static constexpr double decidingWeight = 4;
    // With less, the target counts as typical. More than the weight of one router's report, so that no router
    // decides for others.
    static constexpr double minWeight = 1.5;
    static constexpr double maxPeerWeight = 1;
    // Reports about one target that are remembered; the oldest ones go first.
    static constexpr std::size_t maxPeerReports = 128;
    // This share of the deciding samples must be at or below the estimate. Higher than a half, since unknown
    // prompts of other routers make samples too slow.
    static constexpr double quantile = 0.75;
    // Interval at which the estimates of targets that may not be typical are computed again.
    static constexpr absl::Duration refreshInterval = absl::Milliseconds(250);
    // Time per event is measured over at least this long, and once per target in this time.
    static constexpr absl::Duration decodingWindow = absl::Seconds(1);

    // A target without other unprocessed prompts sent the first event after this time.
    void recordPrefill(const TargetProcess &, const ServiceName &, std::int64_t promptTokens,
                       absl::Duration untilFirstEvent, absl::Time now);
    // A running stream received this many events in the time.
    void recordDecoding(const TargetProcess &, const ServiceName &, std::int64_t events, absl::Duration,
                        absl::Time now);
    // A plain request was answered successfully after this time.
    void recordPlainResponse(const TargetProcess &, const ServiceName &, absl::Duration, absl::Time now);

    // Forgets the samples of earlier processes of the target.
    void processStarted(const TargetProcess &);
    void remove(const TargetId &);
    // Merges what another router reports. Unknown targets and other processes are ignored.
    void merge(const RouterId &, const SpeedReports &, absl::Time now);
    // Own measurements of targets that this router or another one found not to be typical. Equal targets are
    // not reported.
    [[nodiscard]] SpeedReports reports(absl::Time now) const;
    // Computes the estimates again if the last time is `refreshInterval` ago. Cheap otherwise.
    void refresh(absl::Time now);
    // The estimate as of the last call with a time.
    [[nodiscard]] TargetSpeed speedOf(const TargetId &id) const
    {
        // In a fleet of equal targets this costs nothing.
        if (m_estimates.empty())
            return {};
        const auto it = m_estimates.find(id);
        return it == m_estimates.end() ? TargetSpeed() : it->second;
    }

    // Numbers of entries, for tests of the memory in use.
    [[nodiscard]] std::size_t sampleCount() const;
    [[nodiscard]] std::size_t targetCount() const { return m_targets.size(); }
    // Identifies a process in reports.
    [[nodiscard]] static std::uint16_t tagOf(const TargetProcess &);

private:
    struct Sample
    {
        double ratio{1};
        double weight{1};
        absl::Time at;
    };
    // Recent measurements of all targets of a service in one unit.
    class Reference
    {
    public:
        // With fewer measurements, the typical one is unknown.
        static constexpr std::size_t minCount = 8;
        static constexpr std::size_t maxCount = 48;

        void add(double measurement);
        // A measurement that most targets reach; zero if it is unknown.
        [[nodiscard]] double typical() const { return m_typical; }

    private:
        std::vector<double> m_measurements;
        std::size_t m_next{0};
        double m_typical{0};
    };
    struct Service
    {
        // Prompt tokens per millisecond.
        Reference prefill;
        // Events per millisecond.
        Reference decoding;
        // The best of some plain responses per millisecond.
        Reference plain;
    };
    struct Target
    {
        std::uint16_t tag{0};
        // Sorted by time.
        std::vector<Sample> own;
        // The latest reports of other routers, with the time that their newest sample was taken.
        absl::flat_hash_map<RouterId, Sample> peers;
        absl::Time decodingSampledAt{absl::InfinitePast()};
        // The shortest of the plain responses since the last sample.
        int plainResponses{0};
        absl::Duration shortestResponse{absl::InfiniteDuration()};
    };

    [[nodiscard]] Target &targetOf(const TargetProcess &);
    void add(const TargetId &, Target &, Reference &, double measurement, double weight, absl::Time now);
    void updateEstimate(const TargetId &, Target &, absl::Time now);
    // Whether a sample, own or reported, is outside of the dead band.
    [[nodiscard]] static bool isContested(const Target &, absl::Time now);
    [[nodiscard]] static double weightAt(const Sample &, absl::Time now);
    struct Summary
    {
        double ratio{1};
        double weight{0};
    };
    [[nodiscard]] static Summary summarize(std::vector<Sample>, absl::Time now);

    absl::node_hash_map<ServiceName, Service> m_services;
    // The listed targets. Entries appear with `processStarted` and go with `remove`.
    absl::node_hash_map<TargetId, Target> m_targets;
    // Targets that are not typical.
    absl::flat_hash_map<TargetId, TargetSpeed> m_estimates;
    absl::Time m_refreshedAt{absl::InfinitePast()};
};

} // namespace Wisteria
