// Checks a call, runs it at most once or with retries, and says which of the three outcomes it had.

#include <Router/CallHandler.h>

#include <LibCore/JsonText.h>
#include <Router/CallHeaders.h>
#include <Router/HttpReply.h>

#include <absl/strings/ascii.h>

#include <algorithm>

namespace Wisteria {

using nlohmann::json;

namespace detail {

constexpr absl::Duration defaultCallPatience = absl::Seconds(30);
constexpr absl::Duration unknownRetryAfter = absl::Seconds(1);
constexpr std::size_t maxKeyLength = 200;
constexpr int statusUnknownOutcome = 504;

bool isValidKey(const std::string &key)
{
    return !key.empty() && key.size() <= maxKeyLength && std::all_of(key.begin(), key.end(), [](char c) {
        return absl::ascii_isgraph(static_cast<unsigned char>(c));
    });
}

void replyAnswer(httplib::Response &response, const CallAnswer &answer)
{
    if (answer.outcome == CallOutcome::Ran) {
        // A body that is no JSON travels as a text.
        auto result = parseUntrustedJson(answer.body).value_or(json(answer.body));
        replyJson(response, {{"outcome", "ran"}, {"status", answer.status}, {"result", result}});
        return;
    }
    auto error = answer.error.value_or(Error{ErrorCode::Internal});
    bool isUnknown = answer.outcome == CallOutcome::Unknown;
    replyError(response, error);
    replyJson(response, {{"outcome", isUnknown ? "unknown" : "not_run"}, {"error", errorBody(error)}},
              isUnknown ? statusUnknownOutcome : httpStatus(error.code));
}

} // namespace detail

CallHandler::CallHandler(RouterProcess &process) : m_process(process) { }

void CallHandler::handle(const httplib::Request &request, httplib::Response &response)
{
    auto call = readCall(request);
    if (!call) {
        // A request that is wrong was not run, and says so in the form that callers of calls expect.
        detail::replyAnswer(response, CallAnswer{CallOutcome::NotRun, 0, {}, call.error()});
        return;
    }
    if (call->isIdempotent)
        detail::replyAnswer(response, m_process.runIdempotent(call->service, call->body, call->deadline));
    else
        detail::replyAnswer(response, runOnce(*std::move(call)));
}

ErrorOr<CallHandler::Call> CallHandler::readCall(const httplib::Request &request)
{
    auto body = TRY(readJsonBody(request));
    Call call;
    call.workspace = TRY(readWorkspace(request));
    call.deadline = TRY(readDeadline(request, detail::defaultCallPatience));
    call.service = ServiceName(request.matches[1]);
    auto operation = TRY(readText(body, "operation"));
    if (body.contains("arguments") && !body["arguments"].is_object())
        return makeError(ErrorCode::InvalidRequest, "arguments must be an object");
    auto configuration = m_process.configuration();
    auto service = configuration->services.find(call.service);
    if (service == configuration->services.end() || service->second.kind != ServiceKind::Plain)
        return makeError(ErrorCode::UnknownService, call.service.value());
    if (!configuration->workspaces.contains(call.workspace))
        return makeError(ErrorCode::UnknownWorkspace, call.workspace.value());
    const auto &idempotent = service->second.idempotentOperations;
    call.isIdempotent = std::find(idempotent.begin(), idempotent.end(), operation) != idempotent.end();
    call.body = json{{"operation", operation}, {"arguments", body.value("arguments", json::object())}}.dump();
    if (call.isIdempotent)
        return call;
    auto key = request.get_header_value("Idempotency-Key");
    if (key.empty())
        return makeError(ErrorCode::MissingIdempotencyKey, operation);
    if (!detail::isValidKey(key))
        return makeError(ErrorCode::InvalidRequest, "Idempotency-Key must be 1 to 200 printable characters");
    call.key = IdempotencyKey(key);
    call.attempt = TRY(readAttempt(request));
    return call;
}

CallAnswer CallHandler::runOnce(Call call)
{
    struct Shared
    {
        absl::Notification done;
        CallAnswer answer;
    };
    auto shared = std::make_shared<Shared>();
    auto deadline = call.deadline;
    CallRequest request;
    request.workspace = call.workspace;
    request.service = call.service;
    request.key = call.key;
    request.body = std::move(call.body);
    request.deadline = deadline;
    request.attempt = call.attempt;
    request.answer = [shared](CallAnswer answer) {
        shared->answer = std::move(answer);
        shared->done.Notify();
    };
    if (auto submitted = m_process.submit(std::move(request)); !submitted) {
        // An earlier arrival of the same key may have run, so this router can't say more than that it does
        // not know.
        return CallAnswer{CallOutcome::Unknown, 0, {}, submitted.error()};
    }
    if (shared->done.WaitForNotificationWithTimeout(deadline - monotonicNow()))
        return shared->answer;
    return CallAnswer{
        CallOutcome::Unknown, 0, {}, Error{ErrorCode::DeadlineExceeded, {}, detail::unknownRetryAfter}};
}

} // namespace Wisteria
