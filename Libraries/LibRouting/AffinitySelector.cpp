// Weighted rendezvous hashing, adjusted for load and cache hints.

#include <LibRouting/AffinitySelector.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Wisteria {

const TargetSelectorRegistration<AffinitySelector> AffinitySelector::registration{"affinity"};

namespace detail {

// Weight multiplier for a target that probably has the prompt prefix cached.
constexpr double cachedPrefixWeight = 8;
// Keeps weights positive, so that full engines remain ordered by their hash.
constexpr double minFreeShare = 0.01;

// Returns a deterministic value in (0, 1) for each pair of prefix and target.
double rendezvousUniform(PromptPrefixHash prefixHash, const TargetId &target)
{
    const std::string &name = target.value();
    const std::uint64_t hash = XXH3_64bits_withSeed(name.data(), name.size(), prefixHash.value());
    constexpr int mantissaBits = 53;
    return (static_cast<double>(hash >> (64 - mantissaBits)) + 0.5) / std::exp2(mantissaBits);
}

double rendezvousScore(const TargetCandidate &candidate, PromptPrefixHash prefixHash)
{
    const double free = std::max(1 - candidate.utilisation(), minFreeShare);
    const double weight = free * free * (candidate.hasCachedPrefix ? cachedPrefixWeight : 1);
    return -weight / std::log(rendezvousUniform(prefixHash, candidate.id));
}

} // namespace detail

std::size_t AffinitySelector::select(std::span<const TargetCandidate> candidates, PromptPrefixHash prefixHash)
{
    auto score = [&](const TargetCandidate &it) { return detail::rendezvousScore(it, prefixHash); };
    auto best = std::ranges::max_element(candidates, {}, score);
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace Wisteria
