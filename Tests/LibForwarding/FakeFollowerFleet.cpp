// Reports, pulls, watches and reads of the fleet.

#include "FakeFollowerFleet.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr std::size_t watchersPerDomain = 2;
constexpr absl::Duration reportInterval = absl::Milliseconds(500);
constexpr absl::Duration urgentReportDelay = absl::Milliseconds(60);
constexpr absl::Duration pullDelay = absl::Milliseconds(60);
constexpr absl::Duration pullTimeout = absl::Milliseconds(1500);
constexpr absl::Duration storeAnswerTime = absl::Milliseconds(4);
constexpr absl::Duration networkDelay = absl::Milliseconds(1);
constexpr absl::Duration shortestCheck = absl::Milliseconds(20);
constexpr absl::Duration maxWatcherSilence = absl::Seconds(1);
// One report in so many is lost.
constexpr std::uint64_t reportsPerLoss = 20;
constexpr std::size_t idLength = 4;

std::size_t indexOf(const RouterId &id)
{
    std::size_t out = 0;
    (void)absl::SimpleAtoi(id.value().substr(1), &out);
    return out;
}

} // namespace detail

FakeFollowerFleet::FakeFollowerFleet(std::size_t routers, std::size_t domains, absl::Duration changeDeadline,
                                     std::uint64_t seed)
    : m_random(seed), m_changeDeadline(changeDeadline)
{
    std::vector<PeerTopology::Router> fleet;
    for (std::size_t n = 0; n < routers; ++n) {
        auto number = absl::StrCat(n);
        number.insert(0, detail::idLength - number.size(), '0');
        m_routers.push_back({.self = {.id = RouterId("g" + number),
                                      .domain = FailureDomain(absl::StrCat("d", n % domains)),
                                      .callerAddress = "127.0.0.1:1",
                                      .peerAddress = "127.0.0.1:2",
                                      .incarnation = Incarnation(1),
                                      .phase = RouterPhase::Serving,
                                      .isStoreTrusted = true},
                             .topology = PeerTopology(),
                             .freshness = ViewFreshness(changeDeadline),
                             .position = m_store,
                             .storeConfirmedAt = m_time.now(),
                             .reportedAt = m_time.now()});
        fleet.push_back({m_routers.back().self.id, m_routers.back().self.domain});
    }
    for (std::size_t n = 0; n < routers; ++n) {
        auto others = fleet;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
        auto &router = m_routers[n];
        router.topology.update(fleet[n], others);
        for (const auto &it : m_routers) {
            if (it.self.id != router.self.id)
                router.registry.upsertRecord(it.self);
        }
        router.freshness.confirmByStore(m_time.now());
        m_time.after(detail::reportInterval * m_random.fraction(), [this, n] { report(n); });
        // Once the first reports have arrived.
        m_time.after(2 * detail::reportInterval, [this, n] { keepConfirmed(n); });
    }
}

void FakeFollowerFleet::runFor(absl::Duration duration)
{
    bool isOver = false;
    m_time.after(duration, [&isOver] { isOver = true; });
    while (!isOver)
        (void)m_time.runNext(absl::InfiniteFuture());
}

void FakeFollowerFleet::setState(std::size_t router, FollowerState state)
{
    m_routers[router].state = state;
}

std::vector<std::size_t> FakeFollowerFleet::watchers() const
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        if (m_routers[n].isWatching)
            out.push_back(n);
    }
    return out;
}

std::vector<std::size_t> FakeFollowerFleet::soundRoutersBehind() const
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        if (m_routers[n].state == FollowerState::Sound && m_routers[n].position < m_store)
            out.push_back(n);
    }
    return out;
}

void FakeFollowerFleet::change()
{
    m_store.revision = ObjectVersion(m_store.revision.value() + 1);
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        if (const auto since = m_routers[n].watchedSince)
            m_time.after(jittered(detail::storeAnswerTime), [this, n, since] { answerWatch(n, *since); });
    }
}

absl::Duration FakeFollowerFleet::jittered(absl::Duration duration)
{
    return duration * (1 + m_random.fraction());
}

void FakeFollowerFleet::report(std::size_t router)
{
    auto &it = m_routers[router];
    if (isLost(router))
        return;
    it.reportedAt = m_time.now();
    ++it.self.reportSequence;
    for (const auto &to : it.topology.ownGroup())
        sendReport(router, detail::indexOf(to));
    for (const auto &to : it.topology.selectBriefPeers(m_random))
        sendReport(router, detail::indexOf(to));
    m_time.after(detail::reportInterval, [this, router, at = it.reportedAt] {
        if (m_routers[router].reportedAt == at)
            report(router);
    });
}

void FakeFollowerFleet::sendReport(std::size_t from, std::size_t to)
{
    const auto &it = m_routers[from];
    if (m_random.below(detail::reportsPerLoss) == 0)
        return;
    m_time.after(jittered(detail::networkDelay),
                 [this, to, sender = it.self, position = it.position, age = storeAge(it)] {
                     if (!isLost(to))
                         receiveReport(to, sender, position, age);
                 });
}

void FakeFollowerFleet::receiveReport(std::size_t router, const RouterRegistry::Member &from,
                                      StorePosition position, std::optional<absl::Duration> age)
{
    auto &it = m_routers[router];
    if (it.registry.recordReport(from, m_time.now()) == ReportOrder::Outdated)
        return;
    if (age)
        it.freshness.confirmByPeer(position, *age, it.position, m_time.now());
    else
        it.freshness.notePosition(position);
    if (position > it.position && !std::exchange(it.isPulling, true)) {
        m_time.after(jittered(detail::pullDelay),
                     [this, router, sender = detail::indexOf(from.id)] { pull(router, sender); });
    }
}

void FakeFollowerFleet::pull(std::size_t router, std::size_t from)
{
    // A frozen router accepts the connection, but doesn't answer.
    const auto delay = isLost(from) ? detail::pullTimeout : jittered(2 * detail::networkDelay);
    m_time.after(delay, [this, router, from] {
        auto &it = m_routers[router];
        it.isPulling = false;
        if (!isLost(router) && !isLost(from))
            take(router, m_routers[from].position);
    });
}

void FakeFollowerFleet::take(std::size_t router, StorePosition position)
{
    auto &it = m_routers[router];
    if (position <= it.position)
        return;
    it.position = position;
    m_time.after(std::max(it.reportedAt + detail::urgentReportDelay - m_time.now(), absl::ZeroDuration()),
                 [this, router] { report(router); });
}

std::optional<absl::Duration> FakeFollowerFleet::storeAge(const Router &router) const
{
    if (router.watchedSince
        && m_time.now()
            <= *router.watchedSince + router.wait + ViewFreshness::maxAnswerDelayFraction * m_changeDeadline)
        return absl::ZeroDuration();
    const auto age = m_time.now() - router.storeConfirmedAt;
    return age <= m_changeDeadline ? std::optional(age) : std::nullopt;
}

void FakeFollowerFleet::startWatch(std::size_t router)
{
    auto &it = m_routers[router];
    if (it.watchedSince || isLost(router))
        return;
    ++m_storeCalls;
    it.watchedSince = m_time.now();
    it.wait = ViewFreshness::maxWatchFraction * m_changeDeadline;
    const auto answerAfter = m_store > it.position ? detail::storeAnswerTime : it.wait;
    m_time.after(answerAfter, [this, router, since = m_time.now()] { answerWatch(router, since); });
}

void FakeFollowerFleet::answerWatch(std::size_t router, absl::Time since)
{
    auto &it = m_routers[router];
    if (it.watchedSince != since || it.state != FollowerState::Sound)
        return;
    it.watchedSince.reset();
    storeAnswered(router, m_time.now());
    if (it.isWatching)
        startWatch(router);
}

void FakeFollowerFleet::storeAnswered(std::size_t router, absl::Time completeUpTo)
{
    auto &it = m_routers[router];
    it.storeConfirmedAt = completeUpTo;
    it.freshness.confirmByStore(completeUpTo);
    take(router, m_store);
}

void FakeFollowerFleet::keepConfirmed(std::size_t router)
{
    auto &it = m_routers[router];
    if (isLost(router))
        return;
    const auto now = m_time.now();
    const auto &group = it.topology.ownGroup();
    const auto watchers =
        std::max<std::size_t>(detail::watchersPerDomain / it.topology.groupsInOwnDomain(), 1);
    it.isWatching = it.registry.shouldWatchStore(it.self, group, watchers, detail::maxWatcherSilence, now);
    if (it.isWatching)
        startWatch(router);
    const auto routersBefore =
        it.registry.countHeardBefore(it.self.id, group, detail::maxWatcherSilence, now);
    if (!it.isWatching && now >= it.freshness.readDueAt(routersBefore)) {
        it.freshness.readStarted(now);
        ++m_storeCalls;
        m_time.after(jittered(detail::storeAnswerTime), [this, router, now] {
            if (m_routers[router].state != FollowerState::Sound)
                return;
            storeAnswered(router, now);
            report(router);
        });
    }
    const auto nextAt = std::max(it.freshness.readDueAt(routersBefore), now + detail::shortestCheck);
    m_time.after(std::min(nextAt - now, absl::Seconds(1)), [this, router] { keepConfirmed(router); });
}

} // namespace Wisteria
