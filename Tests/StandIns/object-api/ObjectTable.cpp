// Versioned objects under one lock.

#include <StandIns/object-api/ObjectTable.h>

#include <absl/time/clock.h>

namespace Wisteria::StandIns {

std::optional<ObjectRecord> ObjectTable::read(const std::string &key)
{
    absl::MutexLock lock(&m_mutex);
    ++m_stats.reads;
    auto it = m_objects.find(key);
    if (it == m_objects.end())
        return std::nullopt;
    return it->second;
}

WriteResult ObjectTable::write(const std::string &key, const std::string &body, std::uint64_t expected)
{
    absl::MutexLock lock(&m_mutex);
    ++m_stats.writes;
    auto reply = ReplyFate::Delivered;
    if (m_repliesToLose > 0) {
        --m_repliesToLose;
        reply = ReplyFate::Lost;
    }
    auto it = m_objects.find(key);
    auto current = it == m_objects.end() ? 0 : it->second.version;
    if (current != expected) {
        ++m_stats.conflicts;
        return {std::nullopt, reply};
    }
    m_objects[key] = {++m_lastVersion, body};
    m_changed.SignalAll();
    return {m_lastVersion, reply};
}

std::optional<ObjectRecord> ObjectTable::watch(const std::string &key, std::uint64_t after,
                                               absl::Duration timeout)
{
    auto deadline = absl::Now() + timeout;
    absl::MutexLock lock(&m_mutex);
    ++m_stats.watches;
    while (absl::Now() >= m_downUntil) {
        auto it = m_objects.find(key);
        if (it != m_objects.end() && it->second.version > after)
            return it->second;
        if (m_changed.WaitWithDeadline(&m_mutex, deadline))
            break;
    }
    return std::nullopt;
}

void ObjectTable::goDown(absl::Duration duration)
{
    absl::MutexLock lock(&m_mutex);
    m_downUntil = absl::Now() + duration;
    m_changed.SignalAll();
}

void ObjectTable::loseReplies(std::uint64_t count)
{
    absl::MutexLock lock(&m_mutex);
    m_repliesToLose = count;
}

void ObjectTable::setDelay(absl::Duration delay)
{
    absl::MutexLock lock(&m_mutex);
    m_delay = delay;
}

void ObjectTable::clearFaults()
{
    absl::MutexLock lock(&m_mutex);
    m_downUntil = absl::InfinitePast();
    m_repliesToLose = 0;
    m_delay = absl::ZeroDuration();
}

bool ObjectTable::isDown() const
{
    absl::MutexLock lock(&m_mutex);
    return absl::Now() < m_downUntil;
}

absl::Duration ObjectTable::delay() const
{
    absl::MutexLock lock(&m_mutex);
    return m_delay;
}

ObjectStats ObjectTable::stats() const
{
    absl::MutexLock lock(&m_mutex);
    return m_stats;
}

} // namespace Wisteria::StandIns
