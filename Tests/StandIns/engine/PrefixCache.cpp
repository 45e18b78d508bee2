// Least recently used heads, each with the longest text seen under it.

#include <StandIns/engine/PrefixCache.h>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace Wisteria::StandIns {

namespace detail {

constexpr std::size_t headBytes = 256;

std::string headOf(std::string_view text)
{
    auto head = text.substr(0, headBytes);
    return absl::StrCat(absl::Hex(XXH64(head.data(), head.size(), 0), absl::kZeroPad16));
}

} // namespace detail

PrefixCache::PrefixCache(std::size_t maxHeads, absl::Duration eventDelay, std::uint64_t loseEvery)
    : m_maxHeads(maxHeads), m_eventDelay(eventDelay), m_loseEvery(loseEvery)
{
}

std::size_t PrefixCache::cachedTokens(std::string_view text) const
{
    auto head = detail::headOf(text);
    auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &e) { return e.head == head; });
    if (it == m_entries.end())
        return 0;
    auto end = std::mismatch(text.begin(), text.end(), it->text.begin(), it->text.end()).first;
    return static_cast<std::size_t>(end - text.begin()) / bytesPerToken;
}

void PrefixCache::store(std::string_view text, absl::Time now)
{
    auto head = detail::headOf(text);
    auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &e) { return e.head == head; });
    if (it != m_entries.end()) {
        if (!std::string_view(it->text).starts_with(text))
            it->text = text;
        m_entries.splice(m_entries.begin(), m_entries, it);
        return;
    }
    m_entries.push_front({head, std::string(text)});
    std::string evicted;
    if (m_entries.size() > m_maxHeads) {
        evicted = m_entries.back().head;
        m_entries.pop_back();
    }
    ++m_lastSequence;
    if (m_loseEvery != 0 && m_lastSequence % m_loseEvery == 0)
        return;
    m_events.push_back({m_lastSequence, now + m_eventDelay, head, evicted});
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

} // namespace Wisteria::StandIns
