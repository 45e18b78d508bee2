// A bounded ring that joins the threads of a process. A full ring is back pressure with a typed error.

#pragma once

#include <LibCore/Error.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace Wisteria {

// Many producers and many consumers. Closing wakes every waiter; what was pushed before can still be taken.
template <typename T>
class Ring
{
public:
    explicit Ring(std::size_t capacity) : m_capacity(capacity) { }

    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    // Fails with ErrorCode::RingFull at once when there is no room, and with ErrorCode::Draining after
    // close().
    [[nodiscard]] ErrorOr<void> tryPush(T item)
    {
        absl::MutexLock lock(&m_mutex);
        if (m_closed)
            return makeError(ErrorCode::Draining);
        if (m_items.size() >= m_capacity)
            return makeError(ErrorCode::RingFull);
        m_items.push_back(std::move(item));
        return {};
    }

    // Waits for room. Returns false when the ring was closed in the meantime.
    [[nodiscard]] bool push(T item)
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(this, &Ring::hasRoomOrIsClosed));
        if (m_closed)
            return false;
        m_items.push_back(std::move(item));
        return true;
    }

    // Waits up to the timeout. Empty when nothing came or the ring is closed and drained.
    [[nodiscard]] std::optional<T> pop(absl::Duration timeout)
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(this, &Ring::hasItemOrIsClosed), timeout);
        if (m_items.empty())
            return std::nullopt;
        T item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

    void close()
    {
        absl::MutexLock lock(&m_mutex);
        m_closed = true;
    }

    [[nodiscard]] bool isClosed() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_closed;
    }

    [[nodiscard]] std::size_t size() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_items.size();
    }

private:
    [[nodiscard]] bool hasRoomOrIsClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_closed || m_items.size() < m_capacity;
    }
    [[nodiscard]] bool hasItemOrIsClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_closed || !m_items.empty();
    }

    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    // Invariant: never longer than m_capacity.
    std::deque<T> m_items ABSL_GUARDED_BY(m_mutex);
    bool m_closed ABSL_GUARDED_BY(m_mutex){false};
};

} // namespace Wisteria
