// Small helpers for JSON answers and typed errors over HTTP.

#pragma once

#include <LibCore/Error.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Wisteria {

// {"type", "message", "retry_after_ms"}
[[nodiscard]] nlohmann::json errorBody(const Error &error);
// Sets status, body and Retry-After (RFC 9110, section 10.2.3, in whole seconds rounded up).
void replyError(httplib::Response &response, const Error &error);
void replyJson(httplib::Response &response, const nlohmann::json &json, int status = 200);

// The body of a request as a JSON object. Errors: UnsupportedMediaType, InvalidRequest (also for bad UTF-8).
[[nodiscard]] ErrorOr<nlohmann::json> readJsonBody(const httplib::Request &request);
// A whole number in [least, most]. Errors: InvalidRequest, naming the field.
[[nodiscard]] ErrorOr<std::uint64_t> readNumber(const nlohmann::json &json, const std::string &field,
                                                std::uint64_t least, std::uint64_t most);
// A non-empty string. Errors: InvalidRequest, naming the field.
[[nodiscard]] ErrorOr<std::string> readText(const nlohmann::json &json, const std::string &field);

} // namespace Wisteria
