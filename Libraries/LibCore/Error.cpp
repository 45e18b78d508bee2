// Names and HTTP statuses of the error codes, in one table.

#include <LibCore/Error.h>

#include <array>

namespace Wisteria {

namespace detail {

struct ErrorRow
{
    ErrorCode code;
    std::string_view name;
    int status;
};

constexpr std::array errorRows = {
    ErrorRow{ErrorCode::InvalidRequest, "invalid_request", 400},
    ErrorRow{ErrorCode::UnsupportedMediaType, "unsupported_media_type", 415},
    ErrorRow{ErrorCode::PayloadTooLarge, "payload_too_large", 413},
    ErrorRow{ErrorCode::UnknownService, "unknown_service", 404},
    ErrorRow{ErrorCode::UnknownWorkspace, "unknown_workspace", 404},
    ErrorRow{ErrorCode::UnknownObject, "unknown_object", 404},
    ErrorRow{ErrorCode::MissingIdempotencyKey, "missing_idempotency_key", 400},
    ErrorRow{ErrorCode::IdempotencyKeyReused, "idempotency_key_reused", 422},
    ErrorRow{ErrorCode::WorkspaceLimitReached, "workspace_limit_reached", 429},
    ErrorRow{ErrorCode::Overloaded, "overloaded", 503},
    ErrorRow{ErrorCode::NoTargetAvailable, "no_target_available", 503},
    ErrorRow{ErrorCode::RetryBudgetExhausted, "retry_budget_exhausted", 503},
    ErrorRow{ErrorCode::DeadlineExceeded, "deadline_exceeded", 504},
    ErrorRow{ErrorCode::Draining, "draining", 503},
    ErrorRow{ErrorCode::ConfigurationStale, "configuration_stale", 503},
    ErrorRow{ErrorCode::AnswerLost, "answer_lost", 502},
    ErrorRow{ErrorCode::Conflict, "conflict", 409},
    ErrorRow{ErrorCode::StoreUnavailable, "store_unavailable", 503},
    ErrorRow{ErrorCode::StoreOutcomeUnknown, "store_outcome_unknown", 503},
    ErrorRow{ErrorCode::NotAcknowledged, "not_acknowledged", 503},
    ErrorRow{ErrorCode::LeaseLost, "lease_lost", 409},
    ErrorRow{ErrorCode::FencedOff, "fenced_off", 409},
    ErrorRow{ErrorCode::InvalidSettings, "invalid_settings", 500},
    ErrorRow{ErrorCode::ConnectionFailed, "connection_failed", 502},
    ErrorRow{ErrorCode::ConnectionLost, "connection_lost", 502},
    ErrorRow{ErrorCode::ProtocolViolation, "protocol_violation", 502},
    ErrorRow{ErrorCode::Timeout, "timeout", 504},
    ErrorRow{ErrorCode::RingFull, "ring_full", 503},
    ErrorRow{ErrorCode::Internal, "internal", 500},
};

} // namespace detail

std::string_view errorName(ErrorCode code)
{
    for (const auto &row : detail::errorRows) {
        if (row.code == code)
            return row.name;
    }
    return "internal";
}

ErrorCode errorFromName(std::string_view name)
{
    for (const auto &row : detail::errorRows) {
        if (row.name == name)
            return row.code;
    }
    return ErrorCode::Internal;
}

int httpStatus(ErrorCode code)
{
    for (const auto &row : detail::errorRows) {
        if (row.code == code)
            return row.status;
    }
    return 500;
}

} // namespace Wisteria
