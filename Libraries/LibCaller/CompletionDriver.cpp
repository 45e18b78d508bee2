// A cut, a stall or a handover goes on elsewhere with the last event id and the text so far.

#include <LibCaller/CompletionDriver.h>

#include <LibCaller/RouterAnswer.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

CompletionDriver::CompletionDriver(const CompletionRequest &request, Transport &transport,
                                   AttemptPacer &pacer, absl::Duration stallLimit, TokenReceiver onToken)
    : m_request(request), m_transport(transport), m_pacer(pacer), m_stallLimit(stallLimit),
      m_stream(std::move(onToken))
{
}

ErrorOr<Completion> CompletionDriver::run()
{
    while (true) {
        auto entryPoint = TRY(m_pacer.next());
        if (TRY(attempt(entryPoint)) == Progress::Ended)
            return completion();
    }
}

ErrorOr<CompletionDriver::Progress> CompletionDriver::attempt(const RouterEndpoint &entryPoint)
{
    HttpRequest request;
    try {
        request = makeRequest();
    } catch (const nlohmann::json::exception &) {
        return makeError(ErrorCode::InvalidRequest, "the prompt is no valid UTF-8");
    }
    auto tokensBefore = m_stream.tokenCount();
    m_stream.beginConnection(entryPoint.router);
    ++m_connections;
    auto answer = m_transport.send(entryPoint.address, request, &m_stream);
    if (m_stream.tokenCount() > tokensBefore)
        m_pacer.recordProgress();
    if (!answer)
        return judge(entryPoint, answer.error().error);
    if (answer->status == detail::httpOk)
        return judge(entryPoint, {ErrorCode::ConnectionLost, "the stream ended early"});
    auto refusal = detail::errorOfAnswer(*answer);
    if (!detail::mayRetry(refusal))
        return tl::unexpected(refusal);
    m_pacer.recordFailure(entryPoint, refusal);
    return Progress::GoOn;
}

ErrorOr<CompletionDriver::Progress> CompletionDriver::judge(const RouterEndpoint &entryPoint,
                                                            const Error &cutReason)
{
    switch (m_stream.end()) {
    case StreamEnd::Complete:
    case StreamEnd::StoppedByUser:
        return Progress::Ended;
    case StreamEnd::GivenUp:
    case StreamEnd::Violation:
        return tl::unexpected(m_stream.error());
    case StreamEnd::HandOver:
        m_pacer.recordFailure(entryPoint, {ErrorCode::Draining, "the router handed the generation over"});
        return Progress::GoOn;
    case StreamEnd::Cut:
        break;
    }
    m_pacer.recordFailure(entryPoint, cutReason);
    return Progress::GoOn;
}

HttpRequest CompletionDriver::makeRequest() const
{
    nlohmann::json body{{"model", m_request.service.value()},
                        {"prompt", m_request.prompt},
                        {"max_tokens", m_request.maxTokens},
                        {"stream", true}};
    if (m_request.temperature)
        body["temperature"] = *m_request.temperature;
    if (m_request.seed)
        body["seed"] = *m_request.seed;
    auto remaining = m_pacer.remaining();
    auto timeoutMs = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(remaining));
    std::vector<HttpHeader> headers{
        {"Content-Type", "application/json"},
        {"Accept", "text/event-stream"},
        {"Wisteria-Workspace", m_request.workspace.value()},
        {"Wisteria-Urgency", m_request.urgency == Urgency::Urgent ? "urgent" : "patient"},
        {"Wisteria-Timeout-Ms", absl::StrCat(timeoutMs)}};
    if (!m_stream.lastEventId().empty()) {
        headers.push_back({"Last-Event-ID", m_stream.lastEventId()});
        body["received"] = m_stream.text();
    }
    return {"POST", "/v1/completions", std::move(headers), body.dump(), std::min(remaining, m_stallLimit)};
}

Completion CompletionDriver::completion() const
{
    return {m_stream.generation().value_or(GenerationId()), m_stream.text(), m_stream.tokenCount(),
            m_stream.finishReason(), m_connections - 1};
}

} // namespace Wisteria
