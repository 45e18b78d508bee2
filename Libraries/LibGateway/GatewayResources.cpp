// Bounds on the memory and the descriptors of a gateway.

#include <LibGateway/Gateway.h>
#include <LibGateway/ResourceShares.h>
#include <LibNet/HttpClient.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

#include <malloc.h>

namespace Wisteria {

namespace detail {

// Larger blocks go back to the system when they are freed. By default, the allocator raises this threshold to
// the size of blocks that were freed, and the heap then keeps the memory of bodies.
constexpr int mappedBlockBytes = 128 * 1024;

} // namespace detail

void Gateway::applyResourceLimits()
{
    if (m_settings.memoryLimitMb > 0) {
        mallopt(M_MMAP_THRESHOLD, detail::mappedBlockBytes);
        // Freed small blocks, such as parsed fields, are joined at once.
        mallopt(M_MXFAST, 0);
    }
    MemoryAccount::ofThread().setCapacity(memoryAccountCapacity(m_settings.memoryLimitMb));
    HttpClientConnection::setMaxKept(maxKeptTargetConnections(m_settings.descriptors));
    const auto plans = planListeners(m_settings);
    for (std::size_t n = 0; n < m_servers.size(); ++n)
        m_servers[n]->setMaxConnections(maxListenerConnections(m_settings.descriptors, plans[n].roles));
}

void Gateway::connectionShed(ShedReason reason)
{
    const auto name = shedReasonName(reason);
    const auto &account = MemoryAccount::ofThread();
    m_metrics.increment("connections_shed_total", absl::StrCat("reason=\"", std::string(name), "\""));
    m_log.write("connection_shed",
                {{"reason", name},
                 {"account_bytes", account.used()},
                 {"account_limit_bytes", account.capacity()},
                 {"open_connections", connectionCount()}},
                monotonicNow());
}

void Gateway::updateResourceMetrics()
{
    const auto &account = MemoryAccount::ofThread();
    m_metrics.setGauge("memory_account_bytes", static_cast<double>(account.used()));
    m_metrics.setGauge("memory_account_peak_bytes", static_cast<double>(account.peak()));
    m_metrics.setGauge("connections_open", static_cast<double>(connectionCount()));
    m_metrics.setGauge("target_connections_open", static_cast<double>(HttpClientConnection::openCount()));
}

} // namespace Wisteria
