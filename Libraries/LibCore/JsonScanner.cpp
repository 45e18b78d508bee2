// Scans for the ends of values (RFC 8259).

#include <LibCore/JsonScanner.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

constexpr std::string_view whitespace = " \t\n\r";

class JsonScanner
{
public:
    explicit JsonScanner(std::string_view text) : m_text(text) { }

    // Skips whitespace, then the character. Returns whether it was there.
    bool take(char c)
    {
        skipWhitespace();
        if (m_at >= m_text.size() || m_text[m_at] != c)
            return false;
        ++m_at;
        return true;
    }

    // Skips whitespace, then a value. Empty if there is none, or if it doesn't end.
    std::optional<std::string_view> takeValue()
    {
        skipWhitespace();
        const auto begin = m_at;
        std::size_t depth = 0;
        do {
            if (m_at >= m_text.size())
                return std::nullopt;
            const char c = m_text[m_at];
            if (c == '"') {
                if (!skipString())
                    return std::nullopt;
                continue;
            }
            if (depth == 0 && isDelimiter(c))
                break;
            if (c == '{' || c == '[')
                ++depth;
            else if (c == '}' || c == ']')
                --depth;
            ++m_at;
        } while (depth > 0 || (m_at < m_text.size() && !isDelimiter(m_text[m_at])));
        if (m_at == begin)
            return std::nullopt;
        return m_text.substr(begin, m_at - begin);
    }

    [[nodiscard]] bool isAtEnd()
    {
        skipWhitespace();
        return m_at == m_text.size();
    }

private:
    [[nodiscard]] static bool isDelimiter(char c)
    {
        return c == ',' || c == ':' || c == '}' || c == ']' || whitespace.find(c) != std::string_view::npos;
    }

    void skipWhitespace() { m_at = std::min(m_text.find_first_not_of(whitespace, m_at), m_text.size()); }

    // Skips a string with its quotes. Returns whether it ends.
    bool skipString()
    {
        for (++m_at; m_at < m_text.size(); ++m_at) {
            if (m_text[m_at] == '\\')
                ++m_at;
            else if (m_text[m_at] == '"') {
                ++m_at;
                return true;
            }
        }
        return false;
    }

    std::string_view m_text;
    std::size_t m_at{0};
};

} // namespace detail

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    detail::JsonScanner scanner(text);
    std::vector<JsonMember> out;
    if (!scanner.take('{'))
        return std::nullopt;
    if (scanner.take('}'))
        return scanner.isAtEnd() ? std::optional(out) : std::nullopt;
    do {
        const auto key = scanner.takeValue();
        constexpr std::size_t quotes = 2;
        if (!key || key->size() < quotes || key->front() != '"' || !scanner.take(':'))
            return std::nullopt;
        const auto value = scanner.takeValue();
        if (!value)
            return std::nullopt;
        out.push_back({key->substr(1, key->size() - quotes), *value});
    } while (scanner.take(','));
    return scanner.take('}') && scanner.isAtEnd() ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    detail::JsonScanner scanner(text);
    std::vector<std::string_view> out;
    if (!scanner.take('['))
        return std::nullopt;
    if (scanner.take(']'))
        return scanner.isAtEnd() ? std::optional(out) : std::nullopt;
    do {
        const auto value = scanner.takeValue();
        if (!value)
            return std::nullopt;
        out.push_back(*value);
    } while (scanner.take(','));
    return scanner.take(']') && scanner.isAtEnd() ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<std::string_view> findJsonMember(const std::vector<JsonMember> &members, std::string_view key)
{
    std::optional<std::string_view> out;
    for (const auto &it : members) {
        if (it.key == key)
            out = it.value;
    }
    return out;
}

int jsonDepth(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    bool isInString = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (isInString) {
            n += c == '\\' ? 1 : 0;
            isInString = c != '"';
        } else if (c == '"') {
            isInString = true;
        } else if (c == '{' || c == '[') {
            deepest = std::max(deepest, ++depth);
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return deepest;
}

} // namespace Wisteria
