// The placer's decision thread and the calls that carry out its decisions.

#pragma once

#include <LibConfig/Settings.h>
#include <LibCore/Ring.h>
#include <LibPlacement/Placer.h>
#include <LibPlatform/ElasticPool.h>
#include <LibPlatform/ObjectStore.h>

#include <functional>
#include <memory>
#include <thread>

namespace Wisteria {

class PlacerProcess
{
public:
    // Starts all threads. Errors: InvalidSettings.
    [[nodiscard]] static ErrorOr<std::unique_ptr<PlacerProcess>> create(const PlacerSettings &settings);
    ~PlacerProcess();

    PlacerProcess(const PlacerProcess &) = delete;
    PlacerProcess &operator=(const PlacerProcess &) = delete;

private:
    explicit PlacerProcess(const PlacerSettings &settings);

    void run();
    void watchConfiguration();
    void carryOut(const PlacerAction &action);
    void readLease();
    void writeLease(const WriteLease &action);
    void readEngineState(const ReadEngineState &action);
    void sendOrder(const SendOrder &action);
    [[nodiscard]] bool mayOrderNow();
    [[nodiscard]] std::optional<std::string> addressOf(const TargetId &target) const;

    std::unique_ptr<ObjectStore> m_store;
    std::unique_ptr<Placer> m_placer ABSL_PT_GUARDED_BY(m_placerMutex);
    Ring<PlacerEvent> m_ring;
    // The decision thread's copy; the pool's threads get addresses by value.
    FleetConfiguration m_configuration;
    // Never held while waiting for room on the ring.
    absl::Mutex m_placerMutex;
    ElasticPool m_pool;
    std::thread m_watchThread;
    std::thread m_thread;
};

} // namespace Wisteria
