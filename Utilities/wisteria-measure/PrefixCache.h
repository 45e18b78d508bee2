// An engine's prefix cache: least recently used prefixes are evicted when its room for tokens is used up.

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

namespace Wisteria::Measure {

class PrefixCache
{
public:
    explicit PrefixCache(std::uint64_t capacityTokens) : m_capacity(capacityTokens) { }

    // Cached tokens of the prefix; zero when it is not held.
    [[nodiscard]] std::uint32_t lookup(std::uint64_t key)
    {
        auto it = m_index.find(key);
        if (it == m_index.end())
            return 0;
        m_entries.splice(m_entries.begin(), m_entries, it->second);
        return it->second->tokens;
    }

    // Returns the evicted keys.
    std::vector<std::uint64_t> store(std::uint64_t key, std::uint32_t tokens)
    {
        erase(key);
        m_entries.push_front(Entry{key, tokens});
        m_index[key] = m_entries.begin();
        m_used += tokens;
        std::vector<std::uint64_t> evicted;
        while (m_used > m_capacity && m_entries.size() > 1) {
            evicted.push_back(m_entries.back().key);
            erase(m_entries.back().key);
        }
        return evicted;
    }

    void clear()
    {
        m_entries.clear();
        m_index.clear();
        m_used = 0;
    }

private:
    struct Entry
    {
        std::uint64_t key;
        std::uint32_t tokens;
    };

    void erase(std::uint64_t key)
    {
        auto it = m_index.find(key);
        if (it == m_index.end())
            return;
        m_used -= it->second->tokens;
        m_entries.erase(it->second);
        m_index.erase(it);
    }

    std::uint64_t m_capacity;
    // Invariant: the sum of the entries' tokens.
    std::uint64_t m_used{0};
    // The most recently used entry first.
    std::list<Entry> m_entries;
    std::map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace Wisteria::Measure
