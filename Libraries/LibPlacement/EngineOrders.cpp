// Readings, orders and the limit of downloads.

#include <LibPlacement/EngineOrders.h>

#include <algorithm>

namespace Wisteria {

using detail::Engine;
using detail::EnginePhase;

namespace detail {

// An engine whose state matched is read again after this time, which bounds how long a crossed order lasts.
constexpr absl::Duration readingInterval = absl::Seconds(30);
// An ordered engine is read this often until it matches.
constexpr absl::Duration loadingInterval = absl::Seconds(5);
// An order that has not brought the wished state by then is sent again. A state that still differs cannot be
// told from one that a crossed order has brought back, so this bounds how long the latter lasts.
constexpr absl::Duration orderInterval = absl::Seconds(30);
// An ordered engine counts as downloading for at most this long.
constexpr absl::Duration loadingLimit = absl::Minutes(5);
// After a reading or an order that failed.
constexpr absl::Duration firstEngineBackoff = absl::Seconds(1);
constexpr absl::Duration maxEngineBackoff = absl::Minutes(1);
constexpr std::uint32_t maxReadingsAtOnce = 32;

bool matches(const Engine &engine, const EngineState &state)
{
    return state.model == engine.model && state.modelVersion == engine.modelVersion;
}

} // namespace detail

EngineOrders::EngineOrders(PlacerLimits limits) : m_limits(limits) { }

void EngineOrders::setWishes(const FleetConfiguration &configuration, absl::Time now)
{
    if (configuration.version < m_version)
        return;
    m_version = configuration.version;
    std::set<TargetId> wished;
    for (const auto &[id, target] : configuration.targets) {
        auto service = configuration.services.find(target.service);
        // A retiring engine finishes what it serves; it gets no orders.
        if (target.retiring || service == configuration.services.end()
            || service->second.kind != ServiceKind::Generation || service->second.model.value().empty())
            continue;
        wished.insert(id);
        Engine &engine = m_engines[id];
        const bool changed =
            engine.model != service->second.model || engine.modelVersion != service->second.modelVersion;
        engine.target = id;
        engine.model = service->second.model;
        engine.modelVersion = service->second.modelVersion;
        if (changed && engine.phase == EnginePhase::ReadingDue)
            scheduleReading(engine, now);
        // NOTE: A wish that changes while an order is on its way is met by the reading that follows.
        if (changed)
            engine.orderedAt = absl::InfinitePast();
    }
    for (auto it = m_engines.begin(); it != m_engines.end();) {
        const bool keep = wished.contains(it->first);
        if (!keep) {
            endDownload(it->second);
            // Takes it out of the sets of its phase.
            setPhase(it->second, EnginePhase::Ordering);
        }
        it = keep ? std::next(it) : m_engines.erase(it);
    }
}

void EngineOrders::startTerm(FencingNumber fencing, absl::Time now)
{
    // With the same number nobody else has held the lease in between.
    if (fencing == m_fencing)
        return;
    m_fencing = fencing;
    for (auto &[target, engine] : m_engines) {
        if (engine.phase == EnginePhase::Reading || engine.phase == EnginePhase::Ordering)
            ++engine.staleAnswers;
        endDownload(engine);
        engine.orderedAt = absl::InfinitePast();
        engine.backoff = absl::ZeroDuration();
        scheduleReading(engine, now);
    }
}

void EngineOrders::handleState(const EngineStateRead &event, absl::Time now, PlacerActions &out)
{
    Engine *engine = findAwaited(event.target, EnginePhase::Reading);
    if (!engine)
        return;
    engine->backoff = absl::ZeroDuration();
    if (detail::matches(*engine, event.state)) {
        endDownload(*engine);
        return scheduleReading(*engine, now + detail::readingInterval);
    }
    if (engine->orderedAt + detail::orderInterval > now)
        return scheduleReading(*engine, now + detail::loadingInterval);
    if (hasRoomForDownload(*engine))
        return order(*engine, event.state, now, out);
    setPhase(*engine, EnginePhase::AwaitingDownload);
    out.emplace_back(RecordPlacement{event.target, "wait", "downloads_at_once is reached"});
}

void EngineOrders::handleStateReadFailed(const EngineStateReadFailed &event, absl::Time now)
{
    if (Engine *engine = findAwaited(event.target, EnginePhase::Reading))
        backOff(*engine, now);
}

bool EngineOrders::handleOrderAnswer(const OrderAnswered &event, absl::Time now)
{
    Engine *engine = findAwaited(event.target, EnginePhase::Ordering);
    if (!engine)
        return false;
    if (!event.error) {
        scheduleReading(*engine, now + detail::loadingInterval);
        return false;
    }
    // The order may have taken effect all the same; the next reading tells.
    engine->orderedAt = absl::InfinitePast();
    backOff(*engine, now);
    return event.error->code == ErrorCode::FencedOff;
}

void EngineOrders::advance(absl::Time now, PlacerActions &out)
{
    while (!m_downloads.empty() && m_downloads.begin()->first <= now)
        endDownload(m_engines.at(m_downloads.begin()->second));
    // The state that an engine had when it began to wait is out of date, so it is read again.
    std::size_t room =
        m_limits.downloadsAtOnce - std::min<std::size_t>(m_limits.downloadsAtOnce, m_downloads.size());
    while (room-- > 0 && !m_awaiting.empty())
        scheduleReading(m_engines.at(m_awaiting.front()), now);
    while (!m_due.empty() && m_due.begin()->first <= now && m_reading < detail::maxReadingsAtOnce) {
        Engine &engine = m_engines.at(m_due.begin()->second);
        setPhase(engine, EnginePhase::Reading);
        out.emplace_back(ReadEngineState{engine.target});
    }
}

absl::Time EngineOrders::nextWakeUp() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!m_due.empty() && m_reading < detail::maxReadingsAtOnce)
        next = m_due.begin()->first;
    if (!m_downloads.empty())
        next = std::min(next, m_downloads.begin()->first);
    return next;
}

Engine *EngineOrders::findAwaited(const TargetId &target, EnginePhase phase)
{
    auto it = m_engines.find(target);
    if (it == m_engines.end())
        return nullptr;
    if (it->second.staleAnswers > 0) {
        --it->second.staleAnswers;
        return nullptr;
    }
    return it->second.phase == phase ? &it->second : nullptr;
}

bool EngineOrders::hasRoomForDownload(const Engine &engine) const
{
    return engine.downloadEnds || m_downloads.size() < m_limits.downloadsAtOnce;
}

void EngineOrders::order(Engine &engine, const EngineState &state, absl::Time now, PlacerActions &out)
{
    setPhase(engine, EnginePhase::Ordering);
    engine.orderedAt = now;
    if (!engine.downloadEnds) {
        engine.downloadEnds = now + detail::loadingLimit;
        m_downloads.emplace(*engine.downloadEnds, engine.target);
    }
    EngineState wish = state;
    wish.model = engine.model;
    wish.modelVersion = engine.modelVersion;
    out.emplace_back(RecordPlacement{engine.target, "order " + wish.model.value() + " " + wish.modelVersion,
                                     "serves " + state.model.value() + " " + state.modelVersion});
    out.emplace_back(SendOrder{engine.target, std::move(wish), m_fencing});
}

void EngineOrders::scheduleReading(Engine &engine, absl::Time due)
{
    setPhase(engine, EnginePhase::ReadingDue);
    m_due.erase({engine.dueAt, engine.target});
    engine.dueAt = due;
    m_due.emplace(due, engine.target);
}

void EngineOrders::backOff(Engine &engine, absl::Time now)
{
    engine.backoff = std::clamp(engine.backoff * 2, detail::firstEngineBackoff, detail::maxEngineBackoff);
    scheduleReading(engine, now + engine.backoff);
}

void EngineOrders::endDownload(Engine &engine)
{
    if (!engine.downloadEnds)
        return;
    m_downloads.erase({*engine.downloadEnds, engine.target});
    engine.downloadEnds.reset();
}

void EngineOrders::setPhase(Engine &engine, EnginePhase phase)
{
    if (engine.phase == EnginePhase::Reading)
        --m_reading;
    if (engine.phase == EnginePhase::ReadingDue)
        m_due.erase({engine.dueAt, engine.target});
    if (engine.phase == EnginePhase::AwaitingDownload)
        std::erase(m_awaiting, engine.target);
    engine.phase = phase;
    if (phase == EnginePhase::Reading)
        ++m_reading;
    if (phase == EnginePhase::ReadingDue)
        m_due.emplace(engine.dueAt, engine.target);
    if (phase == EnginePhase::AwaitingDownload)
        m_awaiting.push_back(engine.target);
}

} // namespace Wisteria
