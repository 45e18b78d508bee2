// Follows the directory's orders and targets, and decides which versions a request may use.

#include <LibGateway/RolloutGuard.h>

#include <LibCore/Views.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// With these draws, RolloutShare chooses a candidate if it does with any, and only if it does with all.
constexpr double mostPermissiveDraw = 0;
constexpr double leastPermissiveDraw = 1 - 0x1p-53;

std::string_view sideLabel(VersionSide side)
{
    return side == VersionSide::Candidate ? R"(side="candidate")" : R"(side="baseline")";
}

} // namespace detail

CountedRun::~CountedRun()
{
    if (const auto guard = m_guard.lock())
        guard->runEnded(m_service, m_version, m_isAtMostOnce);
}

RolloutGuard::RolloutGuard(boost::asio::io_context &context, Router router, const RolloutLimits &limits,
                           const RouterRegistry &routers, TargetPool &targets, DirectoryStore &store,
                           RandomSource &random, StructuredLog &log, GatewayMetrics &metrics)
    : m_context(context), m_router(std::move(router)), m_limits(limits), m_routers(routers),
      m_targets(targets), m_store(store), m_random(random), m_log(log), m_metrics(metrics),
      m_coordinator(m_router.id, limits), m_messageTimer(context), m_coordinatorTimer(context),
      m_readTimer(context)
{
}

RolloutGuard::Service *RolloutGuard::find(const ServiceName &name)
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const RolloutOrder *RolloutGuard::orderOf(const Service &service)
{
    return service.share.record() ? &service.share.record()->order : nullptr;
}

VersionSide RolloutGuard::sideOf(const Service &service, const TargetVersion &version)
{
    const auto *order = orderOf(service);
    return order && order->target == version ? VersionSide::Candidate : VersionSide::Baseline;
}

bool RolloutGuard::isOpen(const Service &service)
{
    if (!service.share.record())
        return false;
    const auto state = service.share.record()->effectiveState();
    return state == RolloutState::None || state == RolloutState::Running;
}

void RolloutGuard::targetListed(const ForwardingTarget &record, absl::Time now)
{
    if (const auto it = m_serviceOfTarget.find(record.id);
        it != m_serviceOfTarget.end() && it->second != record.service)
        targetRemoved(record.id, now);
    m_serviceOfTarget[record.id] = record.service;
    auto &service = m_services[record.service];
    auto &listed = service.targets[record.id];
    if (listed.process != record.process() || listed.version != record.version)
        listed = {record.process(), record.version, record.listedAt};
    rememberKnownVersions(service);
    targetsChanged(service);
    announceOrder(service, now);
}

void RolloutGuard::targetRemoved(const TargetId &id, absl::Time now)
{
    const auto it = m_serviceOfTarget.find(id);
    if (it == m_serviceOfTarget.end())
        return;
    auto &service = m_services[it->second];
    m_serviceOfTarget.erase(it);
    service.targets.erase(id);
    targetsChanged(service);
    announceOrder(service, now);
}

void RolloutGuard::targetsChanged(Service &service)
{
    updateHolds(service);
    service.baselineTargets = 0;
    service.candidateTargets = 0;
    for (const auto &[id, target] : service.targets) {
        if (service.unproven.contains(target.version))
            continue;
        ++(sideOf(service, target.version) == VersionSide::Candidate ? service.candidateTargets
                                                                     : service.baselineTargets);
    }
}

void RolloutGuard::rememberKnownVersions(Service &service)
{
    if (service.isOrderUnreadable)
        return;
    for (const auto &[id, target] : service.targets) {
        if (target.firstListedAt <= m_ordersReadUpTo)
            service.known.insert(target.version);
    }
}

void RolloutGuard::updateHolds(Service &service)
{
    // Without a known version, the one that was listed first is in use.
    const ListedTarget *first = nullptr;
    bool hasProven = false;
    bool hasKnown = false;
    for (const auto &[id, target] : service.targets) {
        if (!first || target.firstListedAt < first->firstListedAt)
            first = &target;
        hasProven = hasProven || !service.unproven.contains(target.version);
        hasKnown = hasKnown || service.known.contains(target.version);
    }
    const auto isInUse = [&](const TargetVersion &version) {
        return hasKnown ? service.known.contains(version) : version == first->version;
    };
    const auto *order = orderOf(service);
    for (const auto &[id, target] : service.targets) {
        // A candidate is limited by its order.
        const bool isCandidate = order && order->target == target.version;
        const bool isUnproven = hasProven && service.unproven.contains(target.version);
        m_targets.setHeld(id, !isCandidate && (isUnproven || !isInUse(target.version)));
    }
}

void RolloutGuard::ordersRead(StorePosition position, absl::Time)
{
    if (position <= m_ordersReadUpTo)
        return;
    m_ordersReadUpTo = position;
    for (auto &[name, service] : m_services) {
        const auto before = service.known.size();
        rememberKnownVersions(service);
        if (service.known.size() != before)
            updateHolds(service);
    }
}

void RolloutGuard::orderChanged(const RolloutRecord &record, absl::Time now)
{
    const auto known = m_records.find(record.name);
    const auto before = known == m_records.end() ? record.order.service : known->second.order.service;
    m_records[record.name] = record;
    if (auto *service = find(ServiceName(record.name)))
        service->isOrderUnreadable = false;
    if (before != record.order.service)
        updateOrder(before, now);
    updateOrder(record.order.service, now);
}

void RolloutGuard::orderRemoved(const std::string &name, absl::Time now)
{
    auto service = ServiceName(name);
    if (const auto it = m_records.find(name); it != m_records.end()) {
        service = it->second.order.service;
        m_records.erase(it);
    }
    if (auto *it = find(ServiceName(name)))
        it->isOrderUnreadable = false;
    updateOrder(service, now);
}

void RolloutGuard::orderUnreadable(const std::string &name, absl::Time now)
{
    orderRemoved(name, now);
    m_services[ServiceName(name)].isOrderUnreadable = true;
}

void RolloutGuard::updateOrder(const ServiceName &name, absl::Time now)
{
    std::optional<RolloutRecord> record;
    for (const auto &[objectName, it] : m_records) {
        if (it.order.service != name)
            continue;
        if (!record || objectName == name.value())
            record = it;
    }
    for (const auto &[objectName, it] : m_records) {
        if (it.order.service == name && objectName != record->name) {
            m_log.write("rollout_rejected",
                        {{"rollout", objectName},
                         {"target", it.order.target.value()},
                         {"error", errorName(ErrorCode::Conflict)},
                         {"reason", absl::StrCat("the service has another order: ", record->name)}},
                        now);
        }
    }
    auto &service = m_services[name];
    const auto before = service.share.record();
    const bool isSameOrder = before && record && before->order == record->order;
    if (before && !isSameOrder) {
        if (service.share.phase(now) != RolloutPhase::Completed)
            service.unproven.insert(before->order.target);
        service.tally.clear();
    }
    if (before && (!record || before->name != record->name))
        handle(RolloutEvents::OrderGone{before->name}, now);
    if (record) {
        service.unproven.erase(record->order.target);
        if (record->effectiveState() == RolloutState::Completed)
            service.known = {record->order.target};
    }
    service.share.setOrder(record, now);
    rememberKnownVersions(service);
    targetsChanged(service);
    updatePhaseMetric(name, service, now);
    if (!record)
        return;
    service.context = contextOf(service);
    handle(RolloutEvents::OrderSeen{*record, service.context}, now);
    scheduleMessages(now);
}

RolloutContext RolloutGuard::contextOf(const Service &service) const
{
    const auto *order = orderOf(service);
    return {.isServiceKnown = order && m_router.isServiceKnown(order->service),
            .hasBaselineTargets = service.baselineTargets > 0,
            .hasCandidateTargets = service.candidateTargets > 0};
}

void RolloutGuard::announceOrder(Service &service, absl::Time now)
{
    if (!service.share.record())
        return;
    const auto before = std::exchange(service.context, contextOf(service));
    const auto &after = service.context;
    if (before.isServiceKnown == after.isServiceKnown && before.hasBaselineTargets == after.hasBaselineTargets
        && before.hasCandidateTargets == after.hasCandidateTargets)
        return;
    handle(RolloutEvents::OrderSeen{*service.share.record(), after}, now);
    scheduleMessages(now);
}

VersionRule RolloutGuard::ruleFor(const ServiceName &name, absl::Time now)
{
    const auto *service = find(name);
    const auto *order = service ? orderOf(*service) : nullptr;
    if (!order)
        return {};
    VersionRule rule{.choice = service->share.choose(m_random.fraction(), now), .candidate = order->target};
    if (rule.choice == VersionChoice::CandidateOnly) {
        if (service->share.concentrates(now))
            rule.maxCandidates = RolloutShare::waveTargets(service->baselineTargets);
        if (service->candidateTargets == 0)
            rule.choice = VersionChoice::Any;
    } else if (service->baselineTargets == 0) {
        rule.choice = VersionChoice::Any;
    }
    return rule;
}

VersionRule RolloutGuard::copyRuleFor(const ForwardingTarget &record, absl::Time now)
{
    const auto *service = find(record.service);
    const auto *order = service ? orderOf(*service) : nullptr;
    if (!order)
        return {};
    const auto phase = service->share.phase(now);
    const bool isCandidate = record.version == order->target || phase == RolloutPhase::Switching
        || phase == RolloutPhase::Completed;
    return {.choice = isCandidate ? VersionChoice::CandidateOnly : VersionChoice::BaselineOnly,
            .candidate = order->target};
}

bool RolloutGuard::mayPrefer(const ForwardingTarget &record, absl::Time now)
{
    const auto *service = find(record.service);
    const auto *order = service ? orderOf(*service) : nullptr;
    if (!order)
        return true;
    if (record.version == order->target)
        return !isClosed(record, now);
    return service->candidateTargets == 0
        || service->share.choose(detail::leastPermissiveDraw, now) != VersionChoice::CandidateOnly;
}

bool RolloutGuard::isClosed(const ForwardingTarget &record, absl::Time now)
{
    const auto *service = find(record.service);
    const auto *order = service ? orderOf(*service) : nullptr;
    if (!order)
        return false;
    if (record.version != order->target)
        return service->share.phase(now) == RolloutPhase::Completed && service->candidateTargets > 0;
    return service->baselineTargets > 0
        && service->share.choose(detail::mostPermissiveDraw, now) == VersionChoice::BaselineOnly;
}

bool RolloutGuard::mayFallBack(const ServiceName &name, absl::Time now)
{
    const auto *service = find(name);
    return service && service->share.phase(now) != RolloutPhase::Completed;
}

std::unique_ptr<CountedRun> RolloutGuard::recordAttempt(const ForwardingTarget &record, bool isAtMostOnce)
{
    auto &service = m_services[record.service];
    if (isOpen(service)) {
        const auto side = sideOf(service, record.version);
        service.share.recordAttempt(side);
        m_metrics.increment("rollout_attempts_total", std::string(detail::sideLabel(side)));
    }
    auto &runs = service.runs[record.version];
    ++runs.all;
    runs.atMostOnce += isAtMostOnce ? 1 : 0;
    return std::make_unique<CountedRun>(weak_from_this(), record.service, record.version, isAtMostOnce);
}

void RolloutGuard::runEnded(const ServiceName &name, const TargetVersion &version, bool isAtMostOnce)
{
    auto *service = find(name);
    const auto it = service ? service->runs.find(version) : std::map<TargetVersion, RunCount>::iterator();
    if (!service || it == service->runs.end())
        return;
    it->second.atMostOnce -= isAtMostOnce ? 1 : 0;
    if (--it->second.all == 0)
        service->runs.erase(it);
}

void RolloutGuard::recordAnswer(const ServiceName &name, const TargetVersion &version, AnswerSample sample,
                                absl::Time now)
{
    auto *service = find(name);
    if (!service || !isOpen(*service))
        return;
    sample.side = sideOf(*service, version);
    service->tally.add(sample, now);
}

void RolloutGuard::updatePhaseMetric(const ServiceName &name, const Service &service, absl::Time now)
{
    m_metrics.setGauge("rollout_phase", absl::StrCat("service=\"", name.value(), "\""),
                       service.share.record() ? static_cast<double>(service.share.phase(now)) : 0);
}

void RolloutGuard::runPeriodicTasks(absl::Time now)
{
    std::uint32_t badAnswers = 0;
    for (auto &[name, service] : m_services) {
        if (!service.share.record())
            continue;
        // The configuration may have changed.
        announceOrder(service, now);
        updatePhaseMetric(name, service, now);
        for (const auto &[route, sides] : service.tally.tallies())
            badAnswers += sides[static_cast<std::size_t>(VersionSide::Candidate)].failures;
    }
    if (m_records.empty())
        return;
    m_metrics.setGauge("rollout_bad_answers", badAnswers);
    std::erase_if(m_lastReportAt,
                  [now](const auto &it) { return now - it.second > RouterRegistry::livenessTimeout * 2; });
    scheduleMessages(now);
}

} // namespace Wisteria
