// Tracks the targets that requests are forwarded to and selects one for each request.
//
// The selection has to handle these load patterns. Many routers choose at the same moment; loads of other
// routers count as soon as they are reported. Prompts are long; the queued prefill work dominates the cost.
// Memory fills up; a generation goes where its KV cache fits. A whole failure domain fails at once; if
// several of its targets are suspect, the others are chosen last.

#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibCore/StorePosition.h>
#include <LibForwarding/Request.h>
#include <LibForwarding/RolloutOrder.h>
#include <LibForwarding/ServicePerformance.h>
#include <LibForwarding/TargetLimits.h>
#include <LibForwarding/TargetNotices.h>
#include <LibForwarding/TargetSpeeds.h>
#include <LibForwarding/VersionRule.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Wisteria {

enum class ForwardingTargetPhase { Ready, Draining };

// Target as registered in the platform's directory.
struct ForwardingTarget
{
    TargetId id;
    ServiceName service;
    // "IP:port".
    std::string address;
    FailureDomain domain;
    int slots{1};
    ForwardingTargetPhase phase{ForwardingTargetPhase::Ready};
    // Start of the target's process in Unix milliseconds. A new value invalidates all recorded state.
    std::int64_t startedAtMs{0};
    // Empty if the target does not say.
    TargetVersion version;
    // Position of the directory's record.
    StorePosition listedAt;

    [[nodiscard]] TargetProcess process() const { return {id, startedAtMs, address}; }
};

// Load from requests that have not ended yet.
struct TargetLoad
{
    std::int32_t requests{0};
    // Prompt tokens of requests that have not produced a response yet.
    std::int64_t pendingPrefillTokens{0};
    // KV cache tokens of running generations and of copies held for other targets.
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

// Ways in which a target fails.
enum class TargetFault {
    // The connection could not be established.
    Unreachable,
    // A connection with a pending request was closed or reset.
    ConnectionLost,
    // The target sent nothing for too long.
    Unresponsive,
    // The target responded with an internal error or with malformed data.
    InvalidResponse,
    // Nothing accepts connections at the address. The process may have ended, may have reached its limit of
    // connections, or may finish what it has.
    Refused,
    // Another target uses the address.
    Gone,
};

[[nodiscard]] std::string_view targetFaultName(TargetFault);

// Whether targets that limit their requests are chosen.
enum class LimitedTargets { Use, Avoid };

struct TargetRequirements
{
    ServiceName service;
    bool isModelService{false};
    EngineCapabilities engine;
    GenerationSize size;
    // Targets that were already tried for this request.
    std::vector<TargetId> exclude;
    // Domain to avoid if possible, for a copy that must survive the loss of that domain.
    std::optional<FailureDomain> avoidDomain;
    // The target only has to hold a copy.
    bool isCopy{false};
    // The request must not be sent a second time if its response is lost.
    bool runsAtMostOnce{false};
    LimitedTargets limitedTargets{LimitedTargets::Use};
    VersionRule versions;
    // Maximum gap between two events that the caller accepts.
    absl::Duration maxEventGap{absl::InfiniteDuration()};
};

// Where and when a request could start.
struct ExpectedStart
{
    // Time until the target would start prefilling the prompt.
    absl::Duration wait{absl::InfiniteDuration()};
    TargetSpeed speed;
    // Time that all healthy targets together need to prefill a prompt of one token; infinite if there is
    // none.
    absl::Duration timePerToken{absl::InfiniteDuration()};
};

class TargetPool
{
public:
    // How long a target is avoided after its first fault. The time doubles with each further fault until a
    // success. Crashed engines are back after about a second.
    static constexpr absl::Duration initialSuspicion = absl::Milliseconds(400);
    static constexpr absl::Duration maxSuspicion = absl::Seconds(2);
    // How long a fault reported by another router counts; as long as the first fault seen locally.
    static constexpr absl::Duration peerSuspicion = absl::Milliseconds(400);
    // Loads of another router are dropped if it sends no report for this long, which is three report
    // intervals towards a silent router: it is sent every second report, that is one per second.
    static constexpr absl::Duration reportLifetime = absl::Seconds(3);
    // A domain is suspect if at least this many of its targets are. Its other targets are chosen last.
    static constexpr int domainSuspectThreshold = 2;
    // Streams of a target whose mean time between events exceeds this fraction of the maximum gap often
    // exceed the maximum; ForwardedRequest suspects them.
    static constexpr double maxEventTimeFraction = 0.5;

    TargetPool(FailureDomain ownDomain, RandomSource &random)
        : m_ownDomain(std::move(ownDomain)), m_random(random)
    {
    }

    TargetPool(TargetPool &&) = default;
    // The index refers to the elements of one pool.
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    // Targets in the directory.
    //
    // The services of the configuration. An entry of another service may come from another writer, so it says
    // nothing about who uses its address. Until this is called, all services count as named.
    void setServices(absl::flat_hash_set<ServiceName> services) { m_services = std::move(services); }
    [[nodiscard]] bool isKnownService(const ServiceName &service) const
    {
        return !m_services || m_services->contains(service);
    }
    // Adds or updates a target. Returns the process that had the same address before, which no longer exists.
    // A process that drains never becomes ready again, even if a restored store still says that it is. A
    // target that has told its start does so in each entry: one without it is another writer's and only ends
    // the use of the target until its next own entry.
    std::optional<TargetProcess> upsert(const ForwardingTarget &);
    void remove(const TargetId &);
    // The process at the address has said that it is this target. It exists, whatever other entries say.
    void recordAnsweredBy(const TargetId &, const std::string &address);
    [[nodiscard]] const ForwardingTarget *find(const TargetId &) const;
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }

    // Load of this router.
    void addLoad(const TargetId &, const TargetLoad &);
    void subtractLoad(const TargetId &, const TargetLoad &);
    // Loads of this router for all targets where they are not zero, for its reports to the other routers.
    [[nodiscard]] TargetLoads ownLoads() const;

    // Target health. What is said of a process is ignored if a later process of the target is known.
    [[nodiscard]] bool isSuperseded(const TargetProcess &) const;
    void recordFault(const TargetProcess &, TargetFault, absl::Time now);
    void recordSuccess(const TargetId &);
    // The target accepts connections, so the fault concerned a single request.
    void markReachable(const TargetId &);
    void recordPeerFault(const TargetProcess &, absl::Time now);
    // Records that another router found that the process no longer exists.
    void markGone(const TargetProcess &);
    [[nodiscard]] bool isSuspect(const TargetId &, absl::Time now) const;
    // Records what the process said of itself. A target that leaves is chosen no more; one that backs off
    // receives no request until the end of that time.
    // `requestSentAt` is when the request was sent whose answer contained the notice.
    TargetNoticeEffect recordNotice(const TargetProcess &, const TargetNotice &, absl::Time requestSentAt,
                                    absl::Time now);
    // The limit in force on requests to the target from all routers; null if there is none.
    [[nodiscard]] const TargetLimit *limitOf(const TargetId &id) const { return m_limits.find(id); }
    [[nodiscard]] const TargetLimits &limits() const { return m_limits; }
    // Merges what another router knows of a limit.
    TargetLimitChange mergeLimit(const TargetLimit &);
    // No permit for the limited target is expected before this time.
    void deferLimited(const TargetId &id, absl::Time until) { m_deferredUntil[id] = until; }
    // The past if the target has not been deferred.
    [[nodiscard]] absl::Time deferredUntil(const TargetId &) const;
    // A target that is held gets no requests, whatever the rule of a request, since it is not known yet
    // whether its version may be used.
    void setHeld(const TargetId &, bool isHeld);
    // Returns true if the target takes requests, as far as the directory and the target itself have said. A
    // limited target may still need a permit.
    [[nodiscard]] bool acceptsRequests(const TargetId &, absl::Time now) const;
    [[nodiscard]] absl::Time backoffEnd(const TargetId &id) const { return m_notices.backoffEnd(id); }
    [[nodiscard]] bool isBackingOff(const TargetId &id, absl::Time now) const { return now < backoffEnd(id); }
    // Requests that can't wait for the end of a backoff, of which the target takes a few.
    [[nodiscard]] absl::Time earliestUrgentRequest(const TargetId &id, absl::Time now) const
    {
        return m_notices.earliestUrgentRequest(id, now);
    }
    [[nodiscard]] bool tryTakeUrgentRequest(const TargetId &id, absl::Time now)
    {
        return m_notices.tryTakeUrgentRequest(id, now);
    }
    // When a target of the service accepts requests again, if none does now.
    struct Availability
    {
        absl::Time at;
        // The target is limited rather than backing off.
        bool isLimited{false};
    };
    // The earliest one. Empty if a target accepts requests now, or if there is none.
    [[nodiscard]] std::optional<Availability> earliestAvailability(const ServiceName &, absl::Time now,
                                                                   const VersionRule & = {}) const;
    // Returns true if the target is known, ready, neither suspect nor gone, neither leaves nor backs off, and
    // may have a permit if it is limited.
    [[nodiscard]] bool isHealthy(const TargetId &, absl::Time now) const;

    // Replaces the loads that the router reported before.
    void setPeerLoads(const RouterId &, TargetLoads, absl::Time now);

    // Selects the target with the lowest cost. Empty if the service has no target left to try.
    [[nodiscard]] std::optional<TargetId> choose(const TargetRequirements &, absl::Time now);
    // Selects the limited target for which a permit is expected first. Empty if there is none left to try.
    [[nodiscard]] std::optional<TargetId> chooseDeferred(const TargetRequirements &, absl::Time now) const;
    // Selects the target that holds the copy of a generation running on `primary`.
    [[nodiscard]] std::optional<TargetId> chooseCopyHolder(const TargetRequirements &,
                                                           const TargetId &primary, absl::Time now);
    // Another target of the service, whatever its state, but a ready one if there is one. Null if there is
    // none.
    [[nodiscard]] const ForwardingTarget *findBeside(const ServiceName &, const TargetId &) const;
    // Time until the target would start prefilling the prompt.
    [[nodiscard]] absl::Duration expectedWait(const TargetId &, const TargetRequirements &, absl::Time now);
    // Time until the least loaded healthy target would start prefilling the prompt; infinite if there is
    // none.
    [[nodiscard]] absl::Duration backlog(const TargetRequirements &requirements, absl::Time now)
    {
        return earliestStart(requirements, now).wait;
    }
    // When the healthy target that would finish prefilling the prompt first could start.
    [[nodiscard]] ExpectedStart earliestStart(const TargetRequirements &, absl::Time now);
    // Sets the group of routers that share their loads. The group prefers its slice of the targets of each
    // large service.
    void setGroup(std::size_t index, std::size_t count);
    // Speed of the service's targets; the host reports samples to it.
    [[nodiscard]] ServicePerformance &performance(const ServiceName &service)
    {
        return m_performance[service];
    }
    // Speed of each target; the host reports samples to it and exchanges its reports.
    [[nodiscard]] TargetSpeeds &speeds() { return m_speeds; }
    [[nodiscard]] TargetSpeed speedOf(const TargetId &id) const { return m_speeds.speedOf(id); }
    // Whether another router has reported unprocessed prompts at the target since then.
    [[nodiscard]] bool hadPeerPromptSince(const TargetId &, absl::Time since) const;
    // Load of this router plus the loads reported by others.
    [[nodiscard]] TargetLoad loadOf(const TargetId &, absl::Time now);
    // Targets that choices and estimates have looked at so far, for tests and benchmarks.
    [[nodiscard]] std::uint64_t visitedTargets() const { return m_visitedTargets; }

private:
    struct Target
    {
        ForwardingTarget record;
        TargetLoad ownLoad;
        int consecutiveFaults{0};
        absl::Time suspectUntil{absl::InfinitePast()};
        // Like suspectUntil, but an accepted connection does not end it, only a response. A target that lost
        // a response and accepts connections may lose the next one too.
        absl::Time unprovenUntil{absl::InfinitePast()};
        // The target no longer exists; the entry remains until the directory removes it.
        bool isGone{false};
        // Position of the entry of a later process at the address, if that is why the target counts as gone.
        std::optional<StorePosition> replacedAt;
        bool isHeld{false};
        // The directory's entry is another writer's; the record is that of the entry before.
        bool isEntryForeign{false};
        // Moving average of failed requests, in [0, 1].
        double failureRate{0};
        // When another router last reported unprocessed prompts.
        absl::Time peerPromptAt{absl::InfinitePast()};
    };
    // Whether a process with this entry shows that the other one has ended, since they have one address.
    [[nodiscard]] bool takesOver(const ForwardingTarget &record, const ForwardingTarget &other) const;

    struct PeerLoads
    {
        TargetLoads loads;
        absl::Time lastReportAt;
    };

    // Targets of one service that the own group prefers.
    struct Slice
    {
        // Empty if the service is not divided.
        absl::flat_hash_set<TargetId> targets;
        [[nodiscard]] bool contains(const TargetId &id) const
        {
            return targets.empty() || targets.contains(id);
        }
    };

    // Whether targets of a service are allowed by a rule that is in force for one choice.
    class VersionFilter
    {
    public:
        VersionFilter(const TargetPool &, const ServiceName &, const VersionRule &, absl::Time now);
        [[nodiscard]] bool allows(const Target &) const;

    private:
        const VersionRule &m_rule;
        // Candidates with a greater hash are not used.
        std::uint64_t m_greatestHash{std::numeric_limits<std::uint64_t>::max()};
    };

    // The target is limited, and this router expects no permit for it yet.
    [[nodiscard]] bool isDeferred(const TargetId &, absl::Time now) const;
    // The target takes new requests, as far as the directory and the target itself have said.
    [[nodiscard]] bool isReady(const TargetId &, const Target &) const;
    // Null if the target is unknown or a later process of it is known.
    [[nodiscard]] Target *findProcess(const TargetProcess &);
    [[nodiscard]] const Slice &sliceOf(const ServiceName &);
    // Drops the loads of routers whose reports have expired.
    void expirePeerLoads(absl::Time now);
    [[nodiscard]] TargetLoad loadOf(const Target &) const;
    [[nodiscard]] absl::Duration expectedWait(const Target &, const TargetRequirements &,
                                              const ServicePerformance &) const;
    // The listed targets of the service, sorted by id. Counts them as visited.
    using TargetEntry = std::pair<const TargetId, Target>;
    [[nodiscard]] const std::vector<const TargetEntry *> &targetsOf(const ServiceName &) const;
    // Adds an entry for a new target and lists it under the record's service. The entry's record is
    // unchanged.
    [[nodiscard]] Target &entryFor(const ForwardingTarget &);
    void removeFromIndex(const TargetEntry &);
    // The domains of which at least `domainSuspectThreshold` targets of the service are suspect.
    [[nodiscard]] absl::flat_hash_set<FailureDomain> suspectDomains(const ServiceName &,
                                                                    absl::Time now) const;
    // Fraction of the target's memory in use if the request is added.
    [[nodiscard]] static double memoryUtilization(const TargetLoad &, const TargetRequirements &);
    // Expected delay, plus large penalties for suspect targets. Lower is better.
    [[nodiscard]] absl::Duration cost(const Target &, const TargetRequirements &, const ServicePerformance &,
                                      absl::Time now) const;
    [[nodiscard]] absl::Duration plainCost(const Target &, const TargetRequirements &,
                                           const ServicePerformance &, absl::Time now) const;
    [[nodiscard]] absl::Duration modelCost(const Target &, const TargetRequirements &,
                                           const ServicePerformance &, absl::Time now) const;

    FailureDomain m_ownDomain;
    std::optional<absl::flat_hash_set<ServiceName>> m_services;
    RandomSource &m_random;
    // The index refers to the elements, so the map must not move them.
    std::map<TargetId, Target> m_targets;
    // Invariant: contains each element of `m_targets` under its service, sorted by id; no list is empty.
    absl::flat_hash_map<ServiceName, std::vector<const TargetEntry *>> m_targetsByService;
    mutable std::uint64_t m_visitedTargets{0};
    TargetNotices m_notices;
    TargetLimits m_limits;
    // Limited targets for which this router was denied a permit.
    absl::flat_hash_map<TargetId, absl::Time> m_deferredUntil;
    absl::node_hash_map<ServiceName, ServicePerformance> m_performance;
    TargetSpeeds m_speeds;
    std::size_t m_groupIndex{0};
    std::size_t m_groupCount{1};
    // Computed on demand; cleared when targets or groups change.
    absl::node_hash_map<ServiceName, Slice> m_slices;
    absl::flat_hash_map<RouterId, PeerLoads> m_peers;
    // Invariant: the sum of the loads in `m_peers`, including targets that the directory does not list yet.
    absl::flat_hash_map<TargetId, TargetLoad> m_peerLoadSums;
    // No peer load expires before this time.
    absl::Time m_nextPeerExpiry{absl::InfiniteFuture()};
};

} // namespace Wisteria
