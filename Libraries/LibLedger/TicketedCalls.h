// At-most-once calls under tickets. Only the issuing incarnation dispatches them, so they need no store
// access.
//
// After `NotRun` a ticket is consumed and the caller takes a new one, which needs no store access either.
// `NotRun` is therefore final, whichever of the caller's requests arrives later.

#pragma once

#include <LibCore/Random.h>
#include <LibLedger/Answers.h>
#include <LibLedger/Ticket.h>

#include <deque>
#include <map>
#include <set>

namespace Wisteria {

namespace detail {

enum class TicketPhase {
    Running,
    // Dispatched, but the answer was lost. A late answer is still accepted.
    Uncertain,
    Done,
    // The call was rejected, or its dispatch failed before any byte was sent; it never runs.
    Consumed,
};

struct TicketWaiter
{
    CallId call;
    absl::Time deadline;
};

struct TicketedCall
{
    TicketNumber number;
    WorkspaceName workspace;
    ServiceName service;
    BodyDigest digest;
    TicketPhase phase{TicketPhase::Running};
    CallId dispatchedCallId;
    std::vector<TicketWaiter> waiters;
    // Answer to later requests; unset while Running.
    CallAnswer answer;
    absl::Time wakeAt{absl::InfiniteFuture()};
};

} // namespace detail

class TicketedCalls
{
public:
    TicketedCalls(RouterId self, Incarnation incarnation, RandomSource &random);

    [[nodiscard]] IdempotencyKey issue(absl::Time now);
    [[nodiscard]] bool isIdle() const { return m_runningCount == 0 && m_forwardedCalls.empty(); }
    [[nodiscard]] absl::Time nextWakeUp() const;

    // Processes a request whose key has the ticket prefix.
    void receive(const CallReceived &, absl::Time now, LedgerActions &out);
    void handleTargetAnswer(const TargetAnswered &, absl::Time now, LedgerActions &out);
    void handleDispatchFailure(const DispatchFailed &, absl::Time now, LedgerActions &out);
    void handleOwnerAnswer(const OwnerAnswered &, LedgerActions &out);
    void setNewCallPolicy(detail::NewCallPolicy newCallPolicy) { m_newCallPolicy = newCallPolicy; }
    void tick(absl::Time now, LedgerActions &out);

private:
    enum class Validity { Valid, Expired, NeverIssued };

    // Tickets with numbers from `first` on were issued at `time` or later.
    struct IssueCheckpoint
    {
        TicketNumber first;
        absl::Time time;
    };

    void receiveOwnTicket(const Ticket &, const CallReceived &, absl::Time now, LedgerActions &out);
    void join(detail::TicketedCall &, const CallReceived &, LedgerActions &out);
    void admitFirstRequest(const Ticket &, const CallReceived &, absl::Time now, LedgerActions &out);
    void forward(const Ticket &, const CallReceived &, absl::Time now, LedgerActions &out);
    void finish(detail::TicketedCall &, detail::TicketPhase, CallAnswer, absl::Time now, LedgerActions &out);
    void expireWaiters(detail::TicketedCall &, absl::Time now, LedgerActions &out);
    void expireForwards(absl::Time now, LedgerActions &out);
    [[nodiscard]] Validity ticketValidity(const Ticket &, absl::Time now) const;
    [[nodiscard]] detail::TicketedCall *findDispatched(CallId);
    void setWakeUp(detail::TicketedCall &, absl::Time);
    void setDeadlineWakeUp(detail::TicketedCall &);
    void removeCall(detail::TicketedCall &);

    RouterId m_self;
    Incarnation m_incarnation;
    TicketSecret m_secret;
    detail::NewCallPolicy m_newCallPolicy{detail::NewCallPolicy::Admit};
    TicketNumber m_lastIssued;
    // Invariant: increasing in both members; covers every ticket that may still be used.
    std::deque<IssueCheckpoint> m_issueCheckpoints;
    std::map<TicketNumber, detail::TicketedCall> m_calls;
    // Invariant: holds the dispatch ids of the Running and Uncertain calls.
    std::map<CallId, TicketNumber> m_ticketsByDispatch;
    std::set<std::pair<absl::Time, TicketNumber>> m_wakeUps;
    // Calls under tickets of other routers, with their deadlines.
    std::map<CallId, absl::Time> m_forwardedCalls;
    std::set<std::pair<absl::Time, CallId>> m_forwardDeadlines;
    std::size_t m_runningCount{0};
    std::size_t m_retainedBytes{0};
};

} // namespace Wisteria
