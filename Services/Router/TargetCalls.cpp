// Calls to plain services over HTTP.

#include <Router/TargetCalls.h>

#include <LibPlatform/BlockingHttpClient.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Wisteria {

namespace detail {

constexpr const char *callPath = "/v1/calls";
constexpr int statusOverloaded = 503;
constexpr std::size_t maxIdempotentAttempts = 3;
// An urgent lookup leaves a silent target after this long.
constexpr absl::Duration idempotentAttemptTimeout = absl::Milliseconds(700);
constexpr absl::Duration retryAfterFailure = absl::Seconds(1);

std::string joined(const std::vector<TargetId> &targets)
{
    return absl::StrJoin(targets, ",", [](std::string *out, const TargetId &it) { out->append(it.value()); });
}

} // namespace detail

TargetCalls::TargetCalls(EventSink &sink, PlainTargets &targets, DecisionLog &log, Metrics &metrics,
                         std::size_t maxThreads)
    : m_sink(sink), m_targets(targets), m_log(log), m_metrics(metrics), m_pool("target-call", maxThreads)
{
}

void TargetCalls::noteChoice(std::string_view request, const PlainTargets::Slot &slot,
                             std::string_view reason)
{
    m_log.recordLine(absl::StrCat(
        "decision=dispatch request=", std::string(request), " chosen=", slot.target().id.value(),
        " alternatives=", detail::joined(slot.alternatives()), " reason=\"", std::string(reason), "\""));
}

void TargetCalls::dispatchOnce(CallId call, const ServiceName &service, const IdempotencyKey &key,
                               std::string body, absl::Duration timeout)
{
    m_pool.post([this, call, service, key, body = std::move(body), timeout] {
        send(call, service, key, body, timeout);
    });
}

void TargetCalls::send(CallId call, const ServiceName &service, const IdempotencyKey &key,
                       const std::string &body, absl::Duration timeout)
{
    auto slot = m_targets.acquire(service, {});
    if (!slot) {
        m_sink.post(LedgerEvent(DispatchFailed{call, BytesSent::None}));
        return;
    }
    noteChoice(key.value(), *slot, "non-idempotent, least outstanding");
    m_metrics.count("dispatches_total");
    const BlockingHttpClient client(slot->target().address, timeout);
    HttpFields fields;
    fields.set("Idempotency-Key", key.value());
    const auto result = client.post(detail::callPath, body, std::move(fields));
    if (result) {
        m_sink.post(LedgerEvent(TargetAnswered{call, result->head.status, result->body}));
        return;
    }
    auto sent = wasNeverSent(result.error()) ? BytesSent::None : BytesSent::Maybe;
    if (sent == BytesSent::None)
        m_sink.post(MembershipEvent(TargetObserved{slot->target().id, false}));
    m_sink.post(LedgerEvent(DispatchFailed{call, sent}));
}

CallAnswer TargetCalls::runIdempotent(const ServiceName &service, const std::string &body,
                                      absl::Time deadline)
{
    std::vector<TargetId> tried;
    Error last{ErrorCode::NoTargetAvailable, service.value(), detail::retryAfterFailure};
    while (tried.size() < detail::maxIdempotentAttempts) {
        auto remaining = deadline - monotonicNow();
        if (remaining <= absl::ZeroDuration()) {
            last = Error{ErrorCode::DeadlineExceeded, {}, detail::retryAfterFailure};
            break;
        }
        auto slot = m_targets.acquire(service, tried);
        if (!slot) {
            last = tried.empty() ? slot.error() : last;
            break;
        }
        noteChoice("-", *slot, tried.empty() ? "idempotent, least outstanding" : "retry after a failure");
        tried.push_back(slot->target().id);
        const BlockingHttpClient client(slot->target().address,
                                        std::min(remaining, detail::idempotentAttemptTimeout));
        const auto result = client.post(detail::callPath, body);
        if (result && result->head.status != detail::statusOverloaded)
            return CallAnswer{CallOutcome::Ran, result->head.status, result->body};
        last = Error{result ? ErrorCode::Overloaded : ErrorCode::ConnectionLost, slot->target().id.value(),
                     detail::retryAfterFailure};
        if (!result)
            m_sink.post(MembershipEvent(TargetObserved{slot->target().id, false}));
    }
    // The operation may be repeated, so "unknown" would tell the caller nothing that it needs.
    auto outcome = tried.empty() ? CallOutcome::NotRun : CallOutcome::Unknown;
    return CallAnswer{outcome, 0, {}, last};
}

} // namespace Wisteria
