// The targets that requests are forwarded to: what is known of each, and the choice of one for a request.
//
// Load patterns that the choice answers: many routers that place at the same moment (loads of the other
// routers count as soon as they are heard of), long prompts (the backlog of unread prompt tokens decides
// first), memory that runs full (a generation goes where its memory fits), a failure domain that is lost at
// once (suspicion of several targets of one domain makes the others of it the last choice).

#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibForwarding/Request.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

enum class ForwardingTargetPhase { Ready, Draining };

// What a target says of itself in the platform's directory.
struct ForwardingTarget
{
    TargetId id;
    ServiceName service;
    // "IP:port".
    std::string address;
    FailureDomain domain;
    int slots{1};
    ForwardingTargetPhase phase{ForwardingTargetPhase::Ready};
    // Start of the target's process, Unix milliseconds. A new value voids all that was known of it.
    std::int64_t startedAtMs{0};
};

// Work at one target that has not ended yet.
struct TargetLoad
{
    std::int32_t requests{0};
    // Prompt tokens of requests that have not answered yet.
    std::int64_t pendingPrefillTokens{0};
    // Memory of running generations and of the copies that the target keeps for others.
    std::int64_t memoryTokens{0};

    TargetLoad &operator+=(const TargetLoad &other)
    {
        requests += other.requests;
        pendingPrefillTokens += other.pendingPrefillTokens;
        memoryTokens += other.memoryTokens;
        return *this;
    }
    TargetLoad &operator-=(const TargetLoad &other)
    {
        requests -= other.requests;
        pendingPrefillTokens -= other.pendingPrefillTokens;
        memoryTokens -= other.memoryTokens;
        return *this;
    }
    bool operator==(const TargetLoad &) const = default;
};

using TargetLoads = absl::btree_map<TargetId, TargetLoad>;

// Why a target did not do its work.
enum class TargetFault {
    // It could not be connected to.
    Unreachable,
    // A connection with a request on it was closed or reset.
    ConnectionLost,
    // It sent nothing for too long.
    Unresponsive,
    // It answered with an error of its own or with bytes that are no answer.
    InvalidResponse,
    // Another target has its address, or nothing listens there any more.
    Gone,
};

[[nodiscard]] std::string_view targetFaultName(TargetFault);

struct TargetRequirements
{
    ServiceName service;
    bool isModelService{false};
    EngineCapabilities engine;
    GenerationSize size;
    // Targets that this request has tried already.
    std::vector<TargetId> exclude;
    // Prefer a target outside these domains, for a copy that must survive the loss of one.
    std::optional<FailureDomain> avoidDomain;
    // The target only keeps a copy.
    bool isCopy{false};
};

class TargetPool
{
public:
    // How long a target is avoided after its first fault; doubles with each further one without a success.
    // Source: engines that crash are back after about a second on the users' days.
    static constexpr absl::Duration initialSuspicion = absl::Milliseconds(400);
    static constexpr absl::Duration maxSuspicion = absl::Seconds(2);
    // A suspicion by others counts for this long. Source: as long as the first own one.
    static constexpr absl::Duration peerSuspicion = absl::Milliseconds(400);
    // Loads of another router are dropped when nothing was heard of it for this long. Source: three of the
    // routers' slowest report intervals (LibForwarding/LoadReport.h).
    static constexpr absl::Duration reportLifetime = absl::Seconds(3);
    // This many suspects of one domain within the suspicion make its other targets the last choice.
    static constexpr int domainSuspectThreshold = 2;

    TargetPool(FailureDomain ownDomain, RandomSource &random)
        : m_ownDomain(std::move(ownDomain)), m_random(random)
    {
    }

    // Directory.
    // Returns the target that had the record's address before and is gone with that.
    std::optional<TargetId> upsert(const ForwardingTarget &);
    void remove(const TargetId &);
    [[nodiscard]] const ForwardingTarget *find(const TargetId &) const;
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }

    // Own work.
    void addLoad(const TargetId &, const TargetLoad &);
    void subtractLoad(const TargetId &, const TargetLoad &);
    // The own work of all targets that have some, for the reports to the other routers.
    [[nodiscard]] TargetLoads ownLoads() const;

    // Health.
    void recordFault(const TargetId &, TargetFault, absl::Time now);
    void recordSuccess(const TargetId &);
    // The target accepts connections; what made it suspect was one request.
    void markReachable(const TargetId &);
    void recordPeerFault(const TargetId &, absl::Time now);
    // Another router found that the target is gone.
    void markGone(const TargetId &);
    [[nodiscard]] bool isSuspect(const TargetId &, absl::Time now) const;
    // Known, ready and neither suspect nor gone.
    [[nodiscard]] bool isHealthy(const TargetId &, absl::Time now) const;

    // Others' work, replacing what the same router reported before.
    void setPeerLoads(const RouterId &, TargetLoads, absl::Time now);

    // The best target for the need; empty when the service has none that is left to try.
    [[nodiscard]] std::optional<TargetId> choose(const TargetRequirements &, absl::Time now);
    // The target that should keep a copy of a generation that runs at `primary`.
    [[nodiscard]] std::optional<TargetId> chooseCopyHolder(const TargetRequirements &,
                                                           const TargetId &primary, absl::Time now);
    // Until the target would begin to read the need's prompt.
    [[nodiscard]] absl::Duration expectedWait(const TargetId &, const TargetRequirements &, absl::Time now);
    // Until the best sound target would begin to read the need's prompt; infinite when there is none.
    [[nodiscard]] absl::Duration backlog(const TargetRequirements &, absl::Time now);
    // Own and reported work.
    [[nodiscard]] TargetLoad loadOf(const TargetId &, absl::Time now);

private:
    struct Target
    {
        ForwardingTarget record;
        TargetLoad ownLoad;
        int consecutiveFaults{0};
        absl::Time suspectUntil{absl::InfinitePast()};
        // The target is gone; its entry is kept only until the directory catches up.
        bool isGone{false};
        // Share of recent requests that failed, in [0, 1].
        double failureRate{0};
    };
    struct PeerLoads
    {
        TargetLoads loads;
        absl::Time lastReportAt;
    };

    // Takes back the loads of routers that were silent for too long.
    void expirePeerLoads(absl::Time now);
    [[nodiscard]] TargetLoad loadOf(const Target &) const;
    [[nodiscard]] absl::Duration expectedWait(const Target &, const TargetRequirements &) const;
    [[nodiscard]] bool isDomainSuspect(const FailureDomain &, const ServiceName &, absl::Time now) const;
    // Part of the memory that is in use once the need is met.
    [[nodiscard]] static double memoryUtilization(const TargetLoad &, const TargetRequirements &);
    // Lower is better. In milliseconds of expected delay, plus large terms for doubtful targets.
    [[nodiscard]] double cost(const Target &, const TargetRequirements &, absl::Time now) const;

    FailureDomain m_ownDomain;
    RandomSource &m_random;
    absl::btree_map<TargetId, Target> m_targets;
    absl::flat_hash_map<RouterId, PeerLoads> m_peers;
    // Invariant: the sum of the loads of `m_peers`, also for targets that the directory does not list
    // yet.
    absl::flat_hash_map<TargetId, TargetLoad> m_peerLoadSums;
    // No reporter is silent for too long before this.
    absl::Time m_nextPeerExpiry{absl::InfiniteFuture()};
};

} // namespace Wisteria
