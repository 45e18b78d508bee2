// Divides the targets of each failure domain by their rank.

#include <LibForwarding/TargetSlices.h>

#include <LibForwarding/StableHash.h>

#include <absl/container/btree_map.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Wisteria {

absl::flat_hash_set<TargetId> TargetSlices::select(std::size_t groupIndex, std::size_t groupCount,
                                                   const std::vector<Target> &targets)
{
    absl::flat_hash_set<TargetId> out;
    const auto sliceCount = std::min(groupCount, targets.size() / minTargetsPerSlice);
    if (sliceCount < 2)
        return out;
    using RankedTarget = std::pair<std::uint64_t, const TargetId *>;
    absl::btree_map<FailureDomain, std::vector<RankedTarget>> byDomain;
    for (const auto &it : targets)
        byDomain[it.domain].emplace_back(stableHash(it.id.value()), &it.id);
    for (auto &[domain, ranked] : byDomain) {
        std::sort(ranked.begin(), ranked.end(), [](const RankedTarget &a, const RankedTarget &b) {
            return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
        });
        // Ranks rather than hashes are divided, so that the slices of a domain differ by one target at most.
        for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
            if (rank * sliceCount / ranked.size() == groupIndex % sliceCount)
                out.insert(*ranked[rank].second);
        }
    }
    return out;
}

} // namespace Wisteria
