// Weighted rendezvous hashing on the generation id.

#include <LibRouting/SpreadTargetSelection.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Wisteria {

namespace detail {

// Weight multiplier for a target that probably has the prompt prefix cached.
constexpr double cachedPrefixSpreadWeight = 2;
// Keeps weights positive, so that full engines remain ordered by their hash.
constexpr double minFreeSlotShare = 0.01;

// Returns a deterministic value in (0, 1) for each pair of generation and target.
double spreadUniform(const GenerationId &generation, const TargetId &target)
{
    const std::uint64_t seed = XXH3_64bits(generation.value().data(), generation.value().size());
    const std::uint64_t hash = XXH3_64bits_withSeed(target.value().data(), target.value().size(), seed);
    constexpr int mantissaBits = 53;
    return (static_cast<double>(hash >> (64 - mantissaBits)) + 0.5) / std::exp2(mantissaBits);
}

double spreadScore(const TargetCandidate &candidate, const GenerationId &generation)
{
    const double free = std::max(1 - candidate.utilisation(), minFreeSlotShare);
    const double weight = free * free * (candidate.hasCachedPrefix ? cachedPrefixSpreadWeight : 1);
    return -weight / std::log(spreadUniform(generation, candidate.id));
}

} // namespace detail

std::size_t selectSpreadTarget(std::span<const TargetCandidate> candidates, const GenerationId &generation,
                               const std::optional<FailureDomain> &lostDomain)
{
    auto isOutside = [&](const TargetCandidate &it) { return !lostDomain || it.domain != *lostDomain; };
    auto isBetter = [&](const TargetCandidate &a, const TargetCandidate &b) {
        if (isOutside(a) != isOutside(b))
            return isOutside(b);
        return detail::spreadScore(a, generation) < detail::spreadScore(b, generation);
    };
    auto best = std::ranges::max_element(candidates, isBetter);
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace Wisteria
