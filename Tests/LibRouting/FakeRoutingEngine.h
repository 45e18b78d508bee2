// A simulated engine that can crash, pause, close its streams and report overload. Each token holds a hash of
// the previous token and of the stream's salt, so that a test detects a token that does not continue the
// delivered prefix.

#pragma once

#include "FakeRoutingClock.h"

#include <LibCore/Random.h>
#include <LibRouting/Events.h>

#include <set>

namespace Wisteria {

// The router process (by number) and the attempt that receive a stream.
using FakeStreamConsumer = std::pair<std::uint64_t, AttemptId>;

// ClosesStreams: consumers see their streams fail. Silent: events stop without an error.
enum class FakeCrashMode { ClosesStreams, Silent };

class FakeRoutingEngine
{
public:
    using Sink = std::function<void(std::uint64_t router, RoutingEvent)>;

    FakeRoutingEngine(TargetId id, FakeRoutingClock &clock, RandomSource &random, Sink sink)
        : m_id(std::move(id)), m_clock(clock), m_random(random), m_sink(std::move(sink))
    {
    }

    // The token that follows `previous` in a stream with this salt.
    [[nodiscard]] static std::string token(const GenerationId &, const std::string &previous,
                                           std::uint64_t salt);
    // Whether the text is a token that follows `previous`, in a stream with any salt.
    [[nodiscard]] static bool isNextToken(const GenerationId &, const std::string &previous,
                                          const std::string &text);

    // `prefix` holds the tokens that precede this stream; the complete answer has `length` tokens.
    void start(FakeStreamConsumer, const StartAttempt &, std::vector<std::string> prefix,
               std::uint64_t length, FinishReason);
    void reattach(FakeStreamConsumer, const ReattachAttempt &);
    // Cancels the stream itself, so a cancel from a previous consumer also ends it for the current one.
    void cancel(FakeStreamConsumer);

    void crash(FakeCrashMode);
    void restart();
    void pause(absl::Duration);
    // Fails all streams for their consumers. Generation continues, and consumers can re-attach.
    void disconnectStreams();
    // Rejects new attempts with EngineOverloaded for this time.
    void reportOverloadFor(absl::Duration duration) { m_overloadedUntil = m_clock.now() + duration; }

    [[nodiscard]] const TargetId &id() const { return m_id; }
    // Streams that are neither cancelled nor complete.
    [[nodiscard]] std::uint32_t runningStreams() const;

private:
    struct Stream
    {
        GenerationId generation;
        std::uint64_t salt{0};
        std::uint64_t startOffset{0};
        std::uint64_t length{0};
        FinishReason reason{FinishReason::Stop};
        // The prefix and the tokens generated so far.
        std::vector<std::string> tokens;
        std::optional<FakeStreamConsumer> consumer;
        std::set<FakeStreamConsumer> previousConsumers;
        bool isCancelled{false};
    };

    void send(FakeStreamConsumer, const RoutingEvent &);
    void generateToken(const std::string &stream, std::uint64_t incarnation);
    [[nodiscard]] absl::Duration randomDelay(int minMs, int maxMs);

    TargetId m_id;
    FakeRoutingClock &m_clock;
    RandomSource &m_random;
    Sink m_sink;
    std::map<std::string, Stream> m_streams;
    // Events of one connection are delivered in order.
    std::map<FakeStreamConsumer, absl::Time> m_lastDeliveryTimes;
    std::uint64_t m_incarnation{1};
    std::uint64_t m_lastStreamNumber{0};
    bool m_isDown{false};
    FakeCrashMode m_crashMode{FakeCrashMode::ClosesStreams};
    absl::Time m_pausedUntil{absl::InfinitePast()};
    absl::Time m_overloadedUntil{absl::InfinitePast()};
};

} // namespace Wisteria
