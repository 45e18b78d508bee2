// An engine that dies, pauses, cuts streams and refuses. Its tokens form a chain: each carries a hash of the
// token before it and of its own stream's salt, so that a token that continues another prefix is found out.

#pragma once

#include "FakeRoutingClock.h"

#include <LibCore/Random.h>
#include <LibRouting/Events.h>

#include <set>

namespace Wisteria {

// One router's hold on a stream: its process number and its attempt.
using FakeStreamConsumer = std::pair<std::uint64_t, AttemptId>;

enum class FakeCrashMode { ClosesStreams, Silent };

class FakeRoutingEngine
{
public:
    using Sink = std::function<void(std::uint64_t router, RoutingEvent)>;

    FakeRoutingEngine(TargetId id, FakeRoutingClock &clock, RandomSource &random, Sink sink)
        : m_id(std::move(id)), m_clock(clock), m_random(random), m_sink(std::move(sink))
    {
    }

    // The token that follows `previous` in a stream with the salt.
    [[nodiscard]] static std::string token(const GenerationId &, const std::string &previous,
                                           std::uint64_t salt);
    // Whether the text is such a token, whatever its stream.
    [[nodiscard]] static bool isNextToken(const GenerationId &, const std::string &previous,
                                          const std::string &text);

    // `prefix` is the answer up to the start; the whole answer has `length` tokens.
    void start(FakeStreamConsumer, const StartAttempt &, std::vector<std::string> prefix,
               std::uint64_t length, FinishReason);
    void reattach(FakeStreamConsumer, const ReattachAttempt &);
    // An order to cancel names the stream, so that one of an earlier holder hits its present one too.
    void cancel(FakeStreamConsumer);

    void crash(FakeCrashMode);
    void restart();
    void pause(absl::Duration);
    void disconnectStreams();
    void reportOverloadFor(absl::Duration duration) { m_overloadedUntil = m_clock.now() + duration; }

    [[nodiscard]] const TargetId &id() const { return m_id; }
    [[nodiscard]] std::uint32_t runningStreams() const;

private:
    struct Stream
    {
        GenerationId generation;
        std::uint64_t salt{0};
        std::uint64_t startOffset{0};
        std::uint64_t length{0};
        FinishReason reason{FinishReason::Stop};
        // The prefix and what was made so far.
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
    // A connection keeps the order of its bytes.
    std::map<FakeStreamConsumer, absl::Time> m_lastDeliveryTimes;
    std::uint64_t m_incarnation{1};
    std::uint64_t m_lastStreamNumber{0};
    bool m_isDown{false};
    FakeCrashMode m_crashMode{FakeCrashMode::ClosesStreams};
    absl::Time m_pausedUntil{absl::InfinitePast()};
    absl::Time m_overloadedUntil{absl::InfinitePast()};
};

} // namespace Wisteria
