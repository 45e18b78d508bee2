// Threads are added one at a time as work finds none idle, and kept until the end.

#include <LibPlatform/ElasticPool.h>

#include <pthread.h>

#include <utility>

namespace Wisteria {

namespace detail {

constexpr std::size_t maxThreadName = 15;

} // namespace detail

ElasticPool::ElasticPool(std::string name, std::size_t maxThreads)
    : m_name(std::move(name)), m_maxThreads(maxThreads)
{
}

ElasticPool::~ElasticPool()
{
    shutdown();
}

void ElasticPool::post(std::function<void()> work)
{
    absl::MutexLock lock(&m_mutex);
    if (m_closed)
        return;
    m_queue.push_back(std::move(work));
    if (m_queue.size() <= m_idle || m_threads.size() >= m_maxThreads)
        return;
    m_threads.emplace_back([this] { this->work(); });
    pthread_setname_np(m_threads.back().native_handle(), m_name.substr(0, detail::maxThreadName).c_str());
}

void ElasticPool::shutdown()
{
    std::vector<std::thread> threads;
    {
        absl::MutexLock lock(&m_mutex);
        m_closed = true;
        threads.swap(m_threads);
    }
    for (auto &it : threads)
        it.join();
}

void ElasticPool::work()
{
    for (;;) {
        std::function<void()> work;
        {
            absl::MutexLock lock(&m_mutex);
            ++m_idle;
            m_mutex.Await(absl::Condition(this, &ElasticPool::hasWorkOrIsClosed));
            --m_idle;
            if (m_queue.empty())
                return;
            work = std::move(m_queue.front());
            m_queue.pop_front();
        }
        work();
    }
}

std::size_t ElasticPool::threads() const
{
    absl::MutexLock lock(&m_mutex);
    return m_threads.size();
}

std::size_t ElasticPool::waiting() const
{
    absl::MutexLock lock(&m_mutex);
    return m_queue.size();
}

} // namespace Wisteria
