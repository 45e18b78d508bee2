// Reading of JSON from peers that are not trusted, and writing of text that came from them.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/JsonScanner.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Wisteria {

// Writing a JSON value recurses once a level, so that deeper texts could exhaust the stack.
inline constexpr int maxJsonDepth = 100;

// Errors: InvalidRequest on malformed or too deeply nested text, also for bad UTF-8.
[[nodiscard]] inline ErrorOr<nlohmann::json> parseUntrustedJson(std::string_view text,
                                                                int maxDepth = maxJsonDepth)
{
    // A callback of the parser could check this, too, but it would be called for each value of large texts.
    if (jsonDepth(text) > maxDepth)
        return makeError(ErrorCode::InvalidRequest, "the JSON is nested too deeply");
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

// The text of a value that may contain bytes of others. Bytes that are not UTF-8 are replaced; writing them
// as they are would throw.
[[nodiscard]] inline std::string writeUntrustedJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Wisteria
