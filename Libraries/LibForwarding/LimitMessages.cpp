// Encodes each message as a CBOR map with one entry: its kind and an array of its fields.

#include <LibForwarding/LimitMessages.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace Wisteria {

namespace detail {

constexpr const char *newsKind = "limits";
constexpr const char *requestKind = "permit_request";
constexpr const char *answerKind = "permit_answer";

std::int64_t encodeAge(absl::Time at, absl::Time now)
{
    return std::max<std::int64_t>(absl::ToInt64Milliseconds(now - at), 0);
}

// Throws nlohmann::json::exception if it is not a number. Times in the future are taken as the present.
absl::Duration decodeMilliseconds(const nlohmann::json &json)
{
    return absl::Milliseconds(std::max<std::int64_t>(json.get<std::int64_t>(), 0));
}

nlohmann::json encodeLimit(const TargetLimit &limit, absl::Time now)
{
    return {limit.process.id.value(),
            limit.process.startedAtMs,
            limit.process.address,
            limit.rate ? nlohmann::json(limit.rate->requestsPerSecond()) : nlohmann::json(),
            encodeAge(limit.statedAt, now),
            encodeAge(limit.firstNamedAt, now)};
}

// Throws nlohmann::json::exception if an element is malformed.
TargetLimit decodeLimit(const nlohmann::json &json, absl::Time now)
{
    TargetLimit limit;
    limit.process = {TargetId(json.at(0).get<std::string>()), json.at(1).get<std::int64_t>(),
                     json.at(2).get<std::string>()};
    if (!json.at(3).is_null())
        limit.rate = RequestRate::perSecond(json.at(3).get<double>());
    limit.statedAt = now - decodeMilliseconds(json.at(4));
    limit.firstNamedAt = now - decodeMilliseconds(json.at(5));
    return limit;
}

bool isValid(const TargetLimit &limit)
{
    return !limit.process.id.value().empty()
        && (!limit.rate
            || (std::isfinite(limit.rate->requestsPerSecond()) && limit.rate->requestsPerSecond() >= 0));
}

nlohmann::json encode(const LimitNews &news, absl::Time now)
{
    nlohmann::json limits = nlohmann::json::array();
    for (const auto &it : news.limits)
        limits.push_back(encodeLimit(it, now));
    return {{newsKind, nlohmann::json::array({news.sender.value(), std::move(limits)})}};
}

nlohmann::json encode(const PermitRequest &request, absl::Time now)
{
    return {
        {requestKind,
         nlohmann::json::array({request.asker.value(), request.id.value(), encodeLimit(request.limit, now),
                                absl::ToInt64Milliseconds(request.maxWait), request.isForwarded})}};
}

nlohmann::json encode(const PermitAnswer &answer, absl::Time)
{
    return {{answerKind,
             nlohmann::json::array({answer.id.value(), answer.outcome.isGranted,
                                    absl::ToInt64Milliseconds(answer.outcome.delay)})}};
}

// Throws nlohmann::json::exception if an element is malformed.
LimitMessage decode(const std::string &kind, const nlohmann::json &fields, absl::Time now)
{
    if (kind == newsKind) {
        LimitNews news;
        news.sender = RouterId(fields.at(0).get<std::string>());
        for (const auto &it : fields.at(1))
            news.limits.push_back(decodeLimit(it, now));
        return news;
    }
    if (kind == requestKind) {
        return PermitRequest{.asker = RouterId(fields.at(0).get<std::string>()),
                             .id = PermitRequestId(fields.at(1).get<std::uint64_t>()),
                             .limit = decodeLimit(fields.at(2), now),
                             .maxWait = decodeMilliseconds(fields.at(3)),
                             .isForwarded = fields.at(4).get<bool>()};
    }
    return PermitAnswer{.id = PermitRequestId(fields.at(0).get<std::uint64_t>()),
                        .outcome = {fields.at(1).get<bool>(), decodeMilliseconds(fields.at(2))}};
}

} // namespace detail

std::string encodeLimitMessage(const LimitMessage &message, absl::Time now)
{
    const auto json = std::visit([now](const auto &it) { return detail::encode(it, now); }, message);
    std::string out;
    nlohmann::json::to_cbor(json, out);
    return out;
}

bool isLimitMessage(std::string_view bytes)
{
    // The upper three bits of a CBOR item are its type.
    constexpr unsigned char typeMask = 0xe0;
    constexpr unsigned char mapType = 0xa0;
    return !bytes.empty() && (static_cast<unsigned char>(bytes.front()) & typeMask) == mapType;
}

ErrorOr<LimitMessage> decodeLimitMessage(std::string_view bytes, absl::Time now)
{
    try {
        // NOTE: The library throws for oversized arrays even with exceptions disabled.
        const auto json = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        if (!json.is_object() || json.size() != 1)
            return makeError(ErrorCode::InvalidRequest, "limit message is not a map with one entry");
        const auto &kind = json.begin().key();
        if (kind != detail::newsKind && kind != detail::requestKind && kind != detail::answerKind)
            return makeError(ErrorCode::InvalidRequest, "unknown limit message: " + kind);
        auto message = detail::decode(kind, json.begin().value(), now);
        const auto *news = std::get_if<LimitNews>(&message);
        const auto *request = std::get_if<PermitRequest>(&message);
        if ((news && !std::all_of(news->limits.begin(), news->limits.end(), detail::isValid))
            || (request && !detail::isValid(request->limit)))
            return makeError(ErrorCode::InvalidRequest, "limit message names an invalid limit");
        return message;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

} // namespace Wisteria
