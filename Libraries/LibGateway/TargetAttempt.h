// One request on its way to one target: sends it and turns what comes back into typed events.

#pragma once

#include <LibForwarding/EventSplitter.h>
#include <LibForwarding/ForwardedRequest.h>
#include <LibGateway/Dialect.h>
#include <LibNet/HttpClient.h>

#include <memory>
#include <string>
#include <vector>

namespace Wisteria {

// Exactly one of the ends is reported: not run, stream ended, answer or lost.
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;
    // `wasRefused` tells that a target saw the request and said that it did not run it.
    virtual void attemptNotRun(TargetFault, bool wasRefused) = 0;
    virtual void streamOpened(const HttpResponseHead &) = 0;
    virtual void eventsReceived(const std::vector<RawEvent> &) = 0;
    virtual void streamEnded() = 0;
    virtual void responseReceived(HttpResponse) = 0;
    virtual void attemptLost(TargetFault) = 0;
};

class TargetAttempt final : public HttpAnswerListener, public std::enable_shared_from_this<TargetAttempt>
{
public:
    // Plain answers are collected up to this size. Source: above the largest answer of the users' sheets by
    // far.
    static constexpr std::size_t maxResponseBytes = std::size_t{4} << 20U;

    TargetAttempt(const Dialect &dialect, RequestId id, AttemptListener &listener)
        : m_dialect(dialect), m_id(std::move(id)), m_listener(&listener)
    {
    }

    // The event up to which the caller holds the stream; events up to it are dropped, and a gap after it is
    // an error.
    void setLastEvent(std::optional<EventNumber> last) { m_lastEvent = last; }
    void start(std::shared_ptr<HttpClientConnection>, std::string request, absl::Duration connectTimeout);
    // Closes the connection; nothing is reported any more.
    void cancel();

    void answerHead(const HttpResponseHead &) override;
    void answerBody(std::string_view) override;
    void answerEnded() override;
    void answerFailed(HttpFailure) override;

private:
    void fail(TargetFault);
    void handleEvents(std::string_view);
    AttemptListener *takeListener() { return std::exchange(m_listener, nullptr); }

    const Dialect &m_dialect;
    RequestId m_id;
    // Null once the end was reported.
    AttemptListener *m_listener;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::optional<EventNumber> m_lastEvent;
    HttpResponse m_response;
    ResponseClass m_responseClass{ResponseClass::Untrusted};
    bool m_isStream{false};
    EventSplitter m_splitter;
};

} // namespace Wisteria
