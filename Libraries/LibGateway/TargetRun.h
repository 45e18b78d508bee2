// One run of a request on a target: its attempt and the load that it adds to targets.

#pragma once

#include <LibForwarding/TargetPool.h>
#include <LibGateway/GatewayContext.h>
#include <LibGateway/TargetAttempt.h>

#include <memory>
#include <optional>
#include <utility>

namespace Wisteria {

// Cancels the attempt and subtracts the load when it is destroyed.
class TargetRun
{
public:
    struct Origin
    {
        // The target resumes from a copy of an earlier run's KV cache.
        bool isFromCopy{false};
        // The target had no unprocessed prompt of another request when the attempt was sent.
        bool wasTargetIdle{false};
        // Number of the attempt.
        int number{1};
        // The request must not be sent a second time.
        bool isAtMostOnce{false};
        // Time to the first event or to the response that was expected.
        absl::Duration expectedTime{};
        // Estimated time until the target starts with the prompt, and time that it then needs.
        absl::Duration expectedWait;
        absl::Duration prefillTime;
    };

    TargetRun(GatewayContext &, const ForwardingTarget &, const Origin &, absl::Time now);
    ~TargetRun();
    TargetRun(const TargetRun &) = delete;
    TargetRun &operator=(const TargetRun &) = delete;

    // The target may have restarted since.
    [[nodiscard]] const TargetProcess &process() const { return m_process; }
    [[nodiscard]] const TargetId &target() const { return m_process.id; }
    [[nodiscard]] const Origin &origin() const { return m_origin; }
    [[nodiscard]] absl::Time sentAt() const { return m_sentAt; }

    void setAttempt(std::shared_ptr<TargetAttempt> attempt) { m_attempt = std::move(attempt); }
    [[nodiscard]] const std::shared_ptr<TargetAttempt> &attempt() const { return m_attempt; }
    // The target has ended its answer, so that it is no longer at work.
    [[nodiscard]] bool hasAnswerEnded() const { return m_attempt && m_attempt->hasAnswerEnded(); }
    // Closes the attempt's connection. The load stays until the run is destroyed.
    void cancel();

    // Adds the request to the target's load.
    void reserve(const TargetLoad &);
    // Adds the copy to the holder's load, and subtracts it from the holder before.
    void reserveCopy(const std::optional<TargetId> &holder, std::int64_t memoryTokens);
    [[nodiscard]] const std::optional<TargetId> &copyHolder() const { return m_copyHolder; }

    void setStreamHead(const HttpResponseHead &, absl::Time now);
    // Without the fields of the connection to the target. Empty before the head of a stream was received.
    [[nodiscard]] const std::optional<HttpResponseHead> &streamHead() const { return m_streamHead; }
    // Returns whether these are the first ones.
    bool recordEvents(std::size_t n, absl::Time now);
    [[nodiscard]] std::int64_t eventCount() const { return m_eventCount; }
    [[nodiscard]] std::optional<absl::Time> firstEventAt() const { return m_firstEventAt; }
    // Unset before the head of a stream was received.
    [[nodiscard]] std::optional<absl::Time> acceptedAt() const { return m_acceptedAt; }
    // Returns whether this was the first call: a run ends once.
    [[nodiscard]] bool markEnded()
    {
        m_counted.reset();
        return !std::exchange(m_hasEnded, true);
    }
    // Version of the target when the run began.
    [[nodiscard]] const TargetVersion &version() const { return m_version; }
    [[nodiscard]] bool hasEnded() const { return m_hasEnded; }
    // Time since the first event; zero before it.
    [[nodiscard]] absl::Duration writingTime(absl::Time now) const;
    struct DecodingWindow
    {
        std::int64_t events{0};
        absl::Duration duration;
    };
    // Events since the last window ended, or since the first event, once this has taken `minLength`.
    [[nodiscard]] std::optional<DecodingWindow> takeDecodingWindow(absl::Duration minLength, absl::Time now);

private:
    void markPromptProcessed();

    GatewayContext &m_gatewayContext;
    TargetProcess m_process;
    TargetVersion m_version;
    Origin m_origin;
    absl::Time m_sentAt;
    std::shared_ptr<TargetAttempt> m_attempt;
    TargetLoad m_load;
    std::optional<TargetId> m_copyHolder;
    TargetLoad m_copyLoad;
    std::optional<HttpResponseHead> m_streamHead;
    std::optional<absl::Time> m_acceptedAt;
    std::optional<absl::Time> m_firstEventAt;
    std::int64_t m_eventCount{0};
    absl::Time m_windowStart;
    // Events before the window.
    std::int64_t m_windowBegin{0};
    bool m_hasEnded{false};
    // Null without rollouts, and after the end.
    std::unique_ptr<CountedRun> m_counted;
};

} // namespace Wisteria
