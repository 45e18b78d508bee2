// A pool that adds threads as work waits, up to a limit. Streams hold a thread for minutes, so a fixed pool
// would either waste memory on a quiet day or let one long stream hold up an urgent lookup.

#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Wisteria {

class ElasticPool
{
public:
    // The name shows in the process's list of threads; at most 15 characters of it.
    ElasticPool(std::string name, std::size_t maxThreads);
    // Runs what is queued, then joins.
    ~ElasticPool();

    ElasticPool(const ElasticPool &) = delete;
    ElasticPool &operator=(const ElasticPool &) = delete;

    // Never blocks. Work beyond the limit of threads waits in order.
    void post(std::function<void()> work);
    // Takes no more work; runs what is queued, then joins. Work posted afterwards is dropped.
    void shutdown();

    [[nodiscard]] std::size_t threads() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    void work();
    [[nodiscard]] bool hasWorkOrIsClosed() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_closed || !m_queue.empty();
    }

    const std::string m_name;
    const std::size_t m_maxThreads;
    mutable absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_queue ABSL_GUARDED_BY(m_mutex);
    // Invariant: never longer than m_maxThreads.
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    std::size_t m_idle ABSL_GUARDED_BY(m_mutex){0};
    bool m_closed ABSL_GUARDED_BY(m_mutex){false};
};

} // namespace Wisteria
