// Sorting by progress and size.

#include <LibNet/MemoryPressure.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace Wisteria {

namespace detail {

std::optional<ShedReason> shedReason(const MemoryHolding &holding, absl::Time now)
{
    if (holding.bytes < MemoryPressure::minShedBytes)
        return std::nullopt;
    const bool isStalled = now - holding.progressAt >= MemoryPressure::stallTime;
    if (holding.use == MemoryUse::IncompleteRequest)
        return isStalled ? ShedReason::StalledRequest : ShedReason::LargeRequest;
    if (holding.use == MemoryUse::PendingAnswer && isStalled)
        return ShedReason::UnreadAnswer;
    return std::nullopt;
}

} // namespace detail

std::vector<ShedChoice> MemoryPressure::choose(const std::vector<MemoryHolding> &holdings,
                                               std::size_t bytesToFree, absl::Time now)
{
    std::vector<ShedChoice> candidates;
    for (std::size_t n = 0; n < holdings.size(); ++n) {
        if (const auto reason = detail::shedReason(holdings[n], now))
            candidates.push_back({n, *reason});
    }
    std::sort(candidates.begin(), candidates.end(), [&](const ShedChoice &a, const ShedChoice &b) {
        const auto rank = [&](const ShedChoice &it) {
            return std::tuple(it.reason != ShedReason::LargeRequest, holdings[it.holding].bytes);
        };
        return rank(a) > rank(b);
    });
    std::size_t freedBytes = 0;
    const auto end = std::find_if(candidates.begin(), candidates.end(), [&](const ShedChoice &it) {
        if (freedBytes >= bytesToFree)
            return true;
        freedBytes += holdings[it.holding].bytes;
        return false;
    });
    candidates.erase(end, candidates.end());
    return candidates;
}

} // namespace Wisteria
