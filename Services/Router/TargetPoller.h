// Asks engines for their load and cache events and finds out whether suspect targets answer again.

#pragma once

#include <LibCore/Address.h>
#include <LibPlatform/ElasticPool.h>
#include <LibPlatform/VmDirectory.h>
#include <Router/HostEvents.h>

#include <absl/synchronization/notification.h>

#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace Wisteria {

enum class PollKind { Engine, PlainService };

struct PolledTarget
{
    TargetId id;
    Address address;
    PollKind kind{PollKind::Engine};
};

class TargetPoller
{
public:
    // The sink must outlive the poller. The VM list is optional.
    TargetPoller(EventSink &sink, std::unique_ptr<VmDirectory> vms);
    ~TargetPoller();

    TargetPoller(const TargetPoller &) = delete;
    TargetPoller &operator=(const TargetPoller &) = delete;

    void replace(std::vector<PolledTarget> targets);

private:
    void run();
    void poll(const PolledTarget &target);
    void pollCache(const PolledTarget &target);
    void readVms();

    EventSink &m_sink;
    const std::unique_ptr<VmDirectory> m_vms;
    absl::Mutex m_mutex;
    std::vector<PolledTarget> m_targets ABSL_GUARDED_BY(m_mutex);
    // The next cache event of each engine.
    std::map<TargetId, std::uint64_t> m_cachePositions ABSL_GUARDED_BY(m_mutex);
    absl::Notification m_stop;
    ElasticPool m_pool;
    std::thread m_thread;
};

} // namespace Wisteria
