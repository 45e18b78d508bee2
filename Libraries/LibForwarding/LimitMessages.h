// Messages about limited targets between routers: news of limits, and requests for permits with their
// answers.
//
// They are datagrams of their own beside the reports, so that routers of an earlier release, which ignore
// them, still understand the reports. Times travel as ages, since the clocks of routers differ.

#pragma once

#include <LibCore/Error.h>
#include <LibForwarding/PermitIssuer.h>
#include <LibForwarding/TargetLimits.h>

#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Wisteria {

// A request for a permit, unique within one incarnation of the asking router.
using PermitRequestId = StrongId<struct PermitRequestIdTag, std::uint64_t>;

struct LimitNews
{
    // Maximum number of limits in a message, so that it fits into one datagram.
    static constexpr std::size_t maxLimits = 16;

    RouterId sender;
    std::vector<TargetLimit> limits;
};

struct PermitRequest
{
    RouterId asker;
    PermitRequestId id;
    // What the asker knows of the limit; the issuer may not have heard of it.
    TargetLimit limit;
    // The caller's request can be sent up to this time from now.
    absl::Duration maxWait;
    // Another router received the request and took this one for the issuer. It is not passed on again.
    bool isForwarded{false};
};

struct PermitAnswer
{
    PermitRequestId id;
    PermitOutcome outcome;
};

using LimitMessage = std::variant<LimitNews, PermitRequest, PermitAnswer>;

// Encodes the message as a CBOR map; reports are arrays.
[[nodiscard]] std::string encodeLimitMessage(const LimitMessage &, absl::Time now);
[[nodiscard]] bool isLimitMessage(std::string_view bytes);
// Errors: InvalidRequest.
[[nodiscard]] ErrorOr<LimitMessage> decodeLimitMessage(std::string_view bytes, absl::Time now);

} // namespace Wisteria
