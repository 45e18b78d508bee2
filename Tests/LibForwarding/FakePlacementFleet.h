// Model of routers that place generations on targets with outdated knowledge of each other's load, on a
// virtual clock. The routers use the real decision parts; targets only prefill, generate and fail.

#pragma once

#include <LibCore/Random.h>
#include <LibForwarding/PeerTopology.h>
#include <LibForwarding/TargetPool.h>

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace Wisteria {

enum class LoadSharing { Everyone, Groups, Nobody };

struct PlacementScenario
{
    LoadSharing sharing{LoadSharing::Groups};
    PeerTopologyLimits limits{.maxSingleGroup = 20, .maxGroupSize = 16};
    int routers{60};
    int targets{150};
    int domains{5};
    double requestsPerSecond{45};
    // All callers of this many seconds return within one second, at this time.
    absl::Duration burstAt{absl::InfiniteDuration()};
    double burstSeconds{4};
    // A failure domain, another one each time, is lost at this interval.
    absl::Duration domainLossInterval{absl::InfiniteDuration()};
    absl::Duration length{absl::Seconds(20)};
    std::uint64_t seed{1};
};

struct PlacementResult
{
    int requests{0};
    // First event within the objective.
    int inTime{0};
    // Prompt tokens that were prefilled and lost with their target.
    std::int64_t wastedPrefillTokens{0};
    std::int64_t datagrams{0};
    // Smallest share of requests in time among those that arrived in the same second.
    double worstSecond{1};
    [[nodiscard]] double inTimeShare() const { return static_cast<double>(inTime) / requests; }
};

class FakePlacementFleet
{
public:
    // Time to the first event that callers accept. Shorter than the users' objective, so that waiting shows
    // before it is too late.
    static constexpr absl::Duration objective = absl::Seconds(2);

    explicit FakePlacementFleet(const PlacementScenario &);

    [[nodiscard]] PlacementResult run();

private:
    struct Request
    {
        int router{0};
        int target{-1};
        absl::Time arrivedAt;
        std::int64_t remainingTokens{0};
        std::int64_t processedTokens{0};
        TargetLoad load;
        std::vector<TargetId> tried;
        bool hasFirstEvent{false};
    };
    using RequestRef = std::shared_ptr<Request>;
    struct Router
    {
        RouterId id;
        FailureDomain domain;
        std::unique_ptr<TargetPool> pool;
        PeerTopology topology;
        std::vector<int> listeners;
        absl::Time reportedAt;
        bool isReportDue{false};
    };
    struct Target
    {
        TargetId id;
        int domain{0};
        absl::Time downUntil{absl::InfinitePast()};
        // Prompts are prefilled one after the other.
        std::deque<RequestRef> queue;
        std::vector<std::pair<absl::Time, RequestRef>> running;
    };
    struct Retry
    {
        absl::Time at;
        RequestRef request;
    };

    void addRouters();
    void addTargets();
    void arrive(absl::Time);
    void place(const RequestRef &, absl::Time);
    void loseDomain(absl::Time);
    void prefill(Target &, absl::Time);
    void finishGenerations(Target &, absl::Time);
    void retryLost(absl::Time);
    void report(absl::Time);
    void fail(const RequestRef &, TargetFault, absl::Duration detection, absl::Time);

    PlacementScenario m_scenario;
    SeededRandom m_random;
    std::vector<Router> m_routers;
    std::vector<Target> m_targets;
    std::vector<Retry> m_retries;
    std::vector<std::pair<int, int>> m_inTimeBySecond;
    double m_arrivalCredit{0};
    int m_nextLostDomain{0};
    absl::Time m_start{absl::FromUnixSeconds(1000)};
    PlacementResult m_result;
};

} // namespace Wisteria
