// Finds out whether targets have ended whose addresses other entries of the directory name.
//
// Such an entry may be another writer's, so that it ends no run by itself: what answers at the address
// decides.

#include <LibGateway/Gateway.h>

#include <LibPlatform/MonotonicClock.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// A full target rejects a status check, too.
constexpr int maxIdentityChecks = 5;
constexpr std::chrono::milliseconds identityCheckInterval{100};
constexpr absl::Duration identityCheckTimeout = absl::Seconds(1);

std::string_view identityName(TargetIdentity identity)
{
    switch (identity) {
    case TargetIdentity::Same:
        return "same";
    case TargetIdentity::Other:
        return "other";
    case TargetIdentity::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace detail

void Gateway::checkReplaced(const TargetProcess &process, int number)
{
    const auto *record = m_targets.find(process.id);
    const auto *service = record && m_routes ? m_routes->findService(record->service) : nullptr;
    const bool hasRuns = std::any_of(m_sessions.begin(), m_sessions.end(),
                                     [&](const auto &it) { return it->isRunningAt(process); });
    const bool mayAsk = service && !service->statusPath.empty() && !m_targets.limitOf(process.id)
        && !m_targets.isBackingOff(process.id, monotonicNow());
    if (!hasRuns || !mayAsk)
        return;
    const auto check = m_gatewayContext.dialect.makeStatusCheck(service->statusPath);
    m_connections.sendControlRequest(*record, check, detail::identityCheckTimeout,
                                     [this, lifetime = std::weak_ptr(m_gatewayContext.notices), process,
                                      number](const HttpCallResult &result) {
                                         if (lifetime.expired())
                                             return;
                                         const auto identity = result
                                             ? m_gatewayContext.dialect.parseStatusResponse(*result, process)
                                             : TargetIdentity::Unknown;
                                         replacedChecked(process, identity, number);
                                     });
}

void Gateway::replacedChecked(const TargetProcess &process, TargetIdentity identity, int number)
{
    m_log.write(
        "target_replaced",
        {{"target", process.id.value()}, {"identity", detail::identityName(identity)}, {"checks", number}},
        monotonicNow());
    if (identity == TargetIdentity::Other) {
        targetFailed(process, TargetFault::Gone);
        return;
    }
    if (identity == TargetIdentity::Same) {
        m_targets.recordAnsweredBy(process.id, process.address);
        return;
    }
    // Runs whose target has ended turn silent, which is noticed as well.
    if (number >= detail::maxIdentityChecks)
        return;
    auto timer =
        std::make_shared<boost::asio::steady_timer>(m_gatewayContext.context, detail::identityCheckInterval);
    timer->async_wait(
        [this, timer, lifetime = std::weak_ptr(m_gatewayContext.notices), process, number](const auto &ec) {
            if (!ec && !lifetime.expired())
                checkReplaced(process, number + 1);
        });
}

} // namespace Wisteria
