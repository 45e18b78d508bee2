// Splits a Server-Sent Events stream at blank lines. Lines end with LF or CR LF.

#include <LibForwarding/EventSplitter.h>

#include <LibCore/Views.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

std::optional<EventNumber> parseEventNumber(std::string_view event)
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

// Returns the position after the blank line that ends the first event, or npos if there is none.
std::size_t findEventEnd(std::string_view buf, std::size_t from)
{
    for (auto pos = buf.find('\n', from); pos != std::string_view::npos; pos = buf.find('\n', pos + 1)) {
        if (pos + 1 < buf.size() && buf[pos + 1] == '\n')
            return pos + 2;
        if (pos + 2 < buf.size() && buf[pos + 1] == '\r' && buf[pos + 2] == '\n')
            return pos + 3;
    }
    return std::string_view::npos;
}

} // namespace detail

std::optional<std::vector<RawEvent>> EventSplitter::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<RawEvent> out;
    for (;;) {
        const auto end = detail::findEventEnd(m_buffer, m_scanOffset);
        if (end == std::string::npos)
            break;
        RawEvent event;
        event.bytes = m_buffer.substr(0, end);
        event.number = detail::parseEventNumber(event.bytes);
        out.push_back(std::move(event));
        m_buffer.erase(0, end);
        m_scanOffset = 0;
    }
    if (m_buffer.size() > maxEventBytes)
        return std::nullopt;
    // The blank line may have been split between two reads, with up to three bytes in the first one.
    m_scanOffset = m_buffer.size() > 3 ? m_buffer.size() - 3 : 0;
    return out;
}

} // namespace Wisteria
