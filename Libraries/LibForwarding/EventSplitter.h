// Splits a stream of Server-Sent Events into complete events and keeps their bytes unchanged.

#pragma once

#include <LibForwarding/Request.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

struct RawEvent
{
    // Unset if the event has no numeric id.
    std::optional<EventNumber> number;
    // The raw event, including the terminating blank line.
    std::string bytes;
};

class EventSplitter
{
public:
    // Maximum size of one event. A stream with a larger event is treated as corrupt. The limit is twenty
    // times the longest event that targets send.
    static constexpr std::size_t maxEventBytes = std::size_t{64} * 1024;

    // Appends bytes and returns the events they complete. Returns an empty optional if an event exceeds
    // `maxEventBytes`.
    [[nodiscard]] std::optional<std::vector<RawEvent>> feed(std::string_view bytes);
    // Returns true if bytes of an incomplete event are buffered.
    [[nodiscard]] bool hasPartialEvent() const { return !m_buffer.empty(); }

private:
    std::string m_buffer;
    // Invariant: no event ends before this offset of the buffer.
    std::size_t m_scanOffset{0};
};

} // namespace Wisteria
