// State transitions of the directory synchronizer.

#include <LibForwarding/DirectorySynchronizer.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Wisteria {

DirectorySyncActionList DirectorySynchronizer::begin()
{
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
    recordStoreSuccess(now);
    if (event.revision >= m_revision) {
        for (const auto &it : event.objects)
            apply(it, now);
        for (const auto &it : namesMissingFrom(event.objects, event.revision))
            remove(it, event.revision, now);
        m_revision = event.revision;
        m_changeRevision = m_revision;
        m_hasView = true;
    }
    m_needsList = false;
    startNextCall();
}

void DirectorySynchronizer::on(const DirectorySyncEvents::WatchCompleted &event, absl::Time now)
{
    recordStoreSuccess(now);
    for (const auto &it : event.objects)
        apply(it, now);
    m_revision = std::max(m_revision, event.revision);
    if (event.objects.empty()) {
        startNextCall();
        return;
    }
    m_changeRevision = m_revision;
    m_nextCallAt = now + watchBatchDelay;
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
    if (event.revision < m_changeRevision)
        return;
    for (const auto &it : event.objects) {
        if (it.isRemoved && m_objects.contains(it.name))
            removeObject(it.name);
        else if (!it.isRemoved)
            apply(it, now);
    }
    if (event.isSnapshot) {
        // The other router has already accepted these removals.
        for (const auto &it : namesMissingFrom(event.objects, event.revision))
            removeObject(it);
        m_hasView = true;
    }
    m_revision = std::max(m_revision, event.revision);
    m_changeRevision = event.revision;
}

void DirectorySynchronizer::on(const DirectorySyncEvents::Tick &, absl::Time now)
{
    for (auto it = m_deferredRemovals.begin(); it != m_deferredRemovals.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        m_objects.erase(it->first);
        m_actions.emplace_back(DirectorySyncActions::Remove{it->first});
        it = m_deferredRemovals.erase(it);
    }
    if (m_nextCallAt && now >= *m_nextCallAt) {
        m_nextCallAt.reset();
        startNextCall();
    }
    setTimer();
}

void DirectorySynchronizer::apply(const ObjectMetadata &metadata, absl::Time now)
{
    if (metadata.isRemoved) {
        remove(metadata.name, metadata.revision, now);
        return;
    }
    m_deferredRemovals.erase(metadata.name);
    auto &known = m_objects[metadata.name];
    if (known.value() != 0 && known >= metadata.revision)
        return;
    known = metadata.revision;
    m_actions.emplace_back(DirectorySyncActions::Apply{metadata.name, metadata.revision});
}

std::vector<std::string> DirectorySynchronizer::namesMissingFrom(const std::vector<ObjectMetadata> &present,
                                                                 ObjectVersion upTo) const
{
    absl::flat_hash_set<std::string> names;
    for (const auto &it : present)
        names.insert(it.name);
    std::vector<std::string> missing;
    for (const auto &[name, revision] : m_objects) {
        if (!names.contains(name) && revision <= upTo)
            missing.push_back(name);
    }
    return missing;
}

void DirectorySynchronizer::remove(const std::string &name, ObjectVersion revision, absl::Time now)
{
    const auto it = m_objects.find(name);
    if (it == m_objects.end() || it->second > revision)
        return;
    if (now < m_acceptRemovalsFrom) {
        m_deferredRemovals.try_emplace(name, m_acceptRemovalsFrom);
        setTimer();
        return;
    }
    removeObject(name);
}

void DirectorySynchronizer::removeObject(const std::string &name)
{
    m_objects.erase(name);
    m_deferredRemovals.erase(name);
    m_actions.emplace_back(DirectorySyncActions::Remove{name});
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
        m_actions.emplace_back(DirectorySyncActions::StartWatch{m_revision});
}

void DirectorySynchronizer::setTimer()
{
    auto at = m_nextCallAt.value_or(absl::InfiniteFuture());
    for (const auto &[name, until] : m_deferredRemovals)
        at = std::min(at, until);
    if (at < absl::InfiniteFuture())
        m_actions.emplace_back(DirectorySyncActions::SetTimer{at});
}

} // namespace Wisteria
