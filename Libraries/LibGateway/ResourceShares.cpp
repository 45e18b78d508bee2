// The shares and their reasons.

#include <LibGateway/ResourceShares.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Wisteria {

namespace detail {

constexpr double bytesPerMb = 1e6;
// Of the smallest machine, 88 MB, this leaves 55 MB: 6 MB for the process at rest, some tens of MB for a
// large directory and its copies while it is read, and the rest for what the allocator and the kernel's
// socket buffers add to the bytes in the account.
constexpr double accountShare = 0.375;
// One body of 4 MiB, the default limit, must always fit beside the reserve.
constexpr double minAccountBytes = 6.0 * 1024 * 1024;

constexpr std::uint32_t fileDescriptors = 200;
// Shares of the other descriptors, in thirty-seconds. Each open request of a caller needs a connection to a
// target, so that these two are equal. The other listeners have shares of their own, so that a crowd of
// callers doesn't keep out readiness checks, entry point queries or other routers. One is left for the store.
constexpr std::size_t shares = 32;
constexpr std::size_t callerShare = 11;
constexpr std::size_t targetShare = 11;
// All routers of a group may read a view at once.
constexpr std::size_t peerShare = 4;
constexpr std::size_t entryPointShare = 2;
constexpr std::size_t readinessShare = 2;
constexpr std::size_t metricsShare = 1;
constexpr std::size_t minConnections = 8;

constexpr std::pair<ListenerRole, std::size_t> listenerShares[] = {
    {ListenerRole::Callers, callerShare},
    {ListenerRole::Peers, peerShare},
    {ListenerRole::EntryPoints, entryPointShare},
    {ListenerRole::Readiness, readinessShare},
    {ListenerRole::Metrics, metricsShare}};

std::size_t shareOf(std::uint32_t descriptors, std::size_t share)
{
    // A process with few descriptors has few files.
    const auto files = std::min(fileDescriptors, descriptors / 2);
    return std::max(minConnections, (descriptors - files) * share / shares);
}

} // namespace detail

std::size_t memoryAccountCapacity(double limitMb)
{
    if (limitMb <= 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(
        std::max(limitMb * detail::bytesPerMb * detail::accountShare, detail::minAccountBytes));
}

std::size_t maxListenerConnections(std::uint32_t descriptors, const ListenerRoles &roles)
{
    if (descriptors == 0)
        return std::numeric_limits<std::size_t>::max();
    std::size_t share = 0;
    for (const auto &[role, n] : detail::listenerShares)
        share += roles.has(role) ? n : 0;
    return detail::shareOf(descriptors, share);
}

std::size_t maxKeptTargetConnections(std::uint32_t descriptors)
{
    return descriptors == 0 ? std::numeric_limits<std::size_t>::max()
                            : detail::shareOf(descriptors, detail::targetShare);
}

} // namespace Wisteria
