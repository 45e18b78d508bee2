// Asks for permits, matches answers with requests, and keeps permits that were not used.

#include <LibForwarding/RequestPermits.h>

#include <LibForwarding/StableHash.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Wisteria {

void sortByIssuerRank(const TargetId &target, std::vector<RouterId> &routers)
{
    std::vector<std::pair<std::uint64_t, RouterId>> ranked;
    ranked.reserve(routers.size());
    for (auto &it : routers)
        ranked.emplace_back(stableHash(absl::StrCat(target.value(), "/", it.value())), std::move(it));
    std::sort(ranked.begin(), ranked.end());
    routers.clear();
    for (auto &it : ranked)
        routers.push_back(std::move(it.second));
}

PermitActionList RequestPermits::handle(const PermitEvent &event, absl::Time now)
{
    dropOld(now);
    std::visit([this, now](const auto &it) { on(it, now); }, event);
    setTimer();
    return std::exchange(m_actions, {});
}

bool RequestPermits::isIssuer(const TargetId &target, absl::Time now) const
{
    const auto issuers = m_routers.issuers(target, now);
    return !issuers.empty() && issuers.front() == m_routers.self();
}

std::optional<RouterId> RequestPermits::issuerToAsk(const TargetId &target, absl::Time now) const
{
    for (const auto &it : m_routers.issuers(target, now)) {
        const auto silent = m_silentUntil.find(it);
        const bool isSilent = silent != m_silentUntil.end() && now < silent->second;
        // A router issues no permits just because it could not reach the issuer.
        if (!isSilent && it != m_routers.self())
            return it;
    }
    return std::nullopt;
}

PermitOutcome RequestPermits::issue(const TargetLimit &limit, absl::Duration maxWait, absl::Time now)
{
    auto outcome = m_issuer.issue(limit, maxWait, now);
    if (outcome.isGranted)
        return outcome;
    const auto second = absl::ToUnixSeconds(now);
    if (second != m_denials.second)
        m_denials = {second, 0, second == m_denials.second + 1 ? m_denials.count : 0};
    ++m_denials.count;
    return outcome;
}

bool RequestPermits::tryTake(const TargetLimit &limit, absl::Time now)
{
    dropOld(now);
    if (takeSpare(limit.process, absl::ZeroDuration(), now))
        return true;
    return isIssuer(limit.process.id, now) && issue(limit, absl::ZeroDuration(), now).isGranted;
}

std::optional<absl::Duration> RequestPermits::takeSpare(const TargetProcess &process, absl::Duration maxWait,
                                                        absl::Time now)
{
    const auto it = std::find_if(m_spares.begin(), m_spares.end(), [&](const SparePermit &spare) {
        return spare.process == process && spare.validFrom <= now + maxWait;
    });
    if (it == m_spares.end())
        return std::nullopt;
    const auto delay = std::max(it->validFrom - now, absl::ZeroDuration());
    m_spares.erase(it);
    return delay;
}

void RequestPermits::on(const PermitEvents::Requested &event, absl::Time now)
{
    const auto &process = event.limit.process;
    Pending pending{.process = process,
                    .maxWait = event.maxWait,
                    .isLimitStale = event.limit.isStale(now),
                    .dueAt = now + answerTimeout};
    if (const auto delay = takeSpare(process, event.maxWait, now)) {
        settle(event.id, pending, {true, *delay}, now);
        return;
    }
    if (isIssuer(process.id, now)) {
        settle(event.id, pending, issue(event.limit, event.maxWait, now), now);
        return;
    }
    const auto issuer = issuerToAsk(process.id, now);
    if (!issuer) {
        deny(event.id, pending, unansweredDelay, now);
        return;
    }
    pending.issuer = *issuer;
    m_pending.emplace(event.id, pending);
    m_actions.emplace_back(PermitActions::SendRequest{
        *issuer,
        {.asker = m_routers.self(), .id = event.id, .limit = event.limit, .maxWait = event.maxWait}});
}

void RequestPermits::settle(PermitRequestId id, Pending &pending, const PermitOutcome &outcome,
                            absl::Time now)
{
    if (!outcome.isGranted) {
        deny(id, pending, outcome.delay, now);
        return;
    }
    if (outcome.delay <= absl::ZeroDuration()) {
        m_actions.emplace_back(PermitActions::Granted{id});
        return;
    }
    pending.state = PendingState::Granted;
    pending.dueAt = now + outcome.delay;
    m_pending.insert_or_assign(id, pending);
}

void RequestPermits::deny(PermitRequestId id, Pending &pending, absl::Duration delay, absl::Time now)
{
    const auto wait = std::min(pending.maxWait, staleLimitWait);
    if (!pending.isLimitStale || wait <= absl::ZeroDuration()) {
        tellDenied(id, delay);
        return;
    }
    pending.state = PendingState::Denied;
    pending.dueAt = now + wait;
    pending.deniedDelay = std::max(delay - wait, absl::ZeroDuration());
    m_pending.insert_or_assign(id, pending);
}

void RequestPermits::tellDenied(PermitRequestId id, absl::Duration delay)
{
    m_actions.emplace_back(PermitActions::Denied{id, delay});
}

void RequestPermits::on(const PermitEvents::Withdrawn &event, absl::Time)
{
    const auto it = m_pending.find(event.id);
    if (it == m_pending.end())
        return;
    if (it->second.state == PendingState::Granted)
        m_spares.push_back({it->second.process, it->second.dueAt});
    m_pending.erase(it);
}

void RequestPermits::on(const PermitEvents::Unused &event, absl::Time now)
{
    m_spares.push_back({event.process, now});
}

void RequestPermits::on(const PermitEvents::RequestReceived &event, absl::Time now)
{
    const auto &request = event.request;
    const auto &target = request.limit.process.id;
    const auto issuers = m_routers.issuers(target, now);
    const bool isKnown = !issuers.empty();
    if (isKnown && issuers.front() != m_routers.self() && !request.isForwarded
        && issuers.front() != request.asker) {
        auto forwarded = request;
        forwarded.isForwarded = true;
        m_actions.emplace_back(PermitActions::SendRequest{issuers.front(), std::move(forwarded)});
        return;
    }
    PermitOutcome outcome{false, unansweredDelay};
    if (!event.limit.rate) {
        outcome = {true, absl::ZeroDuration()};
    } else if (isKnown && issuers.front() == m_routers.self()) {
        outcome = issue(event.limit, request.maxWait, now);
        // The spread grows with the number of routers that ask in vain.
        const double denials = std::max(m_denials.count, m_denials.previousCount);
        if (!outcome.isGranted)
            outcome.delay += absl::Seconds(m_random.fraction() * denials / maxDenialsPerSecond);
    }
    m_actions.emplace_back(PermitActions::SendAnswer{request.asker, {request.id, outcome}});
}

void RequestPermits::on(const PermitEvents::AnswerReceived &event, absl::Time now)
{
    const auto it = m_pending.find(event.answer.id);
    if (it == m_pending.end() || it->second.state != PendingState::Asked)
        return;
    auto pending = it->second;
    m_silentUntil.erase(pending.issuer);
    m_pending.erase(it);
    settle(event.answer.id, pending, event.answer.outcome, now);
}

void RequestPermits::on(const PermitEvents::Tick &, absl::Time now)
{
    std::vector<std::pair<PermitRequestId, Pending>> due;
    for (const auto &it : m_pending) {
        if (it.second.dueAt <= now)
            due.emplace_back(it);
    }
    for (const auto &[id, pending] : due) {
        m_pending.erase(id);
        endDue(id, pending, now);
    }
    stopIssuingForOthers(now);
}

void RequestPermits::endDue(PermitRequestId id, const Pending &pending, absl::Time now)
{
    switch (pending.state) {
    case PendingState::Asked:
        m_silentUntil[pending.issuer] = now + silentIssuerPause;
        tellDenied(id, unansweredDelay);
        return;
    case PendingState::Denied:
        tellDenied(id, pending.deniedDelay);
        return;
    case PendingState::Granted:
        // A permit that is too old means that the process was frozen meanwhile.
        if (now - pending.dueAt < permitLifetime)
            m_actions.emplace_back(PermitActions::Granted{id});
        else
            tellDenied(id, absl::ZeroDuration());
        return;
    }
}

void RequestPermits::stopIssuingForOthers(absl::Time now)
{
    for (const auto &it : m_issuer.targets()) {
        if (!isIssuer(it, now))
            m_issuer.stopIssuing(it);
    }
}

void RequestPermits::on(const PermitEvents::LimitsObserved &event, absl::Time now)
{
    stopIssuingForOthers(now);
    for (const auto &it : event.limits) {
        if (isIssuer(it.process.id, now))
            m_issuer.startIssuing(it, now);
    }
}

void RequestPermits::on(const PermitEvents::LimitEnded &event, absl::Time)
{
    m_issuer.stopIssuing(event.process.id);
    absl::erase_if(m_pending, [&](const auto &it) {
        if (it.second.process != event.process)
            return false;
        m_actions.emplace_back(PermitActions::Granted{it.first});
        return true;
    });
}

void RequestPermits::dropOld(absl::Time now)
{
    std::erase_if(m_spares, [now](const SparePermit &it) { return now - it.validFrom >= permitLifetime; });
    absl::erase_if(m_silentUntil, [now](const auto &it) { return it.second <= now; });
}

void RequestPermits::setTimer()
{
    auto at = absl::InfiniteFuture();
    for (const auto &[id, pending] : m_pending)
        at = std::min(at, pending.dueAt);
    if (at != absl::InfiniteFuture())
        m_actions.emplace_back(PermitActions::SetTimer{at});
}

} // namespace Wisteria
