// Reading of JSON from peers that are not trusted, and writing of text that came from them.

#pragma once

#include <LibCore/Error.h>

#include <nlohmann/json.hpp>

#include <string_view>

namespace Wisteria {

// Writing a JSON value recurses once a level, so that deeper texts could exhaust the stack.
inline constexpr int maxJsonDepth = 100;

// Errors: InvalidRequest on malformed or too deeply nested text, also for bad UTF-8.
[[nodiscard]] inline ErrorOr<nlohmann::json> parseUntrustedJson(std::string_view text,
                                                                int maxDepth = maxJsonDepth)
{
    bool isTooDeep = false;
    auto checkDepth = [&isTooDeep, maxDepth](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return !isTooDeep;
    };
    try {
        auto parsed = nlohmann::json::parse(text, checkDepth);
        if (isTooDeep)
            return makeError(ErrorCode::InvalidRequest, "the JSON is nested too deeply");
        return parsed;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

} // namespace Wisteria
