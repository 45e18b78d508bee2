// Leads the rollouts of a fleet: sums the routers' reports, grants shares of the new version, and decides
// when an order is completed or rolled back.
//
// Every router has one; only that of the router that its peers consider the coordinator acts. Two may act for
// a moment: shares are limited by each router itself, and a verdict is written only against the revision that
// was read, so that the first one stands.
//
// A state machine without I/O. Invariant: the time passed in never goes back.

#pragma once

#include <LibForwarding/RolloutMessages.h>
#include <LibForwarding/RolloutOrder.h>
#include <LibForwarding/RolloutReports.h>
#include <LibForwarding/VersionComparison.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wisteria {

struct RolloutLimits
{
    // Largest fraction of a service's requests that a version may get before it has been found sound.
    double maxShare{0.1};
    // Requests above that fraction that are tolerated.
    double slack{0};
    // A version found bad gets no request that was sent later than this.
    absl::Duration stopDeadline{absl::Seconds(5)};
};

namespace RolloutEvents {

// The store holds this order now, in this state. Reported on changes of the order and of the context, and for
// each order after ReadOrders, also if it has not changed.
struct OrderSeen
{
    RolloutRecord record;
    RolloutContext context;
};
struct OrderGone
{
    std::string name;
};
struct ReportReceived
{
    RolloutReport report;
};
// Reported about once a second and on changes.
struct RoutersObserved
{
    // Routers that the directory lists, and those that have reported lately; both include this one.
    std::size_t known{1};
    std::size_t alive{1};
    // This router is the one that coordinates.
    bool isCoordinator{false};
    bool isStoreTrusted{false};
};
// Each WriteStatus is answered by exactly one of these.
// Errors: Conflict (the object has changed), StoreUnavailable (not written), StoreOutcomeUnknown.
struct StatusWritten
{
    std::string name;
    ErrorOr<ObjectVersion> result;
};
struct Tick
{
};

} // namespace RolloutEvents

using RolloutEvent =
    std::variant<RolloutEvents::OrderSeen, RolloutEvents::OrderGone, RolloutEvents::ReportReceived,
                 RolloutEvents::RoutersObserved, RolloutEvents::StatusWritten, RolloutEvents::Tick>;

namespace RolloutActions {

// Sent to all routers, also to this one.
struct SendGrant
{
    RolloutGrant grant;
};
// Written only if the object still has the revision.
struct WriteStatus
{
    std::string name;
    ObjectVersion revision;
    RolloutState state{RolloutState::Running};
    TargetVersion target;
};
// The store's orders have to be read again.
struct ReadOrders
{
};
// A step for the log: "rollout_started", "rollout_phase", "rollout_verdict", "rollout_rejected",
// "rollout_write_failed", with what led to it.
struct LogStep
{
    std::string event;
    std::string name;
    RolloutPhase phase{RolloutPhase::Idle};
    TargetVersion target;
    std::string reason;
    std::uint32_t answers{0};
    std::uint32_t badAnswers{0};
};
struct SetTimer
{
    absl::Time at;
};

} // namespace RolloutActions

using RolloutAction =
    std::variant<RolloutActions::SendGrant, RolloutActions::WriteStatus, RolloutActions::ReadOrders,
                 RolloutActions::LogStep, RolloutActions::SetTimer>;
using RolloutActionList = std::vector<RolloutAction>;

namespace detail {

// A wave of the phase Loading: the allowance accumulates, is spent, and then the reports of it arrive.
struct RolloutWave
{
    enum class Step { Accumulating, Spending, Reporting };
    Step step{Step::Accumulating};
    absl::Time stepAt;
    // Sums when the spending began.
    RolloutCounts countsBefore;
    // Highest load of a new target that was reported, relative to that of an old one.
    double load{0};
};
struct RolloutWrite
{
    RolloutOrder order;
    RolloutState state{RolloutState::Running};
};
struct OpenRollout
{
    RolloutRecord record;
    RolloutContext context;
    // Phase of the grants. Invariant: goes up only, except to RolledBack, or to the store's verdict.
    RolloutPhase phase{RolloutPhase::Idle};
    absl::Time phaseAt;
    absl::Time orderedAt;
    RolloutReports reports;
    VersionComparison comparison;
    bool hasNewReports{false};
    absl::Time comparedAt{absl::InfinitePast()};

    RolloutWave wave;
    int effectiveWaves{0};
    // Accumulating time of the next wave; longer if the last one has not reached the load of old targets.
    absl::Duration accumulatingTime;
    bool isLoadReached{false};

    // The status that this router intends to write. Invariant: once RolledBack, it stays so.
    RolloutState intended{RolloutState::None};
    // The verdict, once a router has learned it from the store.
    std::optional<RolloutState> verdict;

    // The write that has not been answered yet.
    std::optional<RolloutWrite> write;
    // Answers to come for writes of earlier orders of this object.
    int staleWrites{0};
    // The object may have changed since the record was read.
    bool needsRead{false};
    // The next write, and the next read if the last one has not been answered, are not made before.
    absl::Time retryAt{absl::InfinitePast()};
    absl::Time readAt{absl::InfinitePast()};
    // When a status write of this router was last acknowledged.
    absl::Time writtenAt{absl::InfinitePast()};
    absl::Time failureLoggedAt{absl::InfinitePast()};

    absl::Time grantAt{absl::InfinitePast()};
    absl::Time grantedAt{absl::InfinitePast()};
    // Grants that are still repeated quickly, since a lost one would leave a bad version in use.
    int urgentGrants{0};
    absl::Time grantsUntil{absl::InfiniteFuture()};
    std::optional<ErrorCode> rejectedFor;
};
struct RolloutVerdict
{
    RolloutOrder order;
    RolloutState state{RolloutState::Completed};
    // Revision at which the object held another order. If the object holds this order again at a later
    // one, it was ordered anew; at an earlier one, an older copy of the store was restored.
    std::optional<ObjectVersion> supersededAt;
};

} // namespace detail

class RolloutCoordinator
{
public:
    // Grants and reports are exchanged this often, or less often in a large fleet.
    static constexpr absl::Duration minInterval = absl::Milliseconds(500);
    static constexpr absl::Duration intervalPerRouter = absl::Milliseconds(5);
    // A router that begins to coordinate waits this long for the reports of the others.
    static constexpr absl::Duration takeOverDelay = absl::Seconds(1);
    // Fractions of the order's duration.
    static constexpr double latestSwitch = 0.6;
    // From then on, all routes together are enough to accept the new version. A service with few requests
    // would be rolled back at the time limit otherwise.
    static constexpr double overallAcceptance = 0.45;
    static constexpr double latestCompletion = 0.85;
    // Fraction of the largest share that is used; the rest is left for attempts that are under way.
    static constexpr double shareSafety = 0.8;
    static constexpr double probingShare = 0.2;
    static constexpr std::uint32_t probingAnswers = 20;
    // A status write that has not been acknowledged is repeated after this time.
    static constexpr absl::Duration writeRetryInterval = absl::Milliseconds(500);
    // Longest time between two looks at an open order.
    static constexpr absl::Duration tickInterval = absl::Milliseconds(250);
    // Messages that are on their way need this long beside the interval between them.
    static constexpr absl::Duration messageMargin = absl::Milliseconds(250);

    RolloutCoordinator(RouterId self, const RolloutLimits &limits) : m_self(std::move(self)), m_limits(limits)
    {
    }

    [[nodiscard]] RolloutActionList handle(const RolloutEvent &, absl::Time now);
    // Interval between messages in a fleet of this size.
    [[nodiscard]] static absl::Duration messageInterval(std::size_t routers);

private:
    using Wave = detail::RolloutWave;
    using Rollout = detail::OpenRollout;
    using Verdict = detail::RolloutVerdict;

    void take(const RolloutEvents::OrderSeen &, absl::Time now, RolloutActionList &);
    void take(const RolloutEvents::OrderGone &, absl::Time now, RolloutActionList &);
    void take(const RolloutEvents::ReportReceived &, absl::Time now, RolloutActionList &);
    void take(const RolloutEvents::RoutersObserved &, absl::Time now, RolloutActionList &);
    void take(const RolloutEvents::StatusWritten &, absl::Time now, RolloutActionList &);
    void take(const RolloutEvents::Tick &, absl::Time, RolloutActionList &) { }

    void updateRole(absl::Time now, RolloutActionList &);
    // Ends the wait of a take-over if the reports already show that a version is bad: closing it needs no
    // more of them.
    void closeEarly(absl::Time now);
    [[nodiscard]] bool isActing(absl::Time now) const { return now >= m_actingFrom; }
    // Reports since this time count as those of routers that are heard.
    [[nodiscard]] absl::Time heardSince(absl::Time now) const;

    void advance(Rollout &, absl::Time now, RolloutActionList &);
    void start(Rollout &, absl::Time now, RolloutActionList &);
    void compare(Rollout &, absl::Time now);
    void advancePhase(Rollout &, absl::Time now, RolloutActionList &);
    // Accumulating time of the first wave of an order, and the number of waves that it needs.
    [[nodiscard]] static absl::Duration firstAccumulatingTime(const RolloutOrder &);
    [[nodiscard]] static int neededWaves(const RolloutOrder &);
    void advanceWave(Rollout &, absl::Time now);
    void finishWave(Rollout &, absl::Time now);
    [[nodiscard]] absl::Duration waveTime(const Rollout &) const;
    // Runs per new target that waves use, relative to the runs per old target.
    [[nodiscard]] double reportedLoad(const Rollout &, absl::Time now) const;
    [[nodiscard]] bool isWaveEffective(const Rollout &, absl::Time now) const;
    // The verdict can't wait any longer.
    [[nodiscard]] static bool isAtLimit(const Rollout &, absl::Time now);
    [[nodiscard]] bool isReadyToComplete(const Rollout &, absl::Time now) const;
    // The status that the store should hold now; None if nothing is to be written.
    [[nodiscard]] RolloutState statusToWrite(const Rollout &, absl::Time now) const;
    void setPhase(Rollout &, RolloutPhase, std::string reason, absl::Time now, RolloutActionList &);
    void decide(Rollout &, RolloutState, std::string reason, absl::Time now, RolloutActionList &);
    void learnVerdict(Rollout &, RolloutState, absl::Time now);
    void recallVerdict(Rollout &, absl::Time now);
    void writeStatus(Rollout &, absl::Time now, RolloutActionList &);
    void sendGrant(Rollout &, absl::Time now, RolloutActionList &);
    void setTimer(absl::Time now, RolloutActionList &);
    [[nodiscard]] double shareOf(const Rollout &) const;

    RouterId m_self;
    RolloutLimits m_limits;
    RolloutEvents::RoutersObserved m_routers;
    absl::Time m_observedAt{absl::InfinitePast()};
    // When this router begins to act; in the infinite future if it may not coordinate.
    absl::Time m_actingFrom{absl::InfiniteFuture()};
    absl::Time m_timerAt{absl::InfinitePast()};
    // By the name of the object. Invariant: the name of each is that of its record.
    absl::btree_map<std::string, Rollout> m_rollouts;
    // Verdicts by the name of the object. Invariant: bounded in number, the latest ones are kept.
    absl::btree_map<std::string, std::vector<Verdict>> m_verdicts;
};

} // namespace Wisteria
