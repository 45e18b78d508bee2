// Reading and writing of Server-Sent Events.

#include <LibCore/EventStream.h>

#include <utility>

namespace Wisteria {

std::optional<std::vector<StreamEvent>> EventStreamReader::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    for (char c : bytes) {
        // A line ends in LF, CR or CRLF; the LF after a CR belongs to the same end.
        bool isSecondHalf = c == '\n' && m_lastWasReturn;
        m_lastWasReturn = c == '\r';
        if (isSecondHalf)
            continue;
        if (c == '\n' || c == '\r') {
            takeLine(m_line, events);
            m_line.clear();
            continue;
        }
        m_line.push_back(c);
        if (m_line.size() + m_event.data.size() > maxEventBytes)
            return std::nullopt;
    }
    return events;
}

void EventStreamReader::takeLine(std::string_view line, std::vector<StreamEvent> &out)
{
    if (line.empty()) {
        if (m_hasData)
            out.push_back(m_event);
        // The id persists over events as in the standard; type and data do not.
        m_event.type.clear();
        m_event.data.clear();
        m_hasData = false;
        return;
    }
    auto colon = line.find(':');
    if (colon == 0)
        return;
    auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "data") {
        if (m_hasData)
            m_event.data.push_back('\n');
        m_event.data.append(value);
        m_hasData = true;
    } else if (field == "id") {
        m_event.id = value;
    } else if (field == "event") {
        m_event.type = value;
    }
}

std::string formatEvent(const StreamEvent &event)
{
    std::string buf;
    if (!event.id.empty())
        buf += "id: " + event.id + "\n";
    if (!event.type.empty())
        buf += "event: " + event.type + "\n";
    std::string_view rest = event.data;
    for (;;) {
        auto end = rest.find('\n');
        buf += "data: ";
        buf += rest.substr(0, end);
        buf += "\n";
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    buf += "\n";
    return buf;
}

} // namespace Wisteria
