// Implementation of the calls under tickets.

#include <LibLedger/TicketedCalls.h>

#include <LibLedger/CallLedger.h>

#include <algorithm>

namespace Wisteria {

using detail::TicketedCall;
using detail::TicketPhase;
using detail::TicketWaiter;

namespace detail {

// Tickets issued within this interval share one checkpoint of their time of issue.
constexpr absl::Duration issueCheckpointInterval = absl::Seconds(1);

CallAnswer makeInvalidTicketAnswer()
{
    return makeFailedAnswer(CallOutcome::NotRun, ErrorCode::InvalidRequest, "invalid ticket", std::nullopt);
}

} // namespace detail

TicketedCalls::TicketedCalls(RouterId self, Incarnation incarnation, RandomSource &random)
    : m_self(std::move(self)), m_incarnation(incarnation), m_secret(random.next())
{
}

IdempotencyKey TicketedCalls::issue(absl::Time now)
{
    while (!m_issueCheckpoints.empty() && m_issueCheckpoints.front().time + 2 * ticketLifetime < now)
        m_issueCheckpoints.pop_front();
    m_lastIssued = TicketNumber(m_lastIssued.value() + 1);
    if (m_issueCheckpoints.empty() || m_issueCheckpoints.back().time + detail::issueCheckpointInterval <= now)
        m_issueCheckpoints.push_back(IssueCheckpoint{m_lastIssued, now});
    Ticket ticket{m_self, m_incarnation, m_lastIssued};
    ticket.keyedHash = ticketHash(ticket, m_secret);
    return toKey(ticket);
}

absl::Time TicketedCalls::nextWakeUp() const
{
    const absl::Time call = m_wakeUps.empty() ? absl::InfiniteFuture() : m_wakeUps.begin()->first;
    const absl::Time forward =
        m_forwardDeadlines.empty() ? absl::InfiniteFuture() : m_forwardDeadlines.begin()->first;
    return std::min(call, forward);
}

void TicketedCalls::receive(const CallReceived &received, absl::Time now, LedgerActions &out)
{
    const ErrorOr<Ticket> ticket = ticketFromKey(received.key);
    if (!ticket)
        return detail::answerCall(out, received.call, detail::makeInvalidTicketAnswer());
    if (ticket->router != m_self)
        return forward(*ticket, received, now, out);
    if (ticket->incarnation != m_incarnation)
        return detail::answerCall(
            out, received.call,
            detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                     "the router that issued the ticket was restarted"));
    receiveOwnTicket(*ticket, received, now, out);
}

void TicketedCalls::receiveOwnTicket(const Ticket &ticket, const CallReceived &received, absl::Time now,
                                     LedgerActions &out)
{
    if (ticket.keyedHash != ticketHash(ticket, m_secret))
        return detail::answerCall(out, received.call, detail::makeInvalidTicketAnswer());
    if (auto it = m_calls.find(ticket.number); it != m_calls.end())
        return join(it->second, received, out);
    switch (ticketValidity(ticket, now)) {
    case Validity::NeverIssued:
        return detail::answerCall(out, received.call, detail::makeInvalidTicketAnswer());
    case Validity::Expired:
        return detail::answerCall(out, received.call,
                                  detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                                           "the ticket has expired", std::nullopt));
    case Validity::Valid:
        return admitFirstRequest(ticket, received, now, out);
    }
}

void TicketedCalls::join(TicketedCall &call, const CallReceived &received, LedgerActions &out)
{
    if (call.digest != received.digest || call.workspace != received.workspace
        || call.service != received.service)
        return detail::answerCall(
            out, received.call,
            detail::makeFailedAnswer(CallOutcome::NotRun, ErrorCode::IdempotencyKeyReused,
                                     "the ticket was already used for a different workspace, service or body",
                                     std::nullopt));
    if (call.phase != TicketPhase::Running)
        return detail::answerCall(out, received.call, call.answer);
    call.waiters.push_back(TicketWaiter{received.call, received.deadline});
    setDeadlineWakeUp(call);
}

// The first request under a ticket decides whether the call runs.
void TicketedCalls::admitFirstRequest(const Ticket &ticket, const CallReceived &received, absl::Time now,
                                      LedgerActions &out)
{
    // A ticket whose state cannot be retained must neither run nor be reported as consumed.
    if (m_calls.size() >= maxRetainedCalls)
        return detail::answerCall(out, received.call,
                                  detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::Overloaded,
                                                           "too many ticketed calls are retained"));
    TicketedCall &call = m_calls[ticket.number];
    call.number = ticket.number;
    call.workspace = received.workspace;
    call.service = received.service;
    call.digest = received.digest;
    call.dispatchedCallId = received.call;
    call.waiters.push_back(TicketWaiter{received.call, received.deadline});
    ++m_runningCount;
    const bool expired = received.deadline <= now;
    if (expired || m_newCallPolicy != detail::NewCallPolicy::Admit) {
        const ErrorCode code = expired ? ErrorCode::DeadlineExceeded : detail::rejectionCode(m_newCallPolicy);
        return finish(call, TicketPhase::Consumed,
                      detail::makeFailedAnswer(CallOutcome::NotRun, code,
                                               "rejected before dispatch; retry with a new ticket",
                                               detail::otherRouterRetryAfter),
                      now, out);
    }
    m_ticketsByDispatch[received.call] = ticket.number;
    detail::recordDecision(out, received.call, "dispatch", "this incarnation issued the ticket");
    out.emplace_back(Dispatch{received.call, received.service});
    setDeadlineWakeUp(call);
}

void TicketedCalls::forward(const Ticket &ticket, const CallReceived &received, absl::Time now,
                            LedgerActions &out)
{
    // A call that was already forwarded once is not forwarded again, which prevents loops.
    if (received.source == CallSource::Router || received.deadline <= now
        || m_forwardedCalls.size() >= maxRetainedCalls)
        return detail::answerCall(
            out, received.call,
            detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                     "the call was not forwarded to the router that issued the ticket"));
    m_forwardedCalls[received.call] = received.deadline;
    if (received.deadline != absl::InfiniteFuture())
        m_forwardDeadlines.emplace(received.deadline, received.call);
    detail::recordDecision(out, received.call, "forward", "another incarnation issued the ticket");
    out.emplace_back(ForwardToOwner{received.call, ticket.router, ticket.incarnation});
}

void TicketedCalls::handleTargetAnswer(const TargetAnswered &event, absl::Time now, LedgerActions &out)
{
    TicketedCall *call = findDispatched(event.call);
    if (!call)
        return;
    finish(*call, TicketPhase::Done, detail::makeRanAnswer(event.status, event.body, BodyKept::Yes), now,
           out);
    const std::size_t size = event.body.size();
    if (size > maxRetainedBodyBytes || m_retainedBytes + size > maxRetainedBytes)
        call->answer = detail::makeRanAnswer(event.status, {}, BodyKept::No);
    m_retainedBytes += call->answer.body.size();
}

void TicketedCalls::handleDispatchFailure(const DispatchFailed &event, absl::Time now, LedgerActions &out)
{
    TicketedCall *call = findDispatched(event.call);
    if (!call || call->phase != TicketPhase::Running)
        return;
    if (event.sent == BytesSent::Maybe)
        return finish(*call, TicketPhase::Uncertain,
                      detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                               "the target's answer was lost"),
                      now, out);
    finish(*call, TicketPhase::Consumed,
           detail::makeFailedAnswer(CallOutcome::NotRun, ErrorCode::NoTargetAvailable,
                                    "no target accepted the call; retry with a new ticket"),
           now, out);
}

void TicketedCalls::handleOwnerAnswer(const OwnerAnswered &event, LedgerActions &out)
{
    auto it = m_forwardedCalls.find(event.call);
    if (it == m_forwardedCalls.end())
        return;
    m_forwardDeadlines.erase({it->second, event.call});
    m_forwardedCalls.erase(it);
    detail::answerCall(
        out, event.call,
        event.answer.value_or(detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                                       "the router that issued the ticket did not answer")));
}

void TicketedCalls::tick(absl::Time now, LedgerActions &out)
{
    while (!m_wakeUps.empty() && m_wakeUps.begin()->first <= now) {
        TicketedCall &call = m_calls.at(m_wakeUps.begin()->second);
        if (call.phase == TicketPhase::Running)
            expireWaiters(call, now, out);
        else
            removeCall(call);
    }
    expireForwards(now, out);
}

void TicketedCalls::expireWaiters(TicketedCall &call, absl::Time now, LedgerActions &out)
{
    const CallAnswer answer = detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::DeadlineExceeded,
                                                       "the deadline passed before the outcome was known");
    for (const auto &it : call.waiters) {
        if (it.deadline <= now)
            detail::answerCall(out, it.call, answer);
    }
    std::erase_if(call.waiters, [&](const TicketWaiter &it) { return it.deadline <= now; });
    setDeadlineWakeUp(call);
}

void TicketedCalls::expireForwards(absl::Time now, LedgerActions &out)
{
    while (!m_forwardDeadlines.empty() && m_forwardDeadlines.begin()->first <= now) {
        const CallId call = m_forwardDeadlines.begin()->second;
        m_forwardDeadlines.erase(m_forwardDeadlines.begin());
        m_forwardedCalls.erase(call);
        detail::answerCall(out, call,
                           detail::makeFailedAnswer(CallOutcome::Unknown, ErrorCode::DeadlineExceeded,
                                                    "the deadline passed before the outcome was known"));
    }
}

void TicketedCalls::finish(TicketedCall &call, TicketPhase phase, CallAnswer answer, absl::Time now,
                           LedgerActions &out)
{
    for (const auto &it : call.waiters)
        detail::answerCall(out, it.call, answer);
    call.waiters.clear();
    if (call.phase == TicketPhase::Running)
        --m_runningCount;
    call.phase = phase;
    call.answer = std::move(answer);
    // An uncertain call keeps its dispatch id, under which a late answer may still arrive.
    if (phase != TicketPhase::Uncertain)
        m_ticketsByDispatch.erase(call.dispatchedCallId);
    // The call is kept until every ticket issued up to now has expired, including its own; otherwise the
    // ticket could be dispatched again.
    setWakeUp(call, now + std::max(ticketLifetime, outcomeRetention) + 2 * detail::issueCheckpointInterval);
}

TicketedCalls::Validity TicketedCalls::ticketValidity(const Ticket &ticket, absl::Time now) const
{
    if (ticket.number == TicketNumber() || ticket.number > m_lastIssued)
        return Validity::NeverIssued;
    auto it = std::upper_bound(
        m_issueCheckpoints.begin(), m_issueCheckpoints.end(), ticket.number,
        [](TicketNumber number, const IssueCheckpoint &checkpoint) { return number < checkpoint.first; });
    if (it == m_issueCheckpoints.begin())
        return Validity::Expired;
    return std::prev(it)->time + ticketLifetime + detail::issueCheckpointInterval < now ? Validity::Expired
                                                                                        : Validity::Valid;
}

TicketedCall *TicketedCalls::findDispatched(CallId id)
{
    auto it = m_ticketsByDispatch.find(id);
    return it == m_ticketsByDispatch.end() ? nullptr : &m_calls.at(it->second);
}

void TicketedCalls::setWakeUp(TicketedCall &call, absl::Time time)
{
    m_wakeUps.erase({call.wakeAt, call.number});
    call.wakeAt = time;
    if (time != absl::InfiniteFuture())
        m_wakeUps.emplace(time, call.number);
}

void TicketedCalls::setDeadlineWakeUp(TicketedCall &call)
{
    absl::Time earliest = absl::InfiniteFuture();
    for (const auto &it : call.waiters)
        earliest = std::min(earliest, it.deadline);
    setWakeUp(call, earliest);
}

void TicketedCalls::removeCall(TicketedCall &call)
{
    setWakeUp(call, absl::InfiniteFuture());
    m_retainedBytes -= call.answer.body.size();
    m_ticketsByDispatch.erase(call.dispatchedCallId);
    m_calls.erase(TicketNumber(call.number));
}

} // namespace Wisteria
