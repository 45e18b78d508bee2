// JSON in and out of HTTP messages.

#include <Router/HttpReply.h>

#include <LibCore/JsonText.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

using nlohmann::json;

json errorBody(const Error &error)
{
    json body = {{"type", errorName(error.code)}, {"message", error.detail}};
    if (error.retryAfter)
        body["retry_after_ms"] = absl::ToInt64Milliseconds(*error.retryAfter);
    return body;
}

void replyError(httplib::Response &response, const Error &error)
{
    if (error.retryAfter) {
        auto seconds = absl::ToInt64Seconds(absl::Ceil(*error.retryAfter, absl::Seconds(1)));
        response.set_header("Retry-After", std::to_string(seconds));
    }
    replyJson(response, {{"error", errorBody(error)}}, httpStatus(error.code));
}

void replyJson(httplib::Response &response, const json &json, int status)
{
    response.status = status;
    // Targets' texts pass through here, and they may not be valid UTF-8.
    response.set_content(json.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

ErrorOr<json> readJsonBody(const httplib::Request &request)
{
    auto type = request.get_header_value("Content-Type");
    if (!type.starts_with("application/json"))
        return makeError(ErrorCode::UnsupportedMediaType, "Content-Type must be application/json");
    auto body = TRY(parseUntrustedJson(request.body));
    if (body.is_object())
        return body;
    return makeError(ErrorCode::InvalidRequest, "the body is not a JSON object");
}

ErrorOr<std::uint64_t> readNumber(const json &json, const std::string &field, std::uint64_t least,
                                  std::uint64_t most)
{
    auto it = json.find(field);
    if (it != json.end() && it->is_number_unsigned()) {
        auto n = it->get<std::uint64_t>();
        if (n >= least && n <= most)
            return n;
    }
    return makeError(ErrorCode::InvalidRequest,
                     absl::StrCat(field, " must be a whole number from ", least, " to ", most));
}

ErrorOr<std::string> readText(const json &json, const std::string &field)
{
    auto it = json.find(field);
    if (it != json.end() && it->is_string() && !it->get_ref<const std::string &>().empty())
        return it->get<std::string>();
    return makeError(ErrorCode::InvalidRequest, field + " must be a non-empty text");
}

} // namespace Wisteria
