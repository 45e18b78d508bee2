// Reads typed values out of one TOML table and refuses the keys that nobody asked for.

#pragma once

#include <LibCore/Address.h>
#include <LibCore/Error.h>

#include <toml.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Wisteria::detail {

enum class Presence { Required, Optional };
enum class AddressList { MayBeEmpty, NotEmpty };

// The number of inserted, removed, replaced or swapped neighbouring letters between two words.
[[nodiscard]] std::size_t editDistance(std::string_view, std::string_view);

// The first error is kept; reading goes on, so that finish() knows every key that the caller reads.
class SettingsReader
{
public:
    [[nodiscard]] static ErrorOr<SettingsReader> parse(std::string_view text, const std::string &file);

    // Whether the table has the key.
    [[nodiscard]] bool has(const std::string &key) const { return m_table.contains(key); }
    // The table under the key. A missing one reads as empty.
    [[nodiscard]] SettingsReader section(const std::string &key);

    // An identifier of 1 to 64 letters, digits, '-', '_' and '.'.
    template <typename Id>
    void name(const std::string &key, Presence presence, Id &out)
    {
        std::string text;
        readName(key, presence, text);
        if (!text.empty())
            out = Id(std::move(text));
    }
    void text(const std::string &key, std::string &out);
    void address(const std::string &key, Presence, std::string &out);
    void addresses(const std::string &key, AddressList, std::vector<std::string> &out);
    void count(const std::string &key, std::uint32_t least, std::uint32_t most, std::uint32_t &out);
    // A number, whole or with a fraction.
    void number(const std::string &key, double least, double most, double &out);
    // A duration in seconds, whole or with a fraction; its key ends in "_s".
    void seconds(const std::string &key, double least, double most, absl::Duration &out);
    // A duration in milliseconds; its key ends in "_ms".
    void milliseconds(const std::string &key, absl::Duration least, absl::Duration most, absl::Duration &out);
    // The index of the value among the choices.
    void choice(const std::string &key, const std::vector<std::string> &choices, std::size_t &out);

    // Refuses unknown keys, with the nearest known one, then reports the first error of the reads.
    [[nodiscard]] ErrorOr<void> finish() const;

private:
    SettingsReader(toml::value table, std::string path, std::string file)
        : m_table(std::move(table)), m_path(std::move(path)), m_file(std::move(file))
    {
    }

    const toml::value *find(const std::string &key, Presence);
    void readName(const std::string &key, Presence, std::string &out);
    void checkAddress(const std::string &key, const toml::value &, const std::string &text);
    void fail(const std::string &key, const toml::value &at, const std::string &reason);
    [[nodiscard]] Error errorAt(const std::string &key, const toml::value &at,
                                const std::string &reason) const;

    // Invariant: a table.
    toml::value m_table;
    std::string m_path;
    std::string m_file;
    std::vector<std::string> m_known;
    std::optional<Error> m_error;
};

} // namespace Wisteria::detail
