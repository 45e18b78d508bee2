// Which prompt heads an engine's prefix cache probably holds: its own reports, and what this router sent
// since. Reports come late and with gaps, so this only steers the choice of targets and never decides
// correctness.

#pragma once

#include <LibRouting/Events.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>

namespace Wisteria {

class CacheHints
{
public:
    // Heads remembered for one engine. With 600 engines this stays below 30 MB.
    static constexpr std::size_t maxEntries = 512;

    void noteStored(PromptPrefixHash);
    void noteEvicted(PromptPrefixHash);
    void clear();
    [[nodiscard]] bool holds(PromptPrefixHash prefixHash) const { return m_positions.contains(prefixHash); }

private:
    // Least recently used first. Invariant: has the keys of m_positions, at most maxEntries.
    std::list<PromptPrefixHash> m_lruOrder;
    absl::flat_hash_map<PromptPrefixHash, std::list<PromptPrefixHash>::iterator> m_positions;
};

} // namespace Wisteria
