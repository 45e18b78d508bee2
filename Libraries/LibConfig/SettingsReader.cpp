// Type, range and spelling of the keys of one TOML table.

#include <LibConfig/SettingsReader.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <sstream>

namespace Wisteria::detail {

namespace {

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxAddresses = 1000;

bool isNameLetter(char c)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
}

// The message of a syntax error, without the picture of the line that toml11 adds.
std::string firstLine(const std::string &text)
{
    const std::vector<std::string> lines = absl::StrSplit(text, '\n');
    return lines.front();
}

} // namespace

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::vector<std::size_t>> table(a.size() + 1, std::vector<std::size_t>(b.size() + 1));
    for (std::size_t i = 0; i <= a.size(); ++i) {
        for (std::size_t j = 0; j <= b.size(); ++j) {
            if (i == 0 || j == 0) {
                table[i][j] = i + j;
                continue;
            }
            const std::size_t replaced = table[i - 1][j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
            table[i][j] = std::min({table[i - 1][j] + 1, table[i][j - 1] + 1, replaced});
            const bool isSwap = i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
            if (isSwap)
                table[i][j] = std::min(table[i][j], table[i - 2][j - 2] + 1);
        }
    }
    return table[a.size()][b.size()];
}

ErrorOr<SettingsReader> SettingsReader::parse(std::string_view text, const std::string &file)
{
    try {
        std::istringstream stream{std::string(text)};
        return SettingsReader(toml::parse(stream, file), "", file);
    } catch (const toml::exception &error) {
        return makeError(ErrorCode::InvalidSettings,
                         absl::StrCat(file, ":", error.location().line(), ": ", firstLine(error.what())));
    } catch (const std::exception &error) {
        return makeError(ErrorCode::InvalidSettings, absl::StrCat(file, ": ", firstLine(error.what())));
    }
}

SettingsReader SettingsReader::section(const std::string &key)
{
    const auto *value = find(key, Presence::Optional);
    const auto path = m_path.empty() ? key : absl::StrCat(m_path, ".", key);
    if (value && value->is_table())
        return {*value, path, m_file};
    if (value)
        fail(key, *value, "must be a table");
    return {toml::value(toml::table{}), path, m_file};
}

const toml::value *SettingsReader::find(const std::string &key, Presence presence)
{
    m_known.push_back(key);
    const auto &table = m_table.as_table();
    if (auto it = table.find(key); it != table.end())
        return &it->second;
    if (presence == Presence::Required)
        fail(key, m_table, "is missing");
    return nullptr;
}

void SettingsReader::readName(const std::string &key, Presence presence, std::string &out)
{
    const auto *value = find(key, presence);
    if (!value)
        return;
    if (!value->is_string())
        return fail(key, *value, "must be a string");
    const std::string text = value->as_string();
    if (text.empty() || text.size() > maxNameBytes || !std::all_of(text.begin(), text.end(), isNameLetter))
        return fail(key, *value, "must be 1 to 64 letters, digits, '-', '_' or '.'");
    out = text;
}

void SettingsReader::text(const std::string &key, std::string &out)
{
    const auto *value = find(key, Presence::Optional);
    if (!value)
        return;
    if (!value->is_string())
        return fail(key, *value, "must be a string");
    out = value->as_string();
}

void SettingsReader::checkAddress(const std::string &key, const toml::value &value, const std::string &text)
{
    if (!Address::parse(text))
        fail(key, value, absl::StrCat("\"", text, "\" is not \"IP:port\""));
}

void SettingsReader::address(const std::string &key, Presence presence, std::string &out)
{
    const auto *value = find(key, presence);
    if (!value)
        return;
    if (!value->is_string())
        return fail(key, *value, "must be a string \"IP:port\"");
    out = value->as_string();
    checkAddress(key, *value, out);
}

void SettingsReader::addresses(const std::string &key, AddressList list, std::vector<std::string> &out)
{
    const auto presence = list == AddressList::NotEmpty ? Presence::Required : Presence::Optional;
    const auto *value = find(key, presence);
    if (!value)
        return;
    if (!value->is_array() || value->size() > maxAddresses)
        return fail(key, *value, "must be an array of at most 1000 strings \"IP:port\"");
    if (value->size() == 0 && list == AddressList::NotEmpty)
        return fail(key, *value, "must not be empty");
    for (const auto &it : value->as_array()) {
        if (!it.is_string())
            return fail(key, it, "must hold only strings \"IP:port\"");
        out.push_back(it.as_string());
        checkAddress(key, it, out.back());
    }
}

void SettingsReader::count(const std::string &key, std::uint32_t least, std::uint32_t most,
                           std::uint32_t &out)
{
    const auto *value = find(key, Presence::Optional);
    if (!value)
        return;
    if (!value->is_integer())
        return fail(key, *value, "must be a whole number");
    const std::int64_t n = value->as_integer();
    if (n < least || n > most)
        return fail(key, *value, absl::StrCat("must be from ", least, " to ", most));
    out = static_cast<std::uint32_t>(n);
}

void SettingsReader::number(const std::string &key, double least, double most, double &out)
{
    const auto *value = find(key, Presence::Optional);
    if (!value)
        return;
    if (!value->is_integer() && !value->is_floating())
        return fail(key, *value, "must be a number");
    const double n = value->is_integer() ? static_cast<double>(value->as_integer()) : value->as_floating();
    if (!(n >= least && n <= most))
        return fail(key, *value, absl::StrCat("must be from ", least, " to ", most));
    out = n;
}

void SettingsReader::seconds(const std::string &key, double least, double most, absl::Duration &out)
{
    double n = absl::ToDoubleSeconds(out);
    number(key, least, most, n);
    out = absl::Seconds(n);
}

void SettingsReader::milliseconds(const std::string &key, absl::Duration least, absl::Duration most,
                                  absl::Duration &out)
{
    auto n = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(out));
    count(key, static_cast<std::uint32_t>(absl::ToInt64Milliseconds(least)),
          static_cast<std::uint32_t>(absl::ToInt64Milliseconds(most)), n);
    out = absl::Milliseconds(n);
}

void SettingsReader::choice(const std::string &key, const std::vector<std::string> &choices, std::size_t &out)
{
    const auto *value = find(key, Presence::Optional);
    if (!value)
        return;
    const auto it = value->is_string()
        ? std::find(choices.begin(), choices.end(), std::string(value->as_string()))
        : choices.end();
    if (it == choices.end())
        return fail(key, *value, "must be one of " + absl::StrJoin(choices, ", "));
    out = static_cast<std::size_t>(it - choices.begin());
}

void SettingsReader::fail(const std::string &key, const toml::value &at, const std::string &reason)
{
    if (!m_error)
        m_error = errorAt(key, at, reason);
}

Error SettingsReader::errorAt(const std::string &key, const toml::value &at, const std::string &reason) const
{
    const auto path = m_path.empty() ? key : absl::StrCat(m_path, ".", key);
    // A table that the file does not mention has no place in it.
    const auto line = std::max<std::size_t>(at.location().line(), 1);
    return {ErrorCode::InvalidSettings, absl::StrCat(m_file, ":", line, ": ", path, " ", reason)};
}

ErrorOr<void> SettingsReader::finish() const
{
    for (const auto &entry : m_table.as_table()) {
        const std::string &key = entry.first;
        if (std::find(m_known.begin(), m_known.end(), key) != m_known.end())
            continue;
        const auto nearest =
            std::min_element(m_known.begin(), m_known.end(), [&](const auto &a, const auto &b) {
                return editDistance(a, key) < editDistance(b, key);
            });
        return tl::unexpected(
            errorAt(key, entry.second, absl::StrCat("is unknown; the nearest key is ", *nearest)));
    }
    if (m_error)
        return tl::unexpected(*m_error);
    return {};
}

} // namespace Wisteria::detail
