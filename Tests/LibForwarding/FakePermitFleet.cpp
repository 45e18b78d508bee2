// Event queue, routers and faults of the fake fleet.

#include "FakePermitFleet.h"

#include <LibForwarding/TargetPool.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr absl::Duration reportInterval = absl::Milliseconds(500);
constexpr absl::Duration livenessTimeout = absl::Milliseconds(2100);
constexpr absl::Duration serviceTime = absl::Milliseconds(15);
constexpr absl::Duration patience = absl::Milliseconds(500);
const ServiceName service("app");

RouterId routerId(std::size_t n)
{
    return RouterId(absl::StrCat("g", n));
}

std::size_t routerNumber(const RouterId &id)
{
    return static_cast<std::size_t>(std::stoul(id.value().substr(1)));
}

} // namespace detail

// One router: its pool of targets, what it knows of the others, and its permits. Requests are handled as
// ForwardSession does.
class FakePermitFleet::Router final : private PermitRouters
{
public:
    Router(FakePermitFleet &fleet, std::size_t number)
        : m_fleet(fleet), m_number(number), m_id(detail::routerId(number)), m_startedAt(fleet.now()),
          m_pool(FailureDomain("z"), fleet.m_random), m_permits(*this, fleet.m_random)
    {
        for (const auto &it : fleet.m_targets) {
            m_pool.upsert({.id = it.process.id,
                           .service = detail::service,
                           .address = it.process.address,
                           .domain = FailureDomain("z"),
                           .slots = 6,
                           .startedAtMs = it.process.startedAtMs});
        }
    }

    // A report of the other router, with its limits.
    void heard(std::size_t router, bool isServing, const std::vector<TargetLimit> &limits)
    {
        m_heardAt[router] = m_fleet.now();
        m_isServing[router] = isServing;
        for (const auto &it : limits) {
            if (m_pool.mergeLimit(it) == TargetLimitChange::Ended)
                handle(PermitEvents::LimitEnded{it.process});
        }
        handle(PermitEvents::Tick{});
    }

    void report()
    {
        handle(PermitEvents::LimitsObserved{m_pool.limits().inForce()});
        const auto limits = m_pool.limits().recent(LimitNews::maxLimits, m_fleet.now());
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            if (n != m_number)
                m_fleet.deliver(m_number, n,
                                [number = m_number, isServing = !m_isDraining, limits](Router &it) {
                                    it.heard(number, isServing, limits);
                                });
        }
    }

    void drain()
    {
        m_isDraining = true;
        report();
    }

    void receive(const PermitRequest &request)
    {
        (void)m_pool.mergeLimit(request.limit);
        auto known = request.limit;
        if (const auto *limit = m_pool.limitOf(known.process.id))
            known = *limit;
        else
            known.rate.reset();
        handle(PermitEvents::RequestReceived{request, known});
    }

    void receive(const PermitAnswer &answer) { handle(PermitEvents::AnswerReceived{answer}); }

    void tick() { handle(PermitEvents::Tick{}); }

    void startRequest() { send(m_fleet.now()); }

    void stopRun(std::size_t target, absl::Time askedAt)
    {
        const auto *limit = m_pool.limitOf(m_fleet.m_targets[target].process.id);
        const PermitRequestId id(++m_lastRequest);
        m_stops[id] = {target, askedAt};
        handle(PermitEvents::Requested{id, *limit, PermitIssuer::horizon});
    }

    void answered(std::size_t target, std::optional<double> limit, absl::Time sentAt)
    {
        const auto &process = m_fleet.m_targets[target].process;
        m_pool.subtractLoad(process.id, {.requests = 1});
        TargetNotice notice;
        if (limit)
            notice.limit = RequestRate::perSecond(*limit);
        else
            notice.hasNoLimit = true;
        const auto change = m_pool.recordNotice(process, notice, sentAt, m_fleet.now()).limit;
        if (change == TargetLimitChange::Ended)
            handle(PermitEvents::LimitEnded{process});
        if (change != TargetLimitChange::None)
            report();
    }

private:
    struct Waiting
    {
        TargetProcess process;
        absl::Time arrivedAt;
        bool isLastTry{false};
    };

    [[nodiscard]] const RouterId &self() const override { return m_id; }

    [[nodiscard]] std::vector<RouterId> issuers(const TargetId &target, absl::Time now) const override
    {
        std::vector<RouterId> out;
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            const bool canIssue = n == m_number
                ? !m_isDraining && now - m_startedAt >= detail::livenessTimeout
                : m_heardAt.contains(n) && now - m_heardAt.at(n) <= detail::livenessTimeout
                    && m_isServing.at(n);
            if (canIssue)
                out.push_back(detail::routerId(n));
        }
        sortByIssuerRank(target, out);
        return out;
    }

    void send(absl::Time arrivedAt)
    {
        const auto now = m_fleet.now();
        const TargetRequirements requirements{.service = detail::service};
        if (const auto target = m_pool.choose(requirements, now)) {
            if (const auto *limit = m_pool.limitOf(*target))
                sendWithPermit(*limit, arrivedAt, absl::ZeroDuration(), false);
            else
                sendTo(*target, arrivedAt);
            return;
        }
        const auto deferred = m_pool.chooseDeferred(requirements, now);
        if (deferred
            && (m_pool.deferredUntil(*deferred) - now <= detail::patience
                || m_pool.limitOf(*deferred)->isStale(now)))
            sendWithPermit(*m_pool.limitOf(*deferred), arrivedAt, detail::patience, true);
        else
            ++m_fleet.m_rejected;
    }

    void sendWithPermit(const TargetLimit &limit, absl::Time arrivedAt, absl::Duration maxWait,
                        bool isLastTry)
    {
        if (m_permits.tryTake(limit, m_fleet.now())) {
            sendTo(limit.process.id, arrivedAt);
            return;
        }
        const PermitRequestId id(++m_lastRequest);
        m_waiting[id] = {limit.process, arrivedAt, isLastTry};
        handle(PermitEvents::Requested{id, limit, maxWait});
    }

    void sendTo(const TargetId &target, absl::Time arrivedAt)
    {
        m_pool.addLoad(target, {.requests = 1});
        ++m_fleet.m_served;
        for (std::size_t n = 0; n < m_fleet.m_targets.size(); ++n) {
            if (m_fleet.m_targets[n].process.id == target)
                m_fleet.sendToTarget(m_number, n, m_fleet.now() - arrivedAt);
        }
    }

    void handle(const PermitEvent &event)
    {
        for (const auto &it : m_permits.handle(event, m_fleet.now()))
            std::visit([this](const auto &action) { perform(action); }, it);
    }

    void perform(const PermitActions::Granted &action)
    {
        if (const auto stop = m_stops.extract(action.id)) {
            m_fleet.sendStop(m_number, stop.mapped().target, stop.mapped().askedAt);
            return;
        }
        const auto waiting = m_waiting.extract(action.id).mapped();
        sendTo(waiting.process.id, waiting.arrivedAt);
    }

    void perform(const PermitActions::Denied &action)
    {
        if (const auto stop = m_stops.extract(action.id)) {
            const auto it = stop.mapped();
            m_pool.deferLimited(m_fleet.m_targets[it.target].process.id, m_fleet.now() + action.delay);
            const auto delay =
                std::max(PermitIssuer::timeUntilOffered(action.delay), absl::Milliseconds(100));
            m_fleet.callAt(m_fleet.now() + delay, m_number,
                           [it](Router &router) { router.stopRun(it.target, it.askedAt); });
            return;
        }
        const auto waiting = m_waiting.extract(action.id).mapped();
        m_pool.deferLimited(waiting.process.id, m_fleet.now() + action.delay);
        if (waiting.isLastTry)
            ++m_fleet.m_rejected;
        else
            m_fleet.callAt(m_fleet.now(), m_number, [at = waiting.arrivedAt](Router &it) { it.send(at); });
    }

    void perform(const PermitActions::SendRequest &action)
    {
        ++m_fleet.m_permitMessages;
        m_fleet.deliver(m_number, detail::routerNumber(action.to),
                        [request = action.request](Router &it) { it.receive(request); });
    }

    void perform(const PermitActions::SendAnswer &action)
    {
        ++m_fleet.m_permitMessages;
        m_fleet.deliver(m_number, detail::routerNumber(action.to),
                        [answer = action.answer](Router &it) { it.receive(answer); });
    }

    void perform(const PermitActions::SetTimer &action)
    {
        m_fleet.callAt(action.at, m_number, [](Router &it) { it.tick(); });
    }

    FakePermitFleet &m_fleet;
    std::size_t m_number;
    RouterId m_id;
    absl::Time m_startedAt;
    TargetPool m_pool;
    RequestPermits m_permits;
    bool m_isDraining{false};
    std::map<std::size_t, absl::Time> m_heardAt;
    std::map<std::size_t, bool> m_isServing;
    std::uint64_t m_lastRequest{0};
    std::map<PermitRequestId, Waiting> m_waiting;
    struct Stop
    {
        std::size_t target{0};
        absl::Time askedAt;
    };
    std::map<PermitRequestId, Stop> m_stops;
};

FakePermitFleet::FakePermitFleet(const FakePermitFleetOptions &options)
    : m_options(options), m_random(options.seed), m_now(absl::UnixEpoch() + absl::Hours(1))
{
    const auto targets = options.limits.size() + (options.hasFreeTarget ? 1 : 0);
    for (std::size_t n = 0; n < targets; ++n)
        m_targets.push_back({{TargetId(absl::StrCat("t", n)), 1, absl::StrCat("10.0.0.", n, ":1")}, {}, {}});
    const auto routers = static_cast<std::size_t>(options.routers);
    m_boots.resize(routers);
    m_frozenUntil.resize(routers, absl::InfinitePast());
    m_cutUntil.resize(routers, absl::InfinitePast());
    m_faults.resize(routers);
    m_routers.resize(routers);
    for (std::size_t n = 0; n < routers; ++n)
        restart(n);
    for (auto &it : m_faults)
        it.clear();
    scheduleNextRequest();
}

FakePermitFleet::~FakePermitFleet() = default;

void FakePermitFleet::schedule(absl::Time at, std::function<void()> function)
{
    m_events.emplace(std::max(at, m_now), std::move(function));
}

void FakePermitFleet::run(absl::Duration duration)
{
    const auto end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

void FakePermitFleet::callAt(absl::Time at, std::size_t router, std::function<void(Router &)> function)
{
    schedule(at, [this, router, boot = m_boots[router], function = std::move(function)] {
        if (boot != m_boots[router])
            return;
        if (m_now < m_frozenUntil[router])
            callAt(m_frozenUntil[router], router, function);
        else
            function(*m_routers[router]);
    });
}

void FakePermitFleet::deliver(std::size_t from, std::size_t to, std::function<void(Router &)> function)
{
    if (isCut(from) || isCut(to) || m_random.fraction() < m_options.lostMessages)
        return;
    callAt(m_now + absl::Milliseconds(1) + m_random.fraction() * m_options.maxMessageDelay, to,
           std::move(function));
}

void FakePermitFleet::scheduleNextRequest()
{
    const auto interval = absl::Seconds(2 * m_random.fraction() / m_options.requestRate);
    schedule(m_now + interval, [this] {
        callAt(m_now, m_random.below(m_routers.size()), [](Router &it) { it.startRequest(); });
        scheduleNextRequest();
    });
}

void FakePermitFleet::sendRequestAtEachRouter()
{
    for (std::size_t n = 0; n < m_routers.size(); ++n)
        callAt(m_now, n, [](Router &it) { it.startRequest(); });
}

void FakePermitFleet::stopRuns(std::size_t target, std::size_t routers)
{
    for (std::size_t n = 0; n < routers; ++n)
        callAt(m_now, n, [target, at = m_now](Router &it) { it.stopRun(target, at); });
}

void FakePermitFleet::sendStop(std::size_t router, std::size_t target, absl::Time askedAt)
{
    ++m_stops;
    m_longestStopWait = std::max(m_longestStopWait, m_now - askedAt);
    sendToTarget(router, target, absl::ZeroDuration());
}

void FakePermitFleet::sendToTarget(std::size_t router, std::size_t target, absl::Duration waited)
{
    m_longestWait = std::max(m_longestWait, waited);
    const auto sentAt = m_now;
    schedule(m_now + absl::Milliseconds(1), [this, router, target, sentAt, boot = m_boots[router]] {
        m_targets[target].arrivals.push_back({m_now, router});
        if (boot != m_boots[router])
            return;
        // The head is written at the end of the work.
        schedule(m_now + detail::serviceTime * (0.5 + m_random.fraction()), [this, router, target, sentAt] {
            const auto limit = m_targets[target].limit;
            callAt(m_now + absl::Milliseconds(1), router,
                   [target, limit, sentAt](Router &it) { it.answered(target, limit, sentAt); });
        });
    });
}

void FakePermitFleet::setLimit(std::size_t target, std::optional<double> perSecond)
{
    m_targets[target].limit = perSecond;
}

void FakePermitFleet::noteFault(std::size_t router, absl::Time until)
{
    m_faults[router].emplace_back(m_now, until);
}

void FakePermitFleet::freeze(std::size_t router, absl::Duration duration)
{
    m_frozenUntil[router] = m_now + duration;
    noteFault(router, m_now + duration);
}

void FakePermitFleet::cut(std::size_t router, absl::Duration duration)
{
    m_cutUntil[router] = m_now + duration;
    noteFault(router, m_now + duration);
}

void FakePermitFleet::restart(std::size_t router)
{
    ++m_boots[router];
    m_routers[router] = std::make_unique<Router>(*this, router);
    noteFault(router, m_now);
    struct Reporter
    {
        static void run(FakePermitFleet &fleet, std::size_t router)
        {
            fleet.m_routers[router]->report();
            fleet.callAt(fleet.m_now + detail::reportInterval, router,
                         [&fleet, router](Router &) { run(fleet, router); });
        }
    };
    callAt(m_now + m_random.fraction() * absl::Milliseconds(100), router,
           [this, router](Router &) { Reporter::run(*this, router); });
}

void FakePermitFleet::drain(std::size_t router)
{
    m_routers[router]->drain();
}

bool FakePermitFleet::hadFault(std::size_t router, absl::Time from, absl::Time to) const
{
    return std::any_of(m_faults[router].begin(), m_faults[router].end(),
                       [&](const auto &it) { return it.first <= to && it.second >= from; });
}

int FakePermitFleet::mostInFourSeconds(std::size_t target, absl::Time since) const
{
    constexpr absl::Duration period = absl::Seconds(4);
    const auto &arrivals = m_targets[target].arrivals;
    std::ptrdiff_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (first->at < since)
            continue;
        const auto end = std::find_if(first, arrivals.end(),
                                      [&](const Arrival &it) { return it.at - first->at >= period; });
        most = std::max(most, std::count_if(first, end, [&](const Arrival &it) {
                            return !hadFault(it.router, first->at, first->at + period);
                        }));
    }
    return static_cast<int>(most);
}

double FakePermitFleet::arrivalRate(std::size_t target, absl::Time since) const
{
    const auto &arrivals = m_targets[target].arrivals;
    const auto n = std::count_if(arrivals.begin(), arrivals.end(),
                                 [since](const Arrival &it) { return it.at >= since; });
    return static_cast<double>(n) / absl::ToDoubleSeconds(m_now - since);
}

} // namespace Wisteria
