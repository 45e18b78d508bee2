// Server-Sent Events as in the WHATWG HTML standard, section 9.2: the form in which engines and callers
// stream. No packaged library reads this form, hence these few lines.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

struct StreamEvent
{
    std::string id;
    std::string type;
    std::string data;

    bool operator==(const StreamEvent &) const = default;
};

// Cuts a byte stream into events. An event that the stream's end cuts short is never returned.
class EventStreamReader
{
public:
    // An event above this size makes the reader fail: the peer is broken or hostile.
    static constexpr std::size_t maxEventBytes = std::size_t{1024} * 1024;

    // Takes the next bytes and returns the events that they complete. Empty optional after an oversized
    // event.
    [[nodiscard]] std::optional<std::vector<StreamEvent>> feed(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<StreamEvent> &out);

    std::string m_line;
    StreamEvent m_event;
    bool m_hasData{false};
    bool m_lastWasReturn{false};
};

// Writes one event, its blank line included.
[[nodiscard]] std::string formatEvent(const StreamEvent &event);

} // namespace Wisteria
