// Requests go to the best entry point and then to others, paced like those of callers.

#include <wisteriactl/AdminClient.h>

#include <LibCaller/RouterAnswer.h>
#include <LibConfig/ConfigurationJson.h>

#include <absl/strings/str_cat.h>

#include <iostream>

namespace Wisteria {

namespace detail {

constexpr absl::Duration connectTimeout = absl::Milliseconds(500);
constexpr absl::Duration requestTimeout = absl::Seconds(5);

std::string newChangeId(const std::string &operatorName, RandomSource &random)
{
    return absl::StrCat(operatorName, "-", absl::Hex(random.next(), absl::kZeroPad16));
}

HttpRequest getRequest(const std::string &path)
{
    return {"GET", path, {}, {}, requestTimeout};
}

HttpRequest postRequest(const std::string &path, const std::string &body, absl::Duration timeout)
{
    return {"POST", path, {{"Content-Type", "application/json"}}, body, timeout};
}

// Errors that prove that this attempt had no effect and that no other will fare better.
bool isFinalRefusal(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidRequest:
    case ErrorCode::UnsupportedMediaType:
    case ErrorCode::PayloadTooLarge:
    case ErrorCode::UnknownObject:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownWorkspace:
    case ErrorCode::Conflict:
        return true;
    default:
        return false;
    }
}

// Errors of a router that never wrote anything for this attempt.
bool hadNoEffect(ErrorCode code)
{
    return code == ErrorCode::StoreUnavailable || code == ErrorCode::Draining
        || code == ErrorCode::ConfigurationStale || code == ErrorCode::RingFull;
}

std::optional<ChangeConflict> conflictOf(const HttpAnswer &answer)
{
    auto json = nlohmann::json::parse(answer.body, nullptr, false);
    if (!json.is_object() || !json.contains("conflict"))
        return std::nullopt;
    auto conflict = changeConflictFromJson(json["conflict"].dump());
    return conflict ? std::optional(*conflict) : std::nullopt;
}

} // namespace detail

AdminClient::AdminClient(const OperatorSettings &settings, std::string changeId)
    : m_settings(settings), m_transport(detail::connectTimeout), m_random(std::random_device{}()),
      m_entryPoints(m_transport, m_clock, settings.entryPoints, FailureDomain(), detail::requestTimeout),
      m_changeId(changeId.empty() ? detail::newChangeId(settings.operatorName, m_random)
                                  : std::move(changeId))
{
}

AttemptPacer AdminClient::makePacer()
{
    return {m_entryPoints, m_clock, m_random, RetryPolicy(), m_settings.timeout};
}

ErrorOr<FleetConfiguration> AdminClient::configuration()
{
    auto json = TRY(get("/v1/admin/configuration"));
    return fleetConfigurationFromJson(json.dump());
}

ErrorOr<nlohmann::json> AdminClient::status()
{
    return get("/v1/admin/status");
}

ErrorOr<nlohmann::json> AdminClient::statusAt(const std::string &address)
{
    return getAt(address, "/v1/admin/status");
}

ErrorOr<void> AdminClient::drainAt(const std::string &address)
{
    constexpr int statusAccepted = 202;
    auto answer = m_transport.send(
        address, detail::postRequest("/v1/admin/drain", "{}", detail::requestTimeout), nullptr);
    if (!answer)
        return tl::unexpected(answer.error().error);
    if (answer->status != statusAccepted && answer->status != detail::httpOk)
        return tl::unexpected(detail::errorOfAnswer(*answer));
    return {};
}

ErrorOr<nlohmann::json> AdminClient::get(const std::string &path)
{
    auto pacer = makePacer();
    while (true) {
        auto endpoint = TRY(pacer.next());
        auto json = getAt(endpoint.address, path);
        if (json || detail::isFinalRefusal(json.error().code))
            return json;
        pacer.recordFailure(endpoint, json.error());
    }
}

ErrorOr<nlohmann::json> AdminClient::getAt(const std::string &address, const std::string &path)
{
    auto answer = m_transport.send(address, detail::getRequest(path), nullptr);
    if (!answer)
        return tl::unexpected(answer.error().error);
    if (answer->status != detail::httpOk)
        return tl::unexpected(detail::errorOfAnswer(*answer));
    auto json = nlohmann::json::parse(answer->body, nullptr, false);
    if (!json.is_object())
        return makeError(ErrorCode::ProtocolViolation, address + " sent no JSON object");
    return json;
}

ErrorOr<void> AdminClient::apply(Edit edit)
{
    auto version = submit(toJson(ConfigurationChange{m_changeId, m_settings.operatorName, std::move(edit)}));
    if (!version) {
        m_failure = version.error();
        return tl::unexpected(version.error().error);
    }
    std::cout << "accepted in version " << version->value() << " (change " << m_changeId << ")\n";
    return {};
}

tl::expected<ConfigVersion, ChangeFailure> AdminClient::submit(const std::string &body)
{
    auto pacer = makePacer();
    bool mayHaveEffect = false;
    while (true) {
        auto endpoint = pacer.next();
        if (!endpoint) {
            auto error = endpoint.error();
            if (mayHaveEffect)
                error.code = ErrorCode::StoreOutcomeUnknown;
            return tl::unexpected(ChangeFailure{error, {}});
        }
        auto request = detail::postRequest("/v1/admin/changes", body, pacer.remaining());
        auto answer = m_transport.send(endpoint->address, request, nullptr);
        if (!answer) {
            mayHaveEffect = mayHaveEffect || answer.error().delivery == Delivery::MaybeSent;
            pacer.recordFailure(*endpoint, answer.error().error);
            continue;
        }
        auto json = nlohmann::json::parse(answer->body, nullptr, false);
        if (answer->status == detail::httpOk && json.is_object() && json.contains("version")
            && json["version"].is_number_unsigned())
            return ConfigVersion(json["version"].get<std::uint64_t>());
        auto error = detail::errorOfAnswer(*answer);
        if (detail::isFinalRefusal(error.code))
            return tl::unexpected(ChangeFailure{error, detail::conflictOf(*answer)});
        mayHaveEffect = mayHaveEffect || !detail::hadNoEffect(error.code);
        pacer.recordFailure(*endpoint, error);
    }
}

} // namespace Wisteria
