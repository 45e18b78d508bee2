// Typed errors. Each failure has a code; the detail is only for people.

#pragma once

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Wisteria {

enum class ErrorCode {
    // The request itself is wrong; the same request will fail again.
    InvalidRequest,
    UnsupportedMediaType,
    PayloadTooLarge,
    UnknownService,
    UnknownWorkspace,
    UnknownObject,
    MissingIdempotencyKey,
    IdempotencyKeyReused,
    // The request was given up; retryAfter says when to come back.
    WorkspaceLimitReached,
    Overloaded,
    NoTargetAvailable,
    RetryBudgetExhausted,
    DeadlineExceeded,
    Draining,
    ConfigurationStale,
    AnswerLost,
    // Operators and the platform.
    Conflict,
    StoreUnavailable,
    StoreOutcomeUnknown,
    NotAcknowledged,
    LeaseLost,
    FencedOff,
    // Processes and networks.
    InvalidSettings,
    ConnectionFailed,
    ConnectionLost,
    ProtocolViolation,
    Timeout,
    RingFull,
    Internal,
};

// The snake_case name that API answers and logs carry, for example "no_target_available".
[[nodiscard]] std::string_view errorName(ErrorCode);
// The inverse of errorName(). Unknown names become ErrorCode::Internal.
[[nodiscard]] ErrorCode errorFromName(std::string_view);
// The HTTP status that a caller sees for the error.
[[nodiscard]] int httpStatus(ErrorCode);

struct Error
{
    ErrorCode code{ErrorCode::Internal};
    std::string detail{};
    // When a caller should come back; empty where the same request will fail again.
    std::optional<absl::Duration> retryAfter{};
};

template <typename T>
using ErrorOr = tl::expected<T, Error>;

[[nodiscard]] inline tl::unexpected<Error> makeError(ErrorCode code, std::string detail = {},
                                                     std::optional<absl::Duration> retryAfter = std::nullopt)
{
    return tl::unexpected<Error>(Error{code, std::move(detail), retryAfter});
}

} // namespace Wisteria

// Takes the value out of an ErrorOr, or returns its error from the enclosing function.
#define TRY(expression)                                                                                      \
    ({                                                                                                       \
        auto tryResult = (expression);                                                                       \
        if (!tryResult)                                                                                      \
            return tl::unexpected(std::move(tryResult).error());                                             \
        std::move(tryResult).value();                                                                        \
    })

// The same for an ErrorOr<void>.
#define TRY_VOID(expression)                                                                                 \
    do {                                                                                                     \
        if (auto tryResult = (expression); !tryResult)                                                       \
            return tl::unexpected(std::move(tryResult).error());                                             \
    } while (false)
