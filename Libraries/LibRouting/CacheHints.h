// Tracks which prompt prefixes an engine's prefix cache probably holds, from the engine's reports and from
// the requests that this router sent to it. Reports arrive late and with gaps, so the hints only influence
// the choice of target and never correctness.

#pragma once

#include <LibRouting/Events.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>

namespace Wisteria {

class CacheHints
{
public:
    // Maximum number of prefixes per engine. Keeps memory below 30 MB with 600 engines.
    static constexpr std::size_t maxEntries = 512;

    void noteStored(PromptPrefixHash);
    void noteEvicted(PromptPrefixHash);
    void clear();
    [[nodiscard]] bool holds(PromptPrefixHash prefixHash) const { return m_positions.contains(prefixHash); }

private:
    // Least recently used first. Invariant: contains exactly the keys of m_positions, at most maxEntries.
    std::list<PromptPrefixHash> m_lruOrder;
    absl::flat_hash_map<PromptPrefixHash, std::list<PromptPrefixHash>::iterator> m_positions;
};

} // namespace Wisteria
