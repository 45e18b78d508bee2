// The fakes' behaviour and the checks after every step.

#include <LibPlacement/FakeFleet.h>

#include <algorithm>

namespace Wisteria {

FakeFleet::FakeFleet(std::uint64_t seed, std::size_t placers, std::size_t engines)
    : m_random(seed), m_processes(placers)
{
    m_configuration.services[ServiceName("s")] = ServiceSpec{ServiceName("s"), ServiceKind::Generation};
    for (std::size_t n = 0; n < engines; ++n) {
        const TargetId id("e" + std::to_string(n));
        m_engines[id].checking = n % 2 ? OrderChecking::Unchecked : OrderChecking::ChecksFencing;
        m_configuration.targets[id] = TargetSpec{id, ServiceName("s")};
    }
    for (std::size_t n = 0; n < placers; ++n)
        m_processes[n].name = "p" + std::to_string(n);
    changeWishes();
    for (auto &it : m_processes)
        start(it);
}

void FakeFleet::start(Process &process)
{
    process.placer = Placer::create(process.name, Incarnation(++process.incarnation), PlacerLimits{2});
    process.inbox.clear();
    process.readings.clear();
    process.pausedUntil = absl::InfinitePast();
    handle(process, WishesChanged{m_configuration});
}

std::string FakeFleet::run(absl::Duration faulty, absl::Duration quiet)
{
    m_faultsEnd = m_time.now() + faulty;
    const absl::Time end = m_faultsEnd + quiet;
    m_time.after(absl::Seconds(1), [this] { injectFault(); });
    while (m_broken.empty() && m_time.runNext(end))
        check();
    for (const auto &[id, engine] : m_engines) {
        const ServiceSpec &wish = m_configuration.services.begin()->second;
        if (m_broken.empty() && engine.state.modelVersion != wish.modelVersion)
            m_broken = id.value() + " was not brought back to the wished state";
    }
    return m_broken;
}

void FakeFleet::deliver(std::size_t process, std::uint64_t incarnation, const PlacerEvent &event)
{
    Process &to = m_processes[process];
    if (to.incarnation != incarnation)
        return;
    if (m_time.now() < to.pausedUntil)
        to.inbox.push_back(event);
    else
        handle(to, event);
}

void FakeFleet::handle(Process &process, const PlacerEvent &event)
{
    const auto n = static_cast<std::size_t>(&process - m_processes.data());
    for (const auto &it : process.placer->handle(event, m_time.now()))
        perform(n, it);
    const std::uint64_t incarnation = process.incarnation;
    const absl::Time due = process.placer->nextWakeUp();
    if (due == absl::InfiniteFuture())
        return;
    m_time.after(std::max(due - m_time.now(), absl::Milliseconds(1)), [this, n, incarnation] {
        Process &to = m_processes[n];
        if (to.incarnation == incarnation && m_time.now() >= to.pausedUntil
            && to.placer->nextWakeUp() <= m_time.now())
            handle(to, PlacerTick{});
    });
}

void FakeFleet::perform(std::size_t process, const PlacerAction &action)
{
    if (std::holds_alternative<ReadLease>(action))
        readLease(process);
    if (const auto *it = std::get_if<WriteLease>(&action))
        writeLease(process, *it);
    if (const auto *it = std::get_if<ReadEngineState>(&action))
        readEngine(process, it->target);
    if (const auto *it = std::get_if<SendOrder>(&action))
        sendOrder(process, *it);
}

void FakeFleet::readLease(std::size_t process)
{
    const std::uint64_t incarnation = m_processes[process].incarnation;
    m_time.after(m_random.networkDelay(), [this, process, incarnation] {
        PlacerEvent event = LeaseReadFailed{};
        if (m_time.now() >= m_storeDownUntil)
            event = LeaseRead{m_record, m_version};
        m_time.after(m_random.networkDelay(),
                     [this, process, incarnation, event] { deliver(process, incarnation, event); });
    });
}

void FakeFleet::writeLease(std::size_t process, const WriteLease &write)
{
    const std::uint64_t incarnation = m_processes[process].incarnation;
    if (write.record.incarnation != Incarnation(incarnation))
        m_broken = "a lease was written in another incarnation's name";
    const bool lost = m_time.now() < m_faultsEnd && m_random.oneIn(8);
    // A lost reply is reported at the client's timeout; the write may take effect before or after that.
    if (lost) {
        ++m_counts.lostReplies;
        m_time.after(absl::Seconds(1), [this, process, incarnation] {
            deliver(process, incarnation, LeaseWritten{Error{ErrorCode::StoreOutcomeUnknown}});
        });
        if (m_random.oneIn(2))
            return;
    }
    m_time.after(m_random.networkDelay(), [this, process, incarnation, write, lost] {
        LeaseWritten event{Error{ErrorCode::StoreUnavailable}};
        if (m_time.now() >= m_storeDownUntil)
            event = apply(write);
        if (!lost)
            m_time.after(m_random.networkDelay(),
                         [this, process, incarnation, event] { deliver(process, incarnation, event); });
    });
}

LeaseWritten FakeFleet::apply(const WriteLease &write)
{
    if (write.expected != m_version)
        return LeaseWritten{Error{ErrorCode::Conflict}};
    const bool sameHolder = m_record && m_record->holder == write.record.holder
        && m_record->incarnation == write.record.incarnation;
    const FencingNumber before = m_record ? m_record->fencing : FencingNumber();
    if (!sameHolder)
        ++m_counts.takeOvers;
    if (sameHolder ? write.record.fencing != before : write.record.fencing <= before)
        m_broken = "the fencing number does not rise with each change of holder";
    m_record = write.record;
    m_version = ObjectVersion(m_version.value() + 1);
    return LeaseWritten{std::nullopt, m_version};
}

void FakeFleet::readEngine(std::size_t process, const TargetId &target)
{
    ++m_processes[process].readings[target];
    const std::uint64_t incarnation = m_processes[process].incarnation;
    const bool fails = m_time.now() < m_faultsEnd && m_random.oneIn(10);
    m_time.after(m_random.networkDelay(), [this, process, incarnation, target, fails] {
        PlacerEvent event = EngineStateRead{target, m_engines[target].state};
        if (fails)
            event = EngineStateReadFailed{target};
        m_time.after(m_random.networkDelay(),
                     [this, process, incarnation, event] { deliver(process, incarnation, event); });
    });
}

void FakeFleet::sendOrder(std::size_t process, const SendOrder &order)
{
    Process &from = m_processes[process];
    if (std::exchange(from.readings[order.target], 0) == 0)
        m_broken = "an order without a reading since the last one";
    const std::uint64_t incarnation = from.incarnation;
    if (!from.placer->mayOrder(m_time.now()))
        return m_time.after(absl::ZeroDuration(), [this, process, incarnation, order] {
            deliver(process, incarnation, OrderAnswered{order.target, Error{ErrorCode::LeaseLost}});
        });
    if (!m_record || m_record->fencing != order.fencing)
        m_broken = "an order was sent after another placer took over";
    // A pause between the check and the send, or a slow network, delays the order past the lease.
    absl::Duration delay = m_random.networkDelay();
    if (m_time.now() < m_faultsEnd && m_random.oneIn(30))
        delay += m_random.between(absl::ZeroDuration(), absl::Minutes(1));
    m_time.after(delay, [this, process, incarnation, order] { applyOrder(process, incarnation, order); });
}

void FakeFleet::applyOrder(std::size_t process, std::uint64_t incarnation, const SendOrder &order)
{
    FakeEngine &engine = m_engines[order.target];
    const bool old = order.fencing < engine.greatest;
    OrderAnswered answer{order.target};
    if (old && engine.checking == OrderChecking::ChecksFencing) {
        ++m_counts.refusedOrders;
        answer.error = Error{ErrorCode::FencedOff};
    } else {
        ++m_counts.ordersApplied;
        m_counts.crossedOrders += old;
        engine.state = order.wish;
        engine.greatest = std::max(engine.greatest, order.fencing);
    }
    m_time.after(m_random.networkDelay(),
                 [this, process, incarnation, answer] { deliver(process, incarnation, answer); });
}

void FakeFleet::injectFault()
{
    if (m_time.now() >= m_faultsEnd)
        return;
    const auto n = static_cast<std::size_t>(m_random.below(m_processes.size()));
    Process &process = m_processes[n];
    switch (m_random.below(5)) {
    case 0:
    case 1:
        ++m_counts.pauses;
        process.pausedUntil = m_time.now() + m_random.between(absl::Seconds(1), absl::Seconds(40));
        m_time.after(process.pausedUntil - m_time.now(), [this, n] { wake(n); });
        break;
    case 2:
        ++m_counts.restarts;
        start(process);
        break;
    case 3:
        m_storeDownUntil = m_time.now() + m_random.between(absl::ZeroDuration(), absl::Minutes(1));
        break;
    default:
        changeWishes();
    }
    m_time.after(m_random.between(absl::Seconds(1), absl::Seconds(30)), [this] { injectFault(); });
}

void FakeFleet::wake(std::size_t process)
{
    Process &woken = m_processes[process];
    if (m_time.now() < woken.pausedUntil)
        return;
    // The queued answers come first, before the process learns how late it is.
    std::deque<PlacerEvent> inbox;
    inbox.swap(woken.inbox);
    for (const auto &it : inbox)
        handle(woken, it);
    handle(woken, PlacerTick{});
}

void FakeFleet::changeWishes()
{
    m_configuration.version = ConfigVersion(m_configuration.version.value() + 1);
    ServiceSpec &service = m_configuration.services.begin()->second;
    service.model = ModelName("m");
    service.modelVersion = "v" + std::to_string(m_configuration.version.value());
    for (std::size_t n = 0; n < m_processes.size(); ++n) {
        if (m_processes[n].placer)
            deliver(n, m_processes[n].incarnation, WishesChanged{m_configuration});
    }
}

void FakeFleet::check()
{
    // A paused process counts: it may go on at any moment.
    const auto holders = std::count_if(m_processes.begin(), m_processes.end(),
                                       [&](const Process &it) { return it.placer->mayOrder(m_time.now()); });
    if (holders > 1)
        m_broken = "two placers may order at once";
}

} // namespace Wisteria
