// Reading of a router's JSON answers.

#pragma once

#include <LibCaller/Transport.h>

#include <nlohmann/json.hpp>

namespace Wisteria::detail {

constexpr int httpOk = 200;

// The error of an answer that is not 200: its type, and Retry-After from the body or else the header.
[[nodiscard]] Error errorOfAnswer(const HttpAnswer &answer);

// Reads {"type", "message", "retry_after_ms"}.
[[nodiscard]] Error errorFromJson(const nlohmann::json &json);

// Whether another router, or the same one later, may well take the request.
[[nodiscard]] bool mayRetry(const Error &error);

// Whether other routers would refuse for the same reason, so that coming back early is useless everywhere.
[[nodiscard]] bool holdsForAllRouters(ErrorCode code);

// Percent-encodes all but unreserved characters.
[[nodiscard]] std::string escapeUrl(std::string_view text);

} // namespace Wisteria::detail
