// Compares the answers of a new version's targets with those of the old version's, by route.
//
// Both versions are compared over the same period, since crashes, bursts and slow targets affect both. A
// sequential test decides as soon as the evidence suffices; its error rates are constants below.
//
// Performs no I/O. Each router tallies its own answers; the coordinator compares the sums.

#pragma once

#include <LibForwarding/RolloutOrder.h>
#include <LibForwarding/VersionEvidence.h>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>

namespace Wisteria {

// One answer of a target, or the loss of one.
struct AnswerSample
{
    std::string route;
    VersionSide side{VersionSide::Baseline};
    TargetId process;
    // The target answered with an error of its own, or with malformed data.
    bool isFailure{false};
    // The connection was lost. A crash ends many requests at once, so losses of one process within a second
    // count once.
    bool isLoss{false};
    // How slow the answer was, in a unit that is the same for all answers of the route; larger is slower.
    // Empty if the answer does not tell.
    std::optional<double> slowness;
};

// Bucket n counts slownesses in [2^((n-1)/2), 2^(n/2)); the first one also counts those below, and the last
// one has no upper end.
using SlownessHistogram = std::array<std::uint32_t, 40>;

// Answers of one process, as part of a RouteTally.
struct ProcessTally
{
    std::uint32_t answers{0};
    std::uint32_t failures{0};
    std::uint32_t losses{0};
    std::uint32_t isolatedLosses{0};
    // Counted on the candidate side only, where single slow processes have to be told from a slow version.
    SlownessHistogram slowness{};

    ProcessTally &operator+=(const ProcessTally &);
    bool operator==(const ProcessTally &) const = default;
};

// Answers of one route and side. All counts only grow.
struct RouteTally
{
    // Bucket n counts slownesses in [2^((n-1)/2), 2^(n/2)); the last one has no upper end.
    static constexpr std::size_t slownessBuckets = 40;
    // Processes with failures, to tell a bad version from a single bad target. Only the first ones are kept.
    static constexpr std::size_t maxFailingProcesses = 4;

    std::uint32_t answers{0};
    std::uint32_t failures{0};
    SlownessHistogram slowness{};
    absl::btree_set<TargetId> processes;
    absl::btree_set<TargetId> failingProcesses;
    // Part of `failures`: lost connections.
    std::uint32_t losses{0};
    // Lost connections after which the process went on answering, so that it did not crash. Each one counts.
    std::uint32_t isolatedLosses{0};
    // The same counts by process, for the first `maxCountedProcesses` ones. A sum holds more of them, since
    // routers may have counted different ones.
    static constexpr std::size_t maxCountedProcesses = 16;
    static constexpr std::size_t maxSummedProcesses = 256;
    absl::btree_map<TargetId, ProcessTally> byProcess;

    RouteTally &operator+=(const RouteTally &);
    bool operator==(const RouteTally &) const = default;
};

// By route, then by side.
using VersionTallies = absl::btree_map<std::string, std::array<RouteTally, 2>>;

void addTallies(VersionTallies &sum, const VersionTallies &);

// This router's own answers, since it knows the order.
class VersionTally
{
public:
    void add(const AnswerSample &, absl::Time now);
    [[nodiscard]] const VersionTallies &tallies() const { return m_tallies; }
    void clear();

    // A process that answers this long after a loss has not crashed; answers may overtake the news of a
    // crash, and a process that has crashed may be back later.
    static constexpr absl::Duration minIsolation = absl::Milliseconds(100);
    static constexpr absl::Duration maxIsolation = absl::Milliseconds(600);
    // Of one process that wait for an answer of it; more are not counted as isolated.
    static constexpr std::size_t maxPendingLosses = 64;

private:
    struct PendingLoss
    {
        std::string route;
        VersionSide side{VersionSide::Baseline};
        absl::Time at;
    };

    void add(const std::string &route, VersionSide, const TargetId &, const ProcessTally &);
    // The process has answered.
    void countIsolatedLosses(const TargetId &, absl::Time now);

    VersionTallies m_tallies;
    absl::btree_map<TargetId, absl::Time> m_lastLossAt;
    absl::btree_map<TargetId, std::deque<PendingLoss>> m_pendingLosses;
};

class VersionComparison
{
public:
    // Probability of calling a sound version bad, for each test.
    static constexpr double falseAlarmRate = 1e-4;
    // Probability of accepting a version whose fraction of bad answers is larger by `minDegradation`.
    static constexpr double missRate = 0.01;
    // Increase of the fraction of bad answers that has to be found.
    static constexpr double minDegradation = 0.1;
    // An answer is slow if it takes this many times the median of the old version in the same period.
    static constexpr double slowFactor = 2.5;
    // An alarm needs at least this many bad answers.
    static constexpr std::uint32_t minBadAnswers = 8;

    enum class Result { Undecided, Sound, Worse };

    VersionComparison();

    // Takes the sums over all routers, which only grow, except when a router has restarted.
    void update(const VersionTallies &sum, absl::Time now);
    // Worse if one route is; Sound if all routes with traffic are.
    [[nodiscard]] Result result() const { return m_result; }
    // Whether all routes together show that the fraction of bad answers is not larger by
    // `EvidenceLimits::overallDegradation`, and no route speaks against the version. It takes a fraction of
    // the answers that Sound takes, for services with too few requests to accept each route by itself.
    [[nodiscard]] bool isSoundOverall() const { return m_isSoundOverall; }
    // For the log: the route and the measure that decided.
    [[nodiscard]] const std::string &reason() const { return m_reason; }
    // Bad answers of the new version that have been seen: failures and slow ones.
    [[nodiscard]] std::uint32_t badAnswers() const { return m_badAnswers; }
    // With fewer answers of the new version on a route, it says nothing about that route.
    static constexpr double minAnswersOverall = 3;
    // Answers of the new version on the route with the fewest, among those with traffic.
    [[nodiscard]] std::uint32_t fewestAnswers() const { return m_fewestAnswers; }

    // A period of a route ends when the old version has this many answers, or the new one, or at this age.
    // Short periods keep bursts from counting for one side only.
    static constexpr double periodAnswers = 40;
    static constexpr absl::Duration maxPeriod = absl::Seconds(10);
    // With fewer answers of the old version in the period, its median is too uncertain for a verdict.
    static constexpr double minMedianAnswers = 20;
    // Lost connections are compared by process in periods of this length, since crashes last about as long.
    static constexpr absl::Duration lossPeriod = absl::Seconds(1);
    // A process counts as in use for this long after its last answer.
    static constexpr absl::Duration processInUse = absl::Seconds(30);
    // Routes with a smaller fraction of all answers don't delay the acceptance.
    static constexpr double minRouteShare = 0.01;
    // Further routes are not compared.
    static constexpr std::size_t maxRoutes = 256;

private:
    struct Counts
    {
        double answers{0};
        double failures{0};
        std::array<double, RouteTally::slownessBuckets> slowness{};
    };
    // Answers since the beginning of a period.
    struct Period
    {
        absl::Time start{absl::InfiniteFuture()};
        Counts baseline;
        // By process; answers that are not known by process have an empty id.
        absl::btree_map<TargetId, Counts> candidate;
        // Largest evidence against the new version that the period may add.
        double maxGain{std::numeric_limits<double>::infinity()};
    };
    struct Route
    {
        // The sums of the last update.
        std::array<RouteTally, 2> last;
        Period failurePeriod;
        Period slownessPeriod;
        VersionEvidence failures;
        VersionEvidence slowness;
        // Answers of both sides, and of the new version.
        double answers{0};
        double candidateAnswers{0};
        double candidateFailures{0};
        // Slow answers of the new version in the periods that have ended, and in this one.
        double slowBefore{0};
        double slowNow{0};
        // Evidence since the first answer, by measure.
        double overallFailures{0};
        double overallSlowness{0};
        // Both versions have had enough answers to compare their slowness.
        bool isSlownessCompared{false};

        Route();
    };

    // Adds what is new since the last update to the periods, or restarts these if a count has dropped.
    void advance(Route &, const std::array<RouteTally, 2> &sum, absl::Time now);
    void recordProcesses(VersionSide, const RouteTally &last, const RouteTally &current, absl::Time now);
    void compareFailures(const std::string &name, Route &, std::size_t inUse, absl::Time now);
    void compareSlowness(const std::string &name, Route &, std::size_t inUse, absl::Time now);
    void compareLosses(std::size_t inUse, absl::Time now);
    void raiseAlarm(std::string reason);
    void summarize(std::size_t inUse);
    void summarizeOverall(double allAnswers, std::size_t inUse);
    [[nodiscard]] std::size_t countInUse(absl::Time now);

    absl::btree_map<std::string, Route> m_routes;
    // Candidate processes by their last answer.
    absl::btree_map<TargetId, absl::Time> m_candidatesUsedAt;
    // By side: processes with answers in this loss period, and whether they have lost a connection.
    std::array<absl::btree_map<TargetId, bool>, 2> m_lossPeriod;
    absl::Time m_lossPeriodStart{absl::InfiniteFuture()};
    VersionEvidence m_losses;
    Result m_result{Result::Undecided};
    bool m_isSoundOverall{false};
    std::string m_reason;
    std::uint32_t m_badAnswers{0};
    std::uint32_t m_fewestAnswers{0};
};

} // namespace Wisteria
