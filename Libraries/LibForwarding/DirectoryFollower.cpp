// The transitions of the follower.

#include <LibForwarding/DirectoryFollower.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Wisteria {

FollowerActionList DirectoryFollower::begin()
{
    callAgain();
    return std::exchange(m_out, {});
}

FollowerActionList DirectoryFollower::handle(const FollowerEvent &event, absl::Time now)
{
    std::visit([this, now](const auto &it) { on(it, now); }, event);
    return std::exchange(m_out, {});
}

void DirectoryFollower::on(const FollowerEvents::Listed &event, absl::Time now)
{
    storeAnswered(now);
    if (event.revision >= m_revision) {
        for (const auto &it : event.objects)
            apply(it, now);
        for (const auto &it : missingIn(event.objects, event.revision))
            remove(it, event.revision, now);
        m_revision = event.revision;
        m_changeRevision = m_revision;
        m_hasView = true;
    }
    m_needsList = false;
    callAgain();
}

void DirectoryFollower::on(const FollowerEvents::Watched &event, absl::Time now)
{
    storeAnswered(now);
    for (const auto &it : event.objects)
        apply(it, now);
    m_revision = std::max(m_revision, event.revision);
    if (event.objects.empty()) {
        callAgain();
        return;
    }
    m_changeRevision = m_revision;
    m_callAt = now + groupPause;
    setTimer();
}

void DirectoryFollower::on(const FollowerEvents::HistoryLost &, absl::Time now)
{
    storeAnswered(now);
    m_needsList = true;
    callAgain();
}

void DirectoryFollower::on(const FollowerEvents::CallFailed &, absl::Time now)
{
    if (!m_lostSince) {
        m_lostSince = now;
        m_out.emplace_back(FollowerActions::StoreLost{});
    }
    // Half of the pause is drawn, so that routers do not come back together.
    const auto pause = m_pause * (1 + m_random.fraction()) / 2;
    m_pause = std::min(m_pause * 2, m_hasView ? longestPause : longestPauseWithoutView);
    m_callAt = now + pause;
    setTimer();
}

void DirectoryFollower::on(const FollowerEvents::Relayed &event, absl::Time now)
{
    if (event.revision < m_changeRevision)
        return;
    for (const auto &it : event.objects) {
        if (it.isRemoved && m_objects.contains(it.name))
            forget(it.name);
        else if (!it.isRemoved)
            apply(it, now);
    }
    if (event.isComplete) {
        // The other router believed the removals already.
        for (const auto &it : missingIn(event.objects, event.revision))
            forget(it);
        m_hasView = true;
    }
    m_revision = std::max(m_revision, event.revision);
    m_changeRevision = event.revision;
}

void DirectoryFollower::on(const FollowerEvents::Tick &, absl::Time now)
{
    for (auto it = m_doubtful.begin(); it != m_doubtful.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        m_objects.erase(it->first);
        m_out.emplace_back(FollowerActions::Remove{it->first});
        it = m_doubtful.erase(it);
    }
    if (m_callAt && now >= *m_callAt) {
        m_callAt.reset();
        callAgain();
    }
    setTimer();
}

void DirectoryFollower::apply(const ObjectStamp &stamp, absl::Time now)
{
    if (stamp.isRemoved) {
        remove(stamp.name, stamp.revision, now);
        return;
    }
    m_doubtful.erase(stamp.name);
    auto &known = m_objects[stamp.name];
    if (known.value() != 0 && known >= stamp.revision)
        return;
    known = stamp.revision;
    m_out.emplace_back(FollowerActions::Apply{stamp.name, stamp.revision});
}

std::vector<std::string> DirectoryFollower::missingIn(const std::vector<ObjectStamp> &present,
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

void DirectoryFollower::remove(const std::string &name, ObjectVersion revision, absl::Time now)
{
    const auto it = m_objects.find(name);
    if (it == m_objects.end() || it->second > revision)
        return;
    if (now < m_believeRemovalsFrom) {
        m_doubtful.try_emplace(name, m_believeRemovalsFrom);
        setTimer();
        return;
    }
    forget(name);
}

void DirectoryFollower::forget(const std::string &name)
{
    m_objects.erase(name);
    m_doubtful.erase(name);
    m_out.emplace_back(FollowerActions::Remove{name});
}

void DirectoryFollower::storeAnswered(absl::Time now)
{
    m_pause = firstPause;
    if (!m_lostSince)
        return;
    m_out.emplace_back(FollowerActions::StoreRegained{now - *m_lostSince});
    m_lostSince.reset();
    if (m_hasView && !m_othersTrusted)
        m_believeRemovalsFrom = now + lapseGrace;
}

void DirectoryFollower::callAgain()
{
    if (m_needsList)
        m_out.emplace_back(FollowerActions::CallList{});
    else
        m_out.emplace_back(FollowerActions::CallWatch{m_revision});
}

void DirectoryFollower::setTimer()
{
    auto at = m_callAt.value_or(absl::InfiniteFuture());
    for (const auto &[name, until] : m_doubtful)
        at = std::min(at, until);
    if (at < absl::InfiniteFuture())
        m_out.emplace_back(FollowerActions::SetTimer{at});
}

} // namespace Wisteria
