// One attempt to execute a request on one target: sends the request and reports the response as typed events.

#pragma once

#include <LibForwarding/EventSplitter.h>
#include <LibForwarding/ForwardedRequest.h>
#include <LibGateway/Dialect.h>
#include <LibNet/HttpClient.h>

#include <memory>
#include <string>
#include <vector>

namespace Wisteria {

class TargetAttempt;

// Exactly one of attemptNotRun, streamEnded, responseReceived and attemptLost is called, as the last call,
// unless the attempt is cancelled. headReceived may be called once before it, and before streamOpened.
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;
    // The target has accepted the connection. Called once at most, before the calls below.
    virtual void attemptReached(const TargetAttempt &) = 0;
    // The target itself answered, with a response of any kind.
    virtual void headReceived(const TargetAttempt &, const HttpResponseHead &) = 0;
    // `wasRefused` means that a target received the request and rejected it without executing it.
    virtual void attemptNotRun(const TargetAttempt &, TargetFault, bool wasRefused) = 0;
    virtual void streamOpened(const TargetAttempt &, const HttpResponseHead &) = 0;
    virtual void eventsReceived(const TargetAttempt &, const std::vector<RawEvent> &) = 0;
    virtual void streamEnded(const TargetAttempt &, AnswerEnd) = 0;
    virtual void responseReceived(const TargetAttempt &, HttpResponse, AnswerEnd) = 0;
    virtual void attemptLost(const TargetAttempt &, TargetFault) = 0;
};

class TargetAttempt final : public HttpAnswerListener, public std::enable_shared_from_this<TargetAttempt>
{
public:
    // Size limit of plain responses, far above the largest expected one.
    static constexpr std::size_t maxResponseBytes = std::size_t{4} << 20U;

    TargetAttempt(const Dialect &dialect, RequestId id, AttemptListener &listener)
        : m_dialect(dialect), m_id(std::move(id)), m_listener(&listener)
    {
    }

    // Last event that the caller has received. Events up to it are dropped; a gap after it is an error.
    void setLastEvent(std::optional<EventNumber> last) { m_lastEvent = last; }
    // `body` follows the request's head; the connection keeps it until it is written.
    void start(std::shared_ptr<HttpClientConnection>, std::string head, absl::Duration connectTimeout,
               std::shared_ptr<const std::string> body);
    // Closes the connection; the listener is not called any more.
    void cancel();

    void connected() override;
    void answerHead(const HttpResponseHead &) override;
    void answerBody(std::string_view) override;
    void answerEnded(AnswerEnd) override;
    void answerFailed(HttpFailure) override;
    // Plain responses are passed on when they are complete; a stream that waits would look silent.
    [[nodiscard]] bool canWaitForRoom() const override { return !m_isStream; }
    // The head of the answer; empty before it.
    [[nodiscard]] const HttpResponseHead &head() const { return m_response.head; }
    // The target has ended its answer by its framing, if not as it should have. It is no longer at work on
    // the request. The end of a connection doesn't show that.
    [[nodiscard]] bool hasAnswerEnded() const { return m_hasAnswerEnded; }
    // The connection was reset after an answer that ended with it, which may lack its end.
    [[nodiscard]] bool wasResetAfterAnswer() const { return m_connection && m_connection->hasBeenReset(); }
    // The rest of the response may wait in the socket for room in the memory account, so that its delay says
    // nothing about the target.
    [[nodiscard]] bool isWaitingForRoom() const
    {
        return canWaitForRoom() && !MemoryAccount::ofThread().hasRoomFor(m_response.body.size());
    }

private:
    void fail(TargetFault);
    void handleEvents(std::string_view);
    AttemptListener *takeListener() { return std::exchange(m_listener, nullptr); }

    const Dialect &m_dialect;
    RequestId m_id;
    // Null after the final call.
    AttemptListener *m_listener;
    // Null once the answer has ended within its connection, which may then carry another request.
    std::shared_ptr<HttpClientConnection> m_connection;
    std::optional<EventNumber> m_lastEvent;
    // Of this run's events, those included that are dropped.
    std::optional<EventNumber> m_highestReceived;
    HttpResponse m_response;
    // For the body of `m_response`.
    MemoryReservation m_reservation;
    ResponseClass m_responseClass{ResponseClass::Untrusted};
    bool m_isStream{false};
    bool m_hasAnswerEnded{false};
    EventSplitter m_splitter;
};

} // namespace Wisteria
