// Splits JSON text into the texts of its members or elements without reading them, so that a part which can't
// be read doesn't spoil the others. Doesn't recurse, and doesn't check the parts.

#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace Wisteria {

struct JsonMember
{
    // As written, without the quotes.
    std::string_view key;
    std::string_view value;
};

// The views refer to `text`. Empty if the text is no object.
[[nodiscard]] std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);
// The views refer to `text`. Empty if the text is no array.
[[nodiscard]] std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);
// The value of the last member with this key; empty if there is none.
[[nodiscard]] std::optional<std::string_view> findJsonMember(const std::vector<JsonMember> &,
                                                             std::string_view key);

// The largest nesting depth of objects and arrays. Unspecified if the text is malformed.
[[nodiscard]] int jsonDepth(std::string_view text);

} // namespace Wisteria
