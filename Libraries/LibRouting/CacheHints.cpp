// A bounded set of prompt prefixes with LRU eviction.

#include <LibRouting/CacheHints.h>

namespace Wisteria {

void CacheHints::noteStored(PromptPrefixHash prefixHash)
{
    noteEvicted(prefixHash);
    if (m_lruOrder.size() >= maxEntries) {
        m_positions.erase(m_lruOrder.front());
        m_lruOrder.pop_front();
    }
    m_positions[prefixHash] = m_lruOrder.insert(m_lruOrder.end(), prefixHash);
}

void CacheHints::noteEvicted(PromptPrefixHash prefixHash)
{
    auto it = m_positions.find(prefixHash);
    if (it == m_positions.end())
        return;
    m_lruOrder.erase(it->second);
    m_positions.erase(it);
}

void CacheHints::clear()
{
    m_lruOrder.clear();
    m_positions.clear();
}

} // namespace Wisteria
