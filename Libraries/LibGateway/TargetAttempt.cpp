// Classifies response heads, collects plain responses and splits streams into events.

#include <LibGateway/TargetAttempt.h>

#include <algorithm>

namespace Wisteria {

void TargetAttempt::start(std::shared_ptr<HttpClientConnection> connection, std::string head,
                          absl::Duration connectTimeout, std::shared_ptr<const std::string> body)
{
    m_connection = std::move(connection);
    m_connection->send(std::move(head), weak_from_this(), connectTimeout, std::move(body));
}

void TargetAttempt::cancel()
{
    m_listener = nullptr;
    if (m_connection)
        m_connection->cancel();
}

void TargetAttempt::fail(TargetFault fault)
{
    auto *listener = takeListener();
    if (m_connection)
        m_connection->cancel();
    if (listener)
        listener->attemptLost(*this, fault);
}

void TargetAttempt::connected()
{
    if (m_listener)
        m_listener->attemptReached(*this);
}

void TargetAttempt::answerHead(const HttpResponseHead &head)
{
    m_response.head = head;
    m_responseClass = m_dialect.classifyResponse(
        head, m_id, m_connection->hasAnsweredBefore() ? ConnectionAge::Kept : ConnectionAge::New);
    if (m_responseClass == ResponseClass::Untrusted) {
        fail(TargetFault::InvalidResponse);
        return;
    }
    // A 421 comes from the process that replaced the target.
    if (m_responseClass != ResponseClass::RejectedReplaced && m_listener)
        m_listener->headReceived(*this, head);
    if (m_responseClass != ResponseClass::Executed) {
        // The head of a rejection is authoritative. Its body may be slow or have no end.
        std::exchange(m_connection, nullptr)->discardRest();
        auto *listener = takeListener();
        if (listener)
            listener->attemptNotRun(*this,
                                    m_responseClass == ResponseClass::RejectedReplaced
                                        ? TargetFault::Gone
                                        : TargetFault::InvalidResponse,
                                    true);
        return;
    }
    m_isStream = m_dialect.isEventStream(head);
    if (m_isStream && m_listener)
        m_listener->streamOpened(*this, head);
}

void TargetAttempt::answerBody(std::string_view data)
{
    if (m_isStream) {
        handleEvents(data);
        return;
    }
    m_response.body += data;
    m_reservation.resize(m_response.body.capacity());
    if (m_response.body.size() > maxResponseBytes)
        fail(TargetFault::InvalidResponse);
}

void TargetAttempt::handleEvents(std::string_view data)
{
    auto events = m_splitter.feed(data);
    if (!events) {
        fail(TargetFault::InvalidResponse);
        return;
    }
    std::vector<RawEvent> newEvents;
    for (auto &it : *events) {
        if (!it.number) {
            fail(TargetFault::InvalidResponse);
            return;
        }
        m_highestReceived = std::max(m_highestReceived, it.number);
        if (m_lastEvent && *it.number <= *m_lastEvent)
            continue;
        if (m_lastEvent && it.number->value() != m_lastEvent->value() + 1) {
            fail(TargetFault::InvalidResponse);
            return;
        }
        m_lastEvent = it.number;
        newEvents.push_back(std::move(it));
    }
    if (!newEvents.empty() && m_listener)
        m_listener->eventsReceived(*this, newEvents);
}

void TargetAttempt::answerEnded(AnswerEnd end)
{
    if (end == AnswerEnd::Framed)
        m_connection.reset();
    m_hasAnswerEnded = end == AnswerEnd::Framed;
    // A generation has at least one event; only a resumed one may have none left.
    if (m_isStream && !m_highestReceived && (end == AnswerEnd::ConnectionClosed || !m_lastEvent)) {
        fail(end == AnswerEnd::ConnectionClosed ? TargetFault::ConnectionLost : TargetFault::InvalidResponse);
        return;
    }
    // A run that repeats events and ends before the caller's last one is another generation.
    const bool endsTooEarly = m_highestReceived && m_lastEvent && *m_highestReceived < *m_lastEvent;
    if (m_isStream && (endsTooEarly || m_splitter.hasPartialEvent())) {
        fail(TargetFault::InvalidResponse);
        return;
    }
    auto *listener = takeListener();
    if (!listener)
        return;
    // The response is charged to the caller's connection from now on.
    m_reservation.resize(0);
    if (m_isStream)
        listener->streamEnded(*this, end);
    else
        listener->responseReceived(*this, std::move(m_response), end);
}

void TargetAttempt::answerFailed(HttpFailure failure)
{
    m_connection.reset();
    auto *listener = takeListener();
    if (!listener)
        return;
    if (failure == HttpFailure::Refused)
        listener->attemptNotRun(*this, TargetFault::Refused, false);
    else if (failure == HttpFailure::NotConnected)
        listener->attemptNotRun(*this, TargetFault::Unreachable, false);
    else if (failure == HttpFailure::BadAnswer)
        listener->attemptLost(*this, TargetFault::InvalidResponse);
    else
        listener->attemptLost(*this, TargetFault::ConnectionLost);
}

} // namespace Wisteria
