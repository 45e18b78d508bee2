// Cuts a stream of Server-Sent Events into whole events without changing their bytes.

#pragma once

#include <LibForwarding/Request.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

struct RawEvent
{
    // Unset for an event without a readable id.
    std::optional<EventNumber> number;
    // The event with its blank line.
    std::string bytes;
};

class EventSplitter
{
public:
    // An event above this size is taken for a broken stream. Source: twenty times the longest of the users'
    // sheets.
    static constexpr std::size_t maxEventBytes = std::size_t{64} * 1024;

    // Takes the next bytes and returns the events that they complete. Empty optional after an oversized
    // event.
    [[nodiscard]] std::optional<std::vector<RawEvent>> feed(std::string_view bytes);
    // Bytes of an event that is not whole yet.
    [[nodiscard]] bool hasPartialEvent() const { return !m_buffer.empty(); }

private:
    std::string m_buffer;
    // Invariant: no event ends before this position of the buffer.
    std::size_t m_scanOffset{0};
};

} // namespace Wisteria
