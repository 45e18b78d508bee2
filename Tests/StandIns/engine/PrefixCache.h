// A bounded cache of prompt prefixes, kept by the prompt's head, and the events that tell of it.

#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>

namespace Wisteria::StandIns {

// Bytes that count as one token of a prompt.
constexpr std::size_t bytesPerToken = 4;

struct CacheEvent
{
    std::uint64_t sequence{0};
    absl::Time visibleAt;
    std::string stored;
    // Empty when nothing was evicted.
    std::string evicted;
};

class PrefixCache
{
public:
    // Events show `eventDelay` late; every `loseEvery`-th one never shows (zero: none is lost).
    PrefixCache(std::size_t maxHeads, absl::Duration eventDelay, std::uint64_t loseEvery);

    // Tokens of the text that are cached.
    [[nodiscard]] std::size_t cachedTokens(std::string_view text) const;
    // Keeps the text under its head, in front of the others.
    void store(std::string_view text, absl::Time now);

    [[nodiscard]] const std::deque<CacheEvent> &events() const { return m_events; }

private:
    struct Entry
    {
        std::string head;
        std::string text;
    };

    static constexpr std::size_t maxEvents = 4096;

    const std::size_t m_maxHeads;
    const absl::Duration m_eventDelay;
    const std::uint64_t m_loseEvery;
    // Invariant: at most m_maxHeads entries, the last used first.
    std::list<Entry> m_entries;
    // Invariant: at most maxEvents; older ones are gone, which readers see as a gap.
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSequence{0};
};

} // namespace Wisteria::StandIns
