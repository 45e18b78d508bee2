// State transitions of the directory synchronizer.

#include <LibForwarding/DirectorySynchronizer.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Wisteria {

DirectorySyncActionList DirectorySynchronizer::begin()
{
    m_needsList = true;
    startNextCall();
    return std::exchange(m_actions, {});
}

DirectorySyncActionList DirectorySynchronizer::handle(const DirectorySyncEvent &event, absl::Time now)
{
    std::visit([this, now](const auto &it) { on(it, now); }, event);
    return std::exchange(m_actions, {});
}

void DirectorySynchronizer::on(const DirectorySyncEvents::ListCompleted &event, absl::Time now)
{
    if (event.position.era < m_position.era) {
        // A response from before the store was restored says nothing about the store as it is now.
        on(DirectorySyncEvents::CallFailed{}, now);
        return;
    }
    recordStoreSuccess(now);
    if (event.position >= m_position) {
        applyList(event.objects, event.position, now);
        m_position = event.position;
        m_changePosition = m_position;
        m_hasView = true;
    }
    m_needsList = false;
    startNextCall();
}

void DirectorySynchronizer::on(const DirectorySyncEvents::WatchCompleted &event, absl::Time now)
{
    if (event.position.era < m_position.era) {
        on(DirectorySyncEvents::CallFailed{}, now);
        return;
    }
    recordStoreSuccess(now);
    if (event.position.era != m_watchedFrom.era) {
        // The watch started from a revision of an earlier era, so changes of this era may be missing.
        m_needsList = true;
        startNextCall();
        return;
    }
    for (const auto &it : event.objects)
        apply(it, now);
    m_position = std::max(m_position, event.position);
    if (event.objects.empty()) {
        startNextCall();
        return;
    }
    m_changePosition = m_position;
    m_nextCallAt = now + m_watchBatchDelay;
    setTimer();
}

void DirectorySynchronizer::on(const DirectorySyncEvents::RevisionExpired &, absl::Time now)
{
    recordStoreSuccess(now);
    m_needsList = true;
    startNextCall();
}

void DirectorySynchronizer::on(const DirectorySyncEvents::CallFailed &, absl::Time now)
{
    if (!m_storeLostSince) {
        m_storeLostSince = now;
        m_actions.emplace_back(DirectorySyncActions::StoreLost{});
    }
    // Half of the backoff is jitter, so that the routers' retries do not coincide.
    const auto delay = m_backoff * (1 + m_random.fraction()) / 2;
    m_backoff = std::min(m_backoff * 2, m_hasView ? maxBackoff : maxBackoffWithoutView);
    m_nextCallAt = now + delay;
    setTimer();
}

void DirectorySynchronizer::on(const DirectorySyncEvents::RelayReceived &event, absl::Time now)
{
    if (event.position < m_changePosition)
        return;
    if (m_hasView && event.position.era > m_position.era) {
        // Changes cannot be applied to a view of another era.
        if (!event.isSnapshot)
            return;
        applyFirstListOfEra(event.objects, event.position, now);
    } else {
        for (const auto &it : event.objects) {
            if (it.isRemoved && m_objects.contains(it.name))
                removeObject(it.name, event.position, now);
            else if (!it.isRemoved)
                apply(it, now);
        }
        if (event.isSnapshot) {
            // The other router has already accepted these removals.
            for (const auto &it : namesMissingFrom(event.objects, event.position))
                removeObject(it, event.position, now);
            m_hasView = true;
        }
    }
    deferRelayedRemovals(event.deferredRemovals, now);
    m_position = std::max(m_position, event.position);
    m_changePosition = event.position;
}

void DirectorySynchronizer::on(const DirectorySyncEvents::HoldBackReceived &event, absl::Time now)
{
    // NOTE: Routers that noticed the era themselves know what had been removed. They would otherwise prolong
    // each other's hold-back.
    if (event.names.empty() || event.eraStart.era < m_position.era || event.eraStart.era <= m_eraStart.era)
        return;
    m_eraStart = event.eraStart;
    m_holdBackUntil = now + restoredEntryHoldBack;
    for (const auto &name : event.names) {
        m_heldBack.insert(name);
        // No removal of this era, which would outlast the hold-back.
        m_recentRemovals.try_emplace(name, Removal{StorePosition(), now});
        const auto it = m_objects.find(name);
        if (it == m_objects.end() || it->second > m_eraStart)
            continue;
        m_objects.erase(it);
        m_deferredRemovals.erase(name);
        m_actions.emplace_back(DirectorySyncActions::Remove{name});
    }
    setTimer();
}

void DirectorySynchronizer::on(const DirectorySyncEvents::Tick &, absl::Time now)
{
    std::vector<std::string> dueRemovals;
    for (const auto &[name, removal] : m_deferredRemovals) {
        if (now >= removal.until)
            dueRemovals.push_back(name);
    }
    for (const auto &it : dueRemovals)
        removeObject(it, m_position, now);
    endHoldBack(now);
    if (m_nextCallAt && now >= *m_nextCallAt) {
        m_nextCallAt.reset();
        startNextCall();
    }
    setTimer();
}

void DirectorySynchronizer::applyList(const std::vector<ObjectMetadata> &objects, StorePosition position,
                                      absl::Time now)
{
    if (m_hasView && position.era > m_position.era) {
        applyFirstListOfEra(objects, position, now);
        return;
    }
    for (const auto &it : objects)
        apply(it, now);
    for (const auto &it : namesMissingFrom(objects, position))
        remove(it, position, now);
}

void DirectorySynchronizer::applyFirstListOfEra(const std::vector<ObjectMetadata> &objects,
                                                StorePosition position, absl::Time now)
{
    forgetOldRemovals(now);
    m_acceptRemovalsFrom = std::max(m_acceptRemovalsFrom, now + removalGracePeriod);
    m_eraStart = position;
    m_heldBack.clear();
    for (const auto &[name, removal] : m_recentRemovals)
        m_heldBack.insert(name);
    if (!m_heldBack.empty())
        m_holdBackUntil = now + restoredEntryHoldBack;
    DirectorySyncActions::EraChanged change{.from = m_position, .to = position};
    for (const auto &it : objects) {
        change.heldBackObjects += isHeldBack(it) ? 1 : 0;
        apply(it, now);
    }
    const auto missing = namesMissingFrom(objects, position);
    for (const auto &it : missing)
        remove(it, position, now);
    change.keptObjects = missing.size();
    m_actions.emplace_back(change);
    setTimer();
}

bool DirectorySynchronizer::isObsolete(const ObjectMetadata &metadata) const
{
    const auto removal = m_recentRemovals.find(metadata.name);
    if (removal == m_recentRemovals.end())
        return false;
    return metadata.position <= removal->second.position || metadata.position.era < m_position.era;
}

bool DirectorySynchronizer::isHeldBack(const ObjectMetadata &metadata) const
{
    return m_heldBack.contains(metadata.name) && metadata.position <= m_eraStart;
}

void DirectorySynchronizer::apply(const ObjectMetadata &metadata, absl::Time now)
{
    if (metadata.isRemoved) {
        remove(metadata.name, metadata.position, now);
        return;
    }
    if (isObsolete(metadata) || isHeldBack(metadata))
        return;
    m_heldBack.erase(metadata.name);
    const auto [known, isNew] = m_objects.try_emplace(metadata.name, metadata.position);
    // A relay may bring what is known already; that doesn't undo a removal which is deferred.
    if (!isNew && known->second >= metadata.position)
        return;
    // Nor does a change from before the removal.
    const auto deferred = m_deferredRemovals.find(metadata.name);
    if (deferred != m_deferredRemovals.end() && deferred->second.position < metadata.position)
        m_deferredRemovals.erase(deferred);
    m_recentRemovals.erase(metadata.name);
    known->second = metadata.position;
    m_actions.emplace_back(DirectorySyncActions::Apply{metadata.name, metadata.position});
}

std::vector<std::string> DirectorySynchronizer::namesMissingFrom(const std::vector<ObjectMetadata> &present,
                                                                 StorePosition upTo) const
{
    absl::flat_hash_set<std::string> names;
    for (const auto &it : present)
        names.insert(it.name);
    std::vector<std::string> missing;
    for (const auto &[name, position] : m_objects) {
        if (!names.contains(name) && position <= upTo)
            missing.push_back(name);
    }
    return missing;
}

void DirectorySynchronizer::remove(const std::string &name, StorePosition position, absl::Time now)
{
    const auto it = m_objects.find(name);
    if (it == m_objects.end() || it->second > position)
        return;
    if (now < m_acceptRemovalsFrom) {
        deferRemoval(name, position, m_acceptRemovalsFrom);
        return;
    }
    removeObject(name, position, now);
}

void DirectorySynchronizer::removeObject(const std::string &name, StorePosition position, absl::Time now)
{
    m_objects.erase(name);
    m_deferredRemovals.erase(name);
    forgetOldRemovals(now);
    m_recentRemovals[name] = {position, now};
    m_actions.emplace_back(DirectorySyncActions::Remove{name});
}

void DirectorySynchronizer::deferRemoval(const std::string &name, StorePosition position, absl::Time until)
{
    auto &removal = m_deferredRemovals.try_emplace(name, DeferredRemoval{until, position}).first->second;
    removal = {std::max(removal.until, until), std::max(removal.position, position)};
    setTimer();
}

void DirectorySynchronizer::deferRelayedRemovals(const std::vector<DeferredRemovalNotice> &removals,
                                                 absl::Time now)
{
    for (const auto &it : removals) {
        const auto known = m_objects.find(it.name);
        // A removal that is deferred already isn't prolonged, or routers that relay to each other would do so
        // again and again.
        if (known == m_objects.end() || known->second > it.position || m_deferredRemovals.contains(it.name))
            continue;
        deferRemoval(it.name, it.position,
                     now + std::clamp(it.remaining, absl::ZeroDuration(), removalGracePeriod));
    }
}

std::vector<DeferredRemovalNotice> DirectorySynchronizer::deferredRemovals(absl::Time now) const
{
    std::vector<DeferredRemovalNotice> out;
    for (const auto &[name, removal] : m_deferredRemovals)
        out.push_back({name, removal.position, std::max(removal.until - now, absl::ZeroDuration())});
    return out;
}

void DirectorySynchronizer::forgetOldRemovals(absl::Time now)
{
    for (auto it = m_recentRemovals.begin(); it != m_recentRemovals.end();) {
        if (now - it->second.at > removalMemory)
            it = m_recentRemovals.erase(it);
        else
            ++it;
    }
}

void DirectorySynchronizer::endHoldBack(absl::Time now)
{
    if (!m_holdBackUntil || now < *m_holdBackUntil)
        return;
    m_holdBackUntil.reset();
    // Whatever the store still lists now has not expired, so its target is running. The next list applies it.
    m_heldBack.clear();
    m_needsList = true;
}

DirectorySyncActions::StartWatch DirectorySynchronizer::resumeWatch()
{
    m_watchedFrom = m_position;
    return {m_position};
}

void DirectorySynchronizer::recordStoreSuccess(absl::Time now)
{
    m_backoff = initialBackoff;
    if (!m_storeLostSince)
        return;
    m_actions.emplace_back(DirectorySyncActions::StoreRecovered{now - *m_storeLostSince});
    m_storeLostSince.reset();
    if (m_hasView && !m_isStoreTrustedByOthers)
        m_acceptRemovalsFrom = now + removalGracePeriod;
}

void DirectorySynchronizer::startNextCall()
{
    if (m_needsList)
        m_actions.emplace_back(DirectorySyncActions::StartList{});
    else
        m_actions.emplace_back(resumeWatch());
}

void DirectorySynchronizer::setTimer()
{
    auto at = std::min(m_nextCallAt.value_or(absl::InfiniteFuture()),
                       m_holdBackUntil.value_or(absl::InfiniteFuture()));
    for (const auto &[name, removal] : m_deferredRemovals)
        at = std::min(at, removal.until);
    if (at < absl::InfiniteFuture())
        m_actions.emplace_back(DirectorySyncActions::SetTimer{at});
}

} // namespace Wisteria
