// A bounded set of prompt heads with replacement of the least recently used.

#include <LibRouting/CacheHints.h>

namespace Wisteria {

void CacheHints::noteStored(PromptHead head)
{
    noteEvicted(head);
    if (m_heads.size() >= maxHeads) {
        m_places.erase(m_heads.front());
        m_heads.pop_front();
    }
    m_places[head] = m_heads.insert(m_heads.end(), head);
}

void CacheHints::noteEvicted(PromptHead head)
{
    auto it = m_places.find(head);
    if (it == m_places.end())
        return;
    m_heads.erase(it->second);
    m_places.erase(it);
}

void CacheHints::clear()
{
    m_heads.clear();
    m_places.clear();
}

} // namespace Wisteria
