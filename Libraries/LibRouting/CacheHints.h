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
    static constexpr std::size_t maxHeads = 512;

    void noteStored(PromptHead);
    void noteEvicted(PromptHead);
    void clear();
    [[nodiscard]] bool holds(PromptHead head) const { return m_places.contains(head); }

private:
    // Least recently used first. Invariant: has the keys of m_places, at most maxHeads.
    std::list<PromptHead> m_heads;
    absl::flat_hash_map<PromptHead, std::list<PromptHead>::iterator> m_places;
};

} // namespace Wisteria
