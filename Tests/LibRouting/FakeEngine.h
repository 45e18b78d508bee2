// An engine that dies, pauses, cuts streams and refuses. Its tokens form a chain: each carries a hash of the
// token before it and of its own stream's salt, so that a token that continues another prefix is found out.

#pragma once

#include "FakeClock.h"

#include <LibCore/Random.h>
#include <LibRouting/Events.h>

#include <set>

namespace Wisteria {

// One router's hold on a stream: its process number and its attempt.
using FakeLink = std::pair<std::uint64_t, AttemptId>;

enum class DeathKind { ClosesStreams, Silent };

class FakeEngine
{
public:
    using Sink = std::function<void(std::uint64_t router, RoutingEvent)>;

    FakeEngine(TargetId id, FakeClock &clock, RandomSource &random, Sink sink)
        : m_id(std::move(id)), m_clock(clock), m_random(random), m_sink(std::move(sink))
    {
    }

    // The token that follows `previous` in a stream with the salt.
    [[nodiscard]] static std::string token(const GenerationId &, const std::string &previous,
                                           std::uint64_t salt);
    // Whether the text is such a token, whatever its stream.
    [[nodiscard]] static bool continues(const GenerationId &, const std::string &previous,
                                        const std::string &text);

    // `prefix` is the answer up to the start; the whole answer has `length` tokens.
    void start(FakeLink, const StartAttempt &, std::vector<std::string> prefix, std::uint64_t length,
               FinishReason);
    void reattach(FakeLink, const ReattachAttempt &);
    // An order to cancel names the stream, so that one of an earlier holder hits its present one too.
    void cancel(FakeLink);

    void die(DeathKind);
    void revive();
    void pause(absl::Duration);
    void cutStreams();
    void refuseFor(absl::Duration duration) { m_refusesUntil = m_clock.now() + duration; }

    [[nodiscard]] const TargetId &id() const { return m_id; }
    [[nodiscard]] std::uint32_t running() const;

private:
    struct Stream
    {
        GenerationId generation;
        std::uint64_t salt{0};
        std::uint64_t start{0};
        std::uint64_t length{0};
        FinishReason reason{FinishReason::Stop};
        // The prefix and what was made so far.
        std::vector<std::string> texts;
        std::optional<FakeLink> link;
        std::set<FakeLink> pastLinks;
        bool isCancelled{false};
    };

    void send(FakeLink, const RoutingEvent &);
    void step(const std::string &stream, std::uint64_t incarnation);
    [[nodiscard]] absl::Duration between(int leastMs, int mostMs);

    TargetId m_id;
    FakeClock &m_clock;
    RandomSource &m_random;
    Sink m_sink;
    std::map<std::string, Stream> m_streams;
    // A connection keeps the order of its bytes.
    std::map<FakeLink, absl::Time> m_lastSent;
    std::uint64_t m_incarnation{1};
    std::uint64_t m_lastStream{0};
    bool m_isDead{false};
    DeathKind m_death{DeathKind::ClosesStreams};
    absl::Time m_pausedUntil{absl::InfinitePast()};
    absl::Time m_refusesUntil{absl::InfinitePast()};
};

} // namespace Wisteria
