// An event ends with a blank line; lines end with LF or CR LF.

#include <LibForwarding/EventSplitter.h>

#include <LibCore/Views.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

std::optional<EventNumber> eventNumber(std::string_view event)
{
    for (absl::string_view line : absl::StrSplit(abslView(event), '\n')) {
        if (line.substr(0, 3) != "id:")
            continue;
        std::uint64_t n = 0;
        if (absl::SimpleAtoi(absl::StripAsciiWhitespace(line.substr(3)), &n))
            return EventNumber(n);
    }
    return std::nullopt;
}

// The position after the blank line that ends the first event; npos when there is none.
std::size_t endOfEvent(std::string_view buf, std::size_t from)
{
    for (auto at = buf.find('\n', from); at != std::string_view::npos; at = buf.find('\n', at + 1)) {
        if (at + 1 < buf.size() && buf[at + 1] == '\n')
            return at + 2;
        if (at + 2 < buf.size() && buf[at + 1] == '\r' && buf[at + 2] == '\n')
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace detail

std::optional<std::vector<RawEvent>> EventSplitter::feed(std::string_view bytes)
{
    m_buf.append(bytes);
    std::vector<RawEvent> out;
    for (;;) {
        const auto end = detail::endOfEvent(m_buf, m_scanned);
        if (end == std::string::npos)
            break;
        RawEvent event;
        event.bytes = m_buf.substr(0, end);
        event.number = detail::eventNumber(event.bytes);
        out.push_back(std::move(event));
        m_buf.erase(0, end);
        m_scanned = 0;
    }
    if (m_buf.size() > maxEventBytes)
        return std::nullopt;
    // A blank line may be split over two reads by up to three bytes.
    m_scanned = m_buf.size() > 3 ? m_buf.size() - 3 : 0;
    return out;
}

} // namespace Wisteria
