// Obtains permits for this router's requests to limited targets, and issues them to other routers.
//
// Each router computes who issues the permits of a target from the routers that it knows to be alive. Routers
// may disagree for a moment: one that is asked and takes another one for the issuer passes the request on,
// once. A request that is not answered counts as denied, and the issuer is not asked for a while.
//
// A state machine without I/O. Invariants: the time passed in never goes back; each request ends with
// exactly one of PermitGranted and PermitDenied, unless it is withdrawn.

#pragma once

#include <LibCore/Random.h>
#include <LibForwarding/LimitMessages.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <variant>
#include <vector>

namespace Wisteria {

// The routers that may issue permits, as this router knows them.
class PermitRouters
{
public:
    virtual ~PermitRouters() = default;
    [[nodiscard]] virtual const RouterId &self() const = 0;
    // Routers that may issue the target's permits, the one that does first. All routers with the same
    // knowledge return the same order.
    [[nodiscard]] virtual std::vector<RouterId> issuers(const TargetId &, absl::Time now) const = 0;
};

// Sorts the routers by their rank as issuer of the target's permits.
void sortByIssuerRank(const TargetId &, std::vector<RouterId> &);

namespace PermitEvents {

struct Requested
{
    PermitRequestId id;
    TargetLimit limit;
    // The request can be sent up to this time from now.
    absl::Duration maxWait;
};
// The caller's request has ended. A permit that it was given may be used by another one.
struct Withdrawn
{
    PermitRequestId id;
};
// Nothing was sent with a permit that was granted.
struct Unused
{
    TargetProcess process;
};
struct RequestReceived
{
    PermitRequest request;
    // What this router knows of the limit, with what the request says; without a rate if it has ended.
    TargetLimit limit;
};
struct AnswerReceived
{
    PermitAnswer answer;
};
// The target has ended its limit, so requests to it need no permit.
struct LimitEnded
{
    TargetProcess process;
};
// The limits in force. Reported about once a second, so that a router that begins to issue a target's permits
// knows since when it does.
struct LimitsObserved
{
    std::vector<TargetLimit> limits;
};
// The time of the last SetTimer was reached, or the known routers have changed.
struct Tick
{
};

} // namespace PermitEvents

using PermitEvent = std::variant<PermitEvents::Requested, PermitEvents::Withdrawn, PermitEvents::Unused,
                                 PermitEvents::RequestReceived, PermitEvents::AnswerReceived,
                                 PermitEvents::LimitEnded, PermitEvents::LimitsObserved, PermitEvents::Tick>;

namespace PermitActions {

// The request may be sent now.
struct Granted
{
    PermitRequestId id;
};
struct Denied
{
    PermitRequestId id;
    // Time until a permit is expected to be free. This router should not ask for one before.
    absl::Duration delay;
};
struct SendRequest
{
    RouterId to;
    PermitRequest request;
};
struct SendAnswer
{
    RouterId to;
    PermitAnswer answer;
};
struct SetTimer
{
    absl::Time at;
};

} // namespace PermitActions

using PermitAction = std::variant<PermitActions::Granted, PermitActions::Denied, PermitActions::SendRequest,
                                  PermitActions::SendAnswer, PermitActions::SetTimer>;
using PermitActionList = std::vector<PermitAction>;

class RequestPermits
{
public:
    // An issuer that has not answered after this time is not expected to. Answers take a few milliseconds.
    static constexpr absl::Duration answerTimeout = absl::Milliseconds(60);
    // An issuer that did not answer is not asked for this long.
    static constexpr absl::Duration silentIssuerPause = absl::Milliseconds(500);
    // Without an issuer, or an answer from it, permits are asked for again after this time.
    static constexpr absl::Duration unansweredDelay = absl::Milliseconds(200);
    // How long a request that can wait waits on after it was denied because of a stale limit: an answer may
    // tell meanwhile that the limit has ended, and routers tell each other within a report interval.
    static constexpr absl::Duration staleLimitWait = absl::Milliseconds(150);
    // A permit that is not used for this long after its time is lost.
    static constexpr absl::Duration permitLifetime = absl::Milliseconds(500);
    // Routers that are denied a permit pause for random times, so that an issuer denies about this many
    // requests a second.
    static constexpr double maxDenialsPerSecond = 50;

    RequestPermits(const PermitRouters &routers, RandomSource &random) : m_routers(routers), m_random(random)
    {
    }

    [[nodiscard]] PermitActionList handle(const PermitEvent &, absl::Time now);
    // Takes a permit that can be used now without asking another router. Returns false if there is none.
    [[nodiscard]] bool tryTake(const TargetLimit &, absl::Time now);

private:
    enum class PendingState { Asked, Granted, Denied };
    struct Pending
    {
        TargetProcess process;
        absl::Duration maxWait;
        bool isLimitStale{false};
        RouterId issuer;
        // Asked: the time at which the issuer counts as silent. Granted: the time of the permit. Denied: the
        // time at which the request is told.
        absl::Time dueAt;
        PendingState state{PendingState::Asked};
        // Set if denied.
        absl::Duration deniedDelay;
    };
    struct SparePermit
    {
        TargetProcess process;
        absl::Time validFrom;
    };
    // Denials in the current second.
    struct DenialCount
    {
        std::int64_t second{0};
        int count{0};
        int previousCount{0};
    };

    void on(const PermitEvents::Requested &, absl::Time now);
    void on(const PermitEvents::Withdrawn &, absl::Time now);
    void on(const PermitEvents::Unused &, absl::Time now);
    void on(const PermitEvents::RequestReceived &, absl::Time now);
    void on(const PermitEvents::AnswerReceived &, absl::Time now);
    void on(const PermitEvents::LimitEnded &, absl::Time now);
    void on(const PermitEvents::LimitsObserved &, absl::Time now);
    void on(const PermitEvents::Tick &, absl::Time now);
    void stopIssuingForOthers(absl::Time now);

    // True if the router that issues the target's permits is this one.
    [[nodiscard]] bool isIssuer(const TargetId &, absl::Time now) const;
    // The first issuer that has not just left a request unanswered; empty if there is none to ask.
    [[nodiscard]] std::optional<RouterId> issuerToAsk(const TargetId &, absl::Time now) const;
    [[nodiscard]] PermitOutcome issue(const TargetLimit &, absl::Duration maxWait, absl::Time now);
    void settle(PermitRequestId, Pending &, const PermitOutcome &, absl::Time now);
    void deny(PermitRequestId, Pending &, absl::Duration delay, absl::Time now);
    void tellDenied(PermitRequestId, absl::Duration delay);
    void endDue(PermitRequestId, const Pending &, absl::Time now);
    // Takes a spare permit whose time is at most `maxWait` away.
    [[nodiscard]] std::optional<absl::Duration> takeSpare(const TargetProcess &, absl::Duration maxWait,
                                                          absl::Time now);
    void dropOld(absl::Time now);
    void setTimer();

    const PermitRouters &m_routers;
    RandomSource &m_random;
    PermitIssuer m_issuer;
    absl::btree_map<PermitRequestId, Pending> m_pending;
    std::vector<SparePermit> m_spares;
    absl::flat_hash_map<RouterId, absl::Time> m_silentUntil;
    DenialCount m_denials;
    PermitActionList m_actions;
};

} // namespace Wisteria
