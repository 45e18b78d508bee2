// Calls under tickets.

#include <LibLedger/TicketedCalls.h>

#include <LibLedger/CallLedger.h>

#include <algorithm>

namespace Wisteria {

using detail::TicketedCall;
using detail::TicketPhase;
using detail::TicketWaiter;

namespace detail {

// Tickets issued within this time share one mark of their time of issue.
constexpr absl::Duration issueMarkSpacing = absl::Seconds(1);

CallAnswer invalidTicket()
{
    return failedAnswer(CallOutcome::NotRun, ErrorCode::InvalidRequest, "not a ticket of this system",
                        std::nullopt);
}

} // namespace detail

TicketedCalls::TicketedCalls(RouterId self, Incarnation incarnation, RandomSource &random)
    : m_self(std::move(self)), m_incarnation(incarnation), m_secret(random.next())
{
}

IdempotencyKey TicketedCalls::issue(absl::Time now)
{
    while (!m_marks.empty() && m_marks.front().time + 2 * ticketLifetime < now)
        m_marks.pop_front();
    m_lastIssued = TicketNumber(m_lastIssued.value() + 1);
    if (m_marks.empty() || m_marks.back().time + detail::issueMarkSpacing <= now)
        m_marks.push_back(IssueMark{m_lastIssued, now});
    Ticket ticket{m_self, m_incarnation, m_lastIssued};
    ticket.check = ticketCheck(ticket, m_secret);
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
        return detail::answerCall(out, received.call, detail::invalidTicket());
    if (ticket->router != m_self)
        return forward(*ticket, received, now, out);
    if (ticket->incarnation != m_incarnation)
        return detail::answerCall(
            out, received.call,
            detail::failedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost, "its router was restarted"));
    receiveOwn(*ticket, received, now, out);
}

void TicketedCalls::receiveOwn(const Ticket &ticket, const CallReceived &received, absl::Time now,
                               LedgerActions &out)
{
    if (ticket.check != ticketCheck(ticket, m_secret))
        return detail::answerCall(out, received.call, detail::invalidTicket());
    if (auto it = m_calls.find(ticket.number); it != m_calls.end())
        return join(it->second, received, out);
    switch (validityOf(ticket, now)) {
    case Validity::NeverIssued:
        return detail::answerCall(out, received.call, detail::invalidTicket());
    case Validity::Expired:
        return detail::answerCall(out, received.call,
                                  detail::failedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                                       "the ticket has expired", std::nullopt));
    case Validity::Valid:
        return use(ticket, received, now, out);
    }
}

void TicketedCalls::join(TicketedCall &call, const CallReceived &received, LedgerActions &out)
{
    if (call.digest != received.digest || call.workspace != received.workspace
        || call.service != received.service)
        return detail::answerCall(out, received.call,
                                  detail::failedAnswer(CallOutcome::NotRun, ErrorCode::IdempotencyKeyReused,
                                                       "the ticket came with another body before",
                                                       std::nullopt));
    if (call.phase != TicketPhase::Running)
        return detail::answerCall(out, received.call, call.answer);
    call.waiters.push_back(TicketWaiter{received.call, received.deadline});
    setDeadlineWakeUp(call);
}

// The first request under a ticket decides for good whether it runs.
void TicketedCalls::use(const Ticket &ticket, const CallReceived &received, absl::Time now,
                        LedgerActions &out)
{
    // A ticket that cannot be remembered must neither run nor be called used up.
    if (m_calls.size() >= maxRememberedCalls)
        return detail::answerCall(out, received.call,
                                  detail::failedAnswer(CallOutcome::Unknown, ErrorCode::Overloaded,
                                                       "too many tickets are remembered"));
    TicketedCall &call = m_calls[ticket.number];
    call.number = ticket.number;
    call.workspace = received.workspace;
    call.service = received.service;
    call.digest = received.digest;
    call.dispatchedAs = received.call;
    call.waiters.push_back(TicketWaiter{received.call, received.deadline});
    ++m_running;
    const bool expired = received.deadline <= now;
    if (expired || m_newCalls != detail::NewCalls::Dispatched) {
        const ErrorCode code = expired ? ErrorCode::DeadlineExceeded : detail::refusalCode(m_newCalls);
        return finish(call, TicketPhase::UsedUp,
                      detail::failedAnswer(CallOutcome::NotRun, code,
                                           "refused on arrival; take another ticket",
                                           detail::elsewhereRetryAfter),
                      now, out);
    }
    m_dispatched[received.call] = ticket.number;
    detail::record(out, received.call, "dispatch", "this incarnation issued the ticket");
    out.emplace_back(Dispatch{received.call, received.service});
    setDeadlineWakeUp(call);
}

void TicketedCalls::forward(const Ticket &ticket, const CallReceived &received, absl::Time now,
                            LedgerActions &out)
{
    // A call that was forwarded before is at the wrong router by mistake; it must not go round.
    if (received.source == CallSource::Router || received.deadline <= now
        || m_forwards.size() >= maxRememberedCalls)
        return detail::answerCall(
            out, received.call,
            detail::failedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost, "its router was not asked"));
    m_forwards[received.call] = received.deadline;
    if (received.deadline != absl::InfiniteFuture())
        m_forwardDeadlines.emplace(received.deadline, received.call);
    detail::record(out, received.call, "forward", "another incarnation issued the ticket");
    out.emplace_back(ForwardToOwner{received.call, ticket.router, ticket.incarnation});
}

void TicketedCalls::handleTargetAnswer(const TargetAnswered &event, absl::Time now, LedgerActions &out)
{
    TicketedCall *call = findDispatched(event.call);
    if (!call)
        return;
    finish(*call, TicketPhase::Done, detail::ranAnswer(event.status, event.body, BodyKept::Yes), now, out);
    const std::size_t size = event.body.size();
    if (size > maxKeptBodyBytes || m_keptBytes + size > maxKeptBytes)
        call->answer = detail::ranAnswer(event.status, {}, BodyKept::No);
    m_keptBytes += call->answer.body.size();
}

void TicketedCalls::handleDispatchFailure(const DispatchFailed &event, absl::Time now, LedgerActions &out)
{
    TicketedCall *call = findDispatched(event.call);
    if (!call || call->phase != TicketPhase::Running)
        return;
    if (event.sent == BytesSent::Maybe)
        return finish(
            *call, TicketPhase::Uncertain,
            detail::failedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost, "the target's answer was lost"),
            now, out);
    finish(*call, TicketPhase::UsedUp,
           detail::failedAnswer(CallOutcome::NotRun, ErrorCode::NoTargetAvailable,
                                "no target took the call; take another ticket"),
           now, out);
}

void TicketedCalls::handleOwnerAnswer(const OwnerAnswered &event, LedgerActions &out)
{
    auto it = m_forwards.find(event.call);
    if (it == m_forwards.end())
        return;
    m_forwardDeadlines.erase({it->second, event.call});
    m_forwards.erase(it);
    detail::answerCall(out, event.call,
                       event.answer.value_or(detail::failedAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost,
                                                                  "its router was not reached")));
}

void TicketedCalls::tick(absl::Time now, LedgerActions &out)
{
    while (!m_wakeUps.empty() && m_wakeUps.begin()->first <= now) {
        TicketedCall &call = m_calls.at(m_wakeUps.begin()->second);
        if (call.phase == TicketPhase::Running)
            expireWaiters(call, now, out);
        else
            forget(call);
    }
    expireForwards(now, out);
}

void TicketedCalls::expireWaiters(TicketedCall &call, absl::Time now, LedgerActions &out)
{
    const CallAnswer answer = detail::failedAnswer(CallOutcome::Unknown, ErrorCode::DeadlineExceeded,
                                                   "no outcome before the deadline");
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
        m_forwards.erase(call);
        detail::answerCall(out, call,
                           detail::failedAnswer(CallOutcome::Unknown, ErrorCode::DeadlineExceeded,
                                                "no outcome before the deadline"));
    }
}

void TicketedCalls::finish(TicketedCall &call, TicketPhase phase, CallAnswer answer, absl::Time now,
                           LedgerActions &out)
{
    for (const auto &it : call.waiters)
        detail::answerCall(out, it.call, answer);
    call.waiters.clear();
    if (call.phase == TicketPhase::Running)
        --m_running;
    call.phase = phase;
    call.answer = std::move(answer);
    // An uncertain call keeps its id, under which a late answer may still come.
    if (phase != TicketPhase::Uncertain)
        m_dispatched.erase(call.dispatchedAs);
    // Every ticket that was issued up to now has expired by then, this one included.
    setWakeUp(call, now + std::max(ticketLifetime, outcomeRetention) + 2 * detail::issueMarkSpacing);
}

TicketedCalls::Validity TicketedCalls::validityOf(const Ticket &ticket, absl::Time now) const
{
    if (ticket.number == TicketNumber() || ticket.number > m_lastIssued)
        return Validity::NeverIssued;
    auto it =
        std::upper_bound(m_marks.begin(), m_marks.end(), ticket.number,
                         [](TicketNumber number, const IssueMark &mark) { return number < mark.first; });
    if (it == m_marks.begin())
        return Validity::Expired;
    return std::prev(it)->time + ticketLifetime + detail::issueMarkSpacing < now ? Validity::Expired
                                                                                 : Validity::Valid;
}

TicketedCall *TicketedCalls::findDispatched(CallId id)
{
    auto it = m_dispatched.find(id);
    return it == m_dispatched.end() ? nullptr : &m_calls.at(it->second);
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

void TicketedCalls::forget(TicketedCall &call)
{
    setWakeUp(call, absl::InfiniteFuture());
    m_keptBytes -= call.answer.body.size();
    m_dispatched.erase(call.dispatchedAs);
    m_calls.erase(TicketNumber(call.number));
}

} // namespace Wisteria
