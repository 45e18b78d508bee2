// The rules of tickets: one under which no byte was sent may be dropped for another router's. After the first
// byte only the issuer can answer, so every later attempt carries the same key.

#include <LibCaller/CallDriver.h>

#include <LibCaller/RouterAnswer.h>
#include <LibCore/JsonText.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

// Errors that mean that the request itself was refused, whatever the answer says besides.
bool refusesTheRequest(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidRequest:
    case ErrorCode::UnsupportedMediaType:
    case ErrorCode::PayloadTooLarge:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownWorkspace:
    case ErrorCode::MissingIdempotencyKey:
    case ErrorCode::IdempotencyKeyReused:
        return true;
    default:
        return false;
    }
}

} // namespace detail

CallDriver::CallDriver(const ServiceCall &request, Transport &transport, EntryPoints &entryPoints,
                       AttemptPacer &pacer, absl::Duration stallLimit)
    : m_request(request), m_transport(transport), m_entryPoints(entryPoints), m_pacer(pacer),
      m_stallLimit(stallLimit), m_key(request.key)
{
}

CallResult CallDriver::run()
{
    auto arguments = parseUntrustedJson(m_request.arguments);
    if (!arguments || !arguments->is_object())
        return CallNotRun{{ErrorCode::InvalidRequest, "the arguments are no JSON object"}};
    try {
        m_body = nlohmann::json{{"operation", m_request.operation}, {"arguments", *arguments}}.dump();
    } catch (const nlohmann::json::exception &) {
        return CallNotRun{{ErrorCode::InvalidRequest, "the operation is no valid UTF-8"}};
    }
    while (true) {
        auto entryPoint = m_pacer.next();
        if (!entryPoint)
            return giveUp(entryPoint.error());
        if (auto result = attempt(*entryPoint))
            return *result;
    }
}

std::optional<CallResult> CallDriver::attempt(const RouterEndpoint &entryPoint)
{
    if (auto prepared = prepareKey(entryPoint); !prepared) {
        m_pacer.recordFailure(entryPoint, prepared.error());
        return std::nullopt;
    }
    auto answer = m_transport.send(entryPoint.address, makeRequest(m_body), nullptr);
    if (answer || answer.error().delivery == Delivery::MaybeSent)
        ++m_requestsUnderKey;
    if (answer)
        return takeAnswer(entryPoint, *answer);
    if (answer.error().delivery == Delivery::MaybeSent)
        m_maybeSent = true;
    m_pacer.recordFailure(entryPoint, answer.error().error);
    return std::nullopt;
}

ErrorOr<void> CallDriver::prepareKey(const RouterEndpoint &entryPoint)
{
    bool isOwnKey = m_key && m_ticketIssuer.empty();
    if (m_request.repetition == Repetition::Idempotent || isOwnKey || m_maybeSent)
        return {};
    if (m_key && m_ticketIssuer == entryPoint.address)
        return {};
    m_key = TRY(m_entryPoints.ticketFrom(entryPoint));
    m_ticketIssuer = entryPoint.address;
    m_requestsUnderKey = 0;
    return {};
}

std::optional<CallResult> CallDriver::takeAnswer(const RouterEndpoint &entryPoint, const HttpAnswer &answer)
{
    auto json = parseUntrustedJson(answer.body).value_or(nlohmann::json());
    auto outcome = json.is_object() && json.contains("outcome") && json["outcome"].is_string()
        ? json["outcome"].get<std::string>()
        : std::string();
    if (outcome == "ran" && json.contains("status") && json["status"].is_number_integer())
        return CallRan{json["status"].get<int>(), json.value("result", nlohmann::json()).dump()};
    auto error = detail::errorOfAnswer(answer);
    if (outcome == "not_run")
        return takeNotRun(entryPoint, error);
    // A refusal without an outcome speaks only of this attempt, not of an earlier one under the same key.
    if (outcome.empty() && detail::refusesTheRequest(error.code))
        return giveUp(error);
    m_maybeSent = true;
    m_pacer.recordFailure(entryPoint, error);
    return std::nullopt;
}

std::optional<CallResult> CallDriver::takeNotRun(const RouterEndpoint &entryPoint, const Error &error)
{
    // The router looked at the request alone: that says nothing of an earlier attempt under the same key.
    if (m_maybeSent && detail::refusesTheRequest(error.code))
        return giveUp(error);
    m_maybeSent = false;
    // A spent ticket never runs any more; the caller's own key may be claimed anew.
    if (!m_ticketIssuer.empty()) {
        m_key.reset();
        m_ticketIssuer.clear();
    }
    if (!detail::mayRetry(error))
        return CallNotRun{error};
    m_pacer.recordFailure(entryPoint, error);
    return std::nullopt;
}

HttpRequest CallDriver::makeRequest(std::string body) const
{
    auto remaining = m_pacer.remaining();
    auto timeoutMs = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(remaining));
    std::vector<HttpHeader> headers{{"Content-Type", "application/json"},
                                    {"Wisteria-Workspace", m_request.workspace.value()},
                                    {"Wisteria-Timeout-Ms", absl::StrCat(timeoutMs)}};
    if (m_key)
        headers.push_back({"Idempotency-Key", m_key->value()});
    // The caller may have used its own key before, so only requests under a ticket are all known.
    if (!m_ticketIssuer.empty())
        headers.push_back({"Wisteria-Attempt", absl::StrCat(m_requestsUnderKey + 1)});
    auto path = absl::StrCat("/v1/services/", detail::escapeUrl(m_request.service.value()), "/calls");
    return {"POST", std::move(path), std::move(headers), std::move(body), std::min(remaining, m_stallLimit)};
}

CallResult CallDriver::giveUp(const Error &error) const
{
    if (m_maybeSent)
        return CallUnknown{error, m_key};
    return CallNotRun{error};
}

} // namespace Wisteria
