// Implementation of the fakes, and the invariant checks at each run and each answer.

#include <LibLedger/FakeCallCluster.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr std::size_t routerCount = 3;
constexpr int bookingsPerRun = 12;
constexpr int maxRequests = 12;
constexpr absl::Duration storeTimeout = absl::Seconds(1);
constexpr absl::Duration peerTimeout = absl::Seconds(2);

} // namespace detail

void CallCounts::add(const CallCounts &other)
{
    bookings += other.bookings;
    requests += other.requests;
    runs += other.runs;
    ran += other.ran;
    notRun += other.notRun;
    unknown += other.unknown;
    lostReplies += other.lostReplies;
    faults += other.faults;
}

FakeCallCluster::FakeCallCluster(std::uint64_t seed)
    : m_random(seed), m_processes(detail::routerCount), m_faultsEnd(m_time.now() + absl::Minutes(4))
{
    for (auto &it : m_processes)
        start(it);
}

std::string FakeCallCluster::run()
{
    for (int n = 0; n < detail::bookingsPerRun; ++n)
        m_time.after(m_random.between(absl::ZeroDuration(), absl::Minutes(5)), [this] { startBooking(); });
    m_time.after(absl::Seconds(1), [this] { injectFault(); });
    const absl::Time end = m_time.now() + absl::Minutes(30);
    while (m_violation.empty() && m_time.runNext(end)) { }
    return m_violation;
}

void FakeCallCluster::reportViolation(std::size_t booking, const std::string &reason)
{
    if (m_violation.empty())
        m_violation = "booking " + m_bookings[booking].key.value() + ": " + reason;
}

void FakeCallCluster::start(Process &process)
{
    ++process.incarnation;
    process.random = std::make_unique<SeededRandom>(m_random.source().next());
    const auto n = static_cast<std::size_t>(&process - m_processes.data());
    process.ledger = CallLedger::create(RouterId("r" + std::to_string(n)), Incarnation(process.incarnation),
                                        *process.random);
    process.pausedUntil = absl::InfinitePast();
    process.draining = false;
    process.inbox.clear();
    process.replies.clear();
    process.requests.clear();
    process.lastCall = 0;
}

void FakeCallCluster::deliver(std::size_t process, std::uint64_t incarnation, const VirtualTime::Step &step)
{
    Process &receiver = m_processes[process];
    if (receiver.incarnation != incarnation)
        return;
    if (m_time.now() < receiver.pausedUntil)
        receiver.inbox.push_back(step);
    else
        step();
}

void FakeCallCluster::report(std::size_t process, std::uint64_t incarnation, const LedgerEvent &event)
{
    deliver(process, incarnation, [this, process, event] { handle(process, event); });
}

void FakeCallCluster::handle(std::size_t process, const LedgerEvent &event)
{
    for (const auto &it : m_processes[process].ledger->handle(event, m_time.now()))
        perform(process, it);
    scheduleTick(process);
}

void FakeCallCluster::scheduleTick(std::size_t process)
{
    const Process &scheduled = m_processes[process];
    const absl::Time due = scheduled.ledger->nextWakeUp();
    if (due == absl::InfiniteFuture())
        return;
    m_time.after(std::max(due - m_time.now(), absl::Milliseconds(1)),
                 [this, process, incarnation = scheduled.incarnation] {
                     const Process &receiver = m_processes[process];
                     const bool isDue = receiver.ledger->nextWakeUp() <= m_time.now();
                     if (receiver.incarnation == incarnation && m_time.now() >= receiver.pausedUntil && isDue)
                         handle(process, LedgerTick{});
                 });
}

void FakeCallCluster::perform(std::size_t process, const LedgerAction &action)
{
    if (const auto *it = std::get_if<WriteClaim>(&action))
        writeClaim(process, *it);
    if (const auto *it = std::get_if<ReadClaim>(&action))
        readClaim(process, *it);
    if (const auto *it = std::get_if<Dispatch>(&action))
        dispatch(process, *it);
    if (const auto *it = std::get_if<ForwardToOwner>(&action))
        forward(process, *it);
    if (const auto *it = std::get_if<AnswerCall>(&action))
        answer(process, *it);
}

void FakeCallCluster::writeClaim(std::size_t process, const WriteClaim &write)
{
    const std::uint64_t incarnation = m_processes[process].incarnation;
    const bool lost = areFaultsEnabled() && m_random.oneIn(5);
    if (lost) {
        ++m_counts.lostReplies;
        m_time.after(detail::storeTimeout, [this, process, incarnation, call = write.call] {
            report(process, incarnation, ClaimWritten{call, ClaimWriteResult::Indeterminate});
        });
        // The write itself may also be lost, or be applied long after the client timed out.
        if (m_random.oneIn(3))
            return;
    }
    const bool late = lost && m_random.oneIn(2);
    const absl::Duration delay =
        late ? m_random.between(absl::ZeroDuration(), absl::Minutes(1)) : m_random.networkDelay();
    m_time.after(delay, [this, process, incarnation, write, lost] {
        ClaimWritten event{write.call, ClaimWriteResult::NotApplied};
        if (m_time.now() >= m_storeDownUntil) {
            StoredClaim &stored = m_store[write.name];
            event.result = ClaimWriteResult::Conflict;
            if (stored.version == write.expected) {
                stored = StoredClaim{write.record, ObjectVersion(++m_lastVersion)};
                event = ClaimWritten{write.call, ClaimWriteResult::Applied, stored.version};
            }
        }
        if (!lost)
            m_time.after(m_random.networkDelay(),
                         [this, process, incarnation, event] { report(process, incarnation, event); });
    });
}

void FakeCallCluster::readClaim(std::size_t process, const ReadClaim &read)
{
    const std::uint64_t incarnation = m_processes[process].incarnation;
    m_time.after(m_random.networkDelay(), [this, process, incarnation, read] {
        ClaimRead event{read.call};
        event.answered = m_time.now() >= m_storeDownUntil && !(areFaultsEnabled() && m_random.oneIn(10));
        auto it = m_store.find(read.name);
        if (event.answered && it != m_store.end() && it->second.version != ObjectVersion()) {
            event.record = it->second.record;
            event.version = it->second.version;
        }
        m_time.after(m_random.networkDelay(),
                     [this, process, incarnation, event] { report(process, incarnation, event); });
    });
}

void FakeCallCluster::dispatch(std::size_t process, const Dispatch &dispatch)
{
    const std::uint64_t incarnation = m_processes[process].incarnation;
    const CallId call = dispatch.call;
    const auto request = m_processes[process].requests.find(call);
    if (request == m_processes[process].requests.end()) {
        m_violation = "dispatched a call that was already answered or never received";
        return;
    }
    const auto booking = static_cast<std::size_t>(request->second.digest.value());
    enum class DispatchResult { Answered, RejectedUnsent, DroppedBeforeRun, DroppedAfterRun };
    DispatchResult dispatchResult = DispatchResult::Answered;
    if (m_random.oneIn(areFaultsEnabled() ? 3 : 1000000))
        dispatchResult = static_cast<DispatchResult>(1 + m_random.below(3));
    if (dispatchResult == DispatchResult::RejectedUnsent)
        return m_time.after(m_random.networkDelay(), [this, process, incarnation, call] {
            report(process, incarnation, DispatchFailed{call, BytesSent::None});
        });
    m_time.after(m_random.networkDelay(), [this, process, incarnation, call, booking, dispatchResult] {
        if (dispatchResult != DispatchResult::DroppedBeforeRun)
            runAtTarget(booking);
        const absl::Duration replyDelay = m_random.networkDelay();
        if (dispatchResult == DispatchResult::Answered)
            return m_time.after(replyDelay, [this, process, incarnation, call, booking] {
                report(process, incarnation, TargetAnswered{call, 200, std::to_string(booking)});
            });
        m_time.after(replyDelay, [this, process, incarnation, call] {
            report(process, incarnation, DispatchFailed{call, BytesSent::Maybe});
        });
        // A late answer that arrives after the failure was reported.
        if (dispatchResult == DispatchResult::DroppedAfterRun && m_random.oneIn(2))
            m_time.after(replyDelay + absl::Seconds(1), [this, process, incarnation, call, booking] {
                report(process, incarnation, TargetAnswered{call, 200, std::to_string(booking)});
            });
    });
}

void FakeCallCluster::forward(std::size_t process, const ForwardToOwner &forward)
{
    const std::uint64_t incarnation = m_processes[process].incarnation;
    const CallReceived request = m_processes[process].requests.at(forward.call);
    const auto owner = static_cast<std::size_t>(forward.owner.value().at(1) - '0');
    m_time.after(detail::peerTimeout, [this, process, incarnation, call = forward.call] {
        report(process, incarnation, OwnerAnswered{call, std::nullopt});
    });
    if (m_time.now() < m_partitions[{process, owner}])
        return;
    ReplyDestination reply;
    reply.peer = [this, process, incarnation, owner, call = forward.call](const CallAnswer &answer) {
        if (m_time.now() >= m_partitions[{owner, process}])
            m_time.after(m_random.networkDelay(), [this, process, incarnation, call, answer] {
                report(process, incarnation, OwnerAnswered{call, answer});
            });
    };
    m_time.after(m_random.networkDelay(), [this, owner, forward, reply, request] {
        deliver(owner, forward.incarnation.value(), [this, owner, reply, request] {
            CallReceived forwarded = request;
            forwarded.source = CallSource::Router;
            receive(owner, static_cast<std::size_t>(request.digest.value()), reply, forwarded);
        });
    });
}

void FakeCallCluster::receive(std::size_t process, std::size_t, ReplyDestination reply, CallReceived received)
{
    Process &receiver = m_processes[process];
    received.call = CallId(++receiver.lastCall);
    receiver.replies[received.call] = std::move(reply);
    receiver.requests[received.call] = received;
    handle(process, received);
}

void FakeCallCluster::answer(std::size_t process, const AnswerCall &action)
{
    Process &from = m_processes[process];
    auto it = from.replies.find(action.call);
    if (it == from.replies.end()) {
        m_violation = "a call was answered twice";
        return;
    }
    const ReplyDestination reply = it->second;
    from.replies.erase(it);
    // The host drops a call once it is answered, so that a dispatch must name a call that still waits.
    from.requests.erase(action.call);
    if (reply.peer)
        return reply.peer(action.answer);
    m_time.after(m_random.networkDelay(), [this, reply, answer = action.answer] {
        receiveAnswer(reply.booking, reply.request, answer);
    });
}

void FakeCallCluster::runAtTarget(std::size_t booking)
{
    ++m_counts.runs;
    if (++m_bookings[booking].runs > 1)
        reportViolation(booking, "the call ran twice");
    if (m_bookings[booking].wasReportedNotRun)
        reportViolation(booking, "the call ran after not_run without a new request");
}

void FakeCallCluster::startBooking()
{
    const std::size_t n = m_bookings.size();
    ++m_counts.bookings;
    Booking &booking = m_bookings.emplace_back();
    booking.kind = static_cast<KeyKind>(m_random.below(3));
    booking.key = IdempotencyKey("k" + std::to_string(n));
    request(n);
}

void FakeCallCluster::request(std::size_t n)
{
    Booking &booking = m_bookings[n];
    if (booking.finished || ++booking.requests > detail::maxRequests)
        return;
    ++m_counts.requests;
    auto router = static_cast<std::size_t>(m_random.below(detail::routerCount));
    const bool needsTicket = booking.kind == KeyKind::Ticket && booking.attempt == 0;
    if (needsTicket)
        booking.key = m_processes[router].ledger->issueTicket(m_time.now());
    booking.wasReportedNotRun = false;
    ++booking.attempt;
    const std::uint64_t request = booking.request = ++m_lastRequest;
    CallReceived received{CallId(), WorkspaceName("w"), ServiceName("s"), booking.key, BodyDigest(n)};
    received.attempt = booking.kind == KeyKind::Numbered ? booking.attempt : 0;
    const absl::Duration timeout = m_random.between(absl::Seconds(1), absl::Seconds(8));
    const absl::Duration delay = m_random.networkDelay();
    const std::uint64_t incarnation = m_processes[router].incarnation;
    m_time.after(delay, [this, n, request, router, incarnation, received, timeout] {
        deliver(router, incarnation, [this, n, request, router, received, timeout] {
            CallReceived it = received;
            it.deadline = m_time.now() + timeout;
            receive(router, n, ReplyDestination{n, request}, it);
        });
    });
    // The caller times out and retries; the earlier request may still be processed.
    m_time.after(timeout, [this, n, request] {
        if (m_bookings[n].request == request)
            this->request(n);
    });
}

void FakeCallCluster::receiveAnswer(std::size_t n, std::uint64_t request, const CallAnswer &answer)
{
    Booking &booking = m_bookings[n];
    if (answer.outcome == CallOutcome::Ran && (answer.body != std::to_string(n) || booking.runs != 1))
        reportViolation(n, "the answer belongs to another call, or the call did not run exactly once");
    if (booking.request != request)
        return;
    booking.request = 0;
    switch (answer.outcome) {
    case CallOutcome::Ran:
        ++m_counts.ran;
        booking.finished = true;
        return;
    case CallOutcome::NotRun:
        ++m_counts.notRun;
        if (booking.runs > 0)
            reportViolation(n, "not_run was reported for a call that ran");
        booking.wasReportedNotRun = true;
        // The caller replaces a consumed ticket, and the key of requests without a number.
        if (booking.kind == KeyKind::Ticket)
            booking.attempt = 0;
        if (booking.kind == KeyKind::Unnumbered)
            booking.key = IdempotencyKey(booking.key.value() + "'");
        break;
    case CallOutcome::Unknown:
        ++m_counts.unknown;
        break;
    }
    retryLater(n);
}

void FakeCallCluster::retryLater(std::size_t n)
{
    m_time.after(m_random.between(absl::Milliseconds(50), absl::Seconds(20)), [this, n] {
        if (m_bookings[n].request == 0)
            request(n);
    });
}

void FakeCallCluster::injectFault()
{
    if (!areFaultsEnabled())
        return;
    ++m_counts.faults;
    const auto n = static_cast<std::size_t>(m_random.below(detail::routerCount));
    Process &process = m_processes[n];
    const absl::Time until = m_time.now() + m_random.between(absl::Milliseconds(100), absl::Seconds(20));
    switch (m_random.below(6)) {
    case 0:
    case 1:
        process.pausedUntil = until;
        m_time.after(until - m_time.now(), [this, n] { resumeProcess(n); });
        break;
    case 2:
        start(process);
        break;
    case 3:
        m_storeDownUntil = m_time.now() + m_random.between(absl::ZeroDuration(), absl::Minutes(2));
        break;
    case 4:
        m_partitions[{n, (n + 1 + m_random.below(detail::routerCount - 1)) % detail::routerCount}] = until;
        break;
    default:
        deliver(n, process.incarnation, [this, n] { handle(n, LedgerDrainStarted{}); });
        // A drained router is restarted once it is idle.
        m_time.after(until - m_time.now(), [this, n, incarnation = process.incarnation] {
            if (m_processes[n].incarnation == incarnation && m_processes[n].ledger->isIdle())
                start(m_processes[n]);
        });
    }
    m_time.after(m_random.between(absl::Milliseconds(100), absl::Seconds(10)), [this] { injectFault(); });
}

void FakeCallCluster::resumeProcess(std::size_t process)
{
    Process &resumed = m_processes[process];
    if (m_time.now() < resumed.pausedUntil)
        return;
    std::deque<VirtualTime::Step> inbox;
    inbox.swap(resumed.inbox);
    for (const auto &it : inbox)
        it();
    handle(process, LedgerTick{});
}

} // namespace Wisteria
