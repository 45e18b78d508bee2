// Errors as docs/API.md writes them.

#include <LibCaller/RouterAnswer.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Wisteria::detail {

// A peer's retry_after above this is taken for a mistake of the peer.
constexpr double maxRetryAfterMs = 86'400'000;

namespace {

std::optional<absl::Duration> retryAfterOf(const HttpAnswer &answer)
{
    auto it = answer.headers.find("retry-after");
    int seconds = 0;
    if (it == answer.headers.end() || !absl::SimpleAtoi(it->second, &seconds) || seconds < 0)
        return std::nullopt;
    return absl::Seconds(seconds);
}

std::string textOf(const nlohmann::json &json, const char *field)
{
    auto it = json.find(field);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

} // namespace

Error errorFromJson(const nlohmann::json &json)
{
    if (!json.is_object())
        return {ErrorCode::ProtocolViolation, "the error is no JSON object"};
    Error error{errorFromName(textOf(json, "type")), textOf(json, "message")};
    auto it = json.find("retry_after_ms");
    if (it != json.end() && it->is_number() && it->get<double>() >= 0 && it->get<double>() <= maxRetryAfterMs)
        error.retryAfter = absl::Milliseconds(it->get<double>());
    return error;
}

Error errorOfAnswer(const HttpAnswer &answer)
{
    auto json = nlohmann::json::parse(answer.body, nullptr, false);
    if (!json.is_object() || !json.contains("error"))
        return {ErrorCode::ProtocolViolation,
                absl::StrCat("status ", answer.status, " without a typed error"), retryAfterOf(answer)};
    auto error = errorFromJson(json["error"]);
    if (!error.retryAfter)
        error.retryAfter = retryAfterOf(answer);
    return error;
}

bool mayRetry(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Draining:
    case ErrorCode::ConfigurationStale:
    case ErrorCode::RingFull:
    case ErrorCode::ConnectionFailed:
    case ErrorCode::ConnectionLost:
    case ErrorCode::Timeout:
        return true;
    default:
        return error.retryAfter.has_value();
    }
}

bool holdsForAllRouters(ErrorCode code)
{
    return code == ErrorCode::WorkspaceLimitReached;
}

std::string escapeUrl(std::string_view text)
{
    std::string out;
    for (char c : text) {
        if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.')
            out.push_back(c);
        else
            absl::StrAppend(&out, "%", absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
    }
    return out;
}

} // namespace Wisteria::detail
