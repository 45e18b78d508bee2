// A small fake of a model engine: continuous batching with a slots limit, prefill in chunks by uncached
// tokens, a bounded prefix cache, priorities, and losses.

#pragma once

#include "EventQueue.h"
#include "PrefixCache.h"

#include <LibRouting/Events.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace Wisteria::Measure {

// Work of the reference engine, of speed 1.
inline constexpr absl::Duration stepBase = absl::Milliseconds(24);
inline constexpr absl::Duration stepPerStream = absl::Microseconds(800);
inline constexpr absl::Duration prefillPerToken = absl::Microseconds(100);
inline constexpr std::uint32_t prefillChunkTokens = 512;
inline constexpr std::uint64_t cacheTokens = 60000;

// A router incarnation's hold on a stream.
struct StreamHolder
{
    std::uint64_t incarnation{0};
    AttemptId attempt;

    auto operator<=>(const StreamHolder &) const = default;
};

struct StreamRequest
{
    GenerationId generation;
    Urgency urgency{Urgency::Patient};
    PromptPrefixHash head;
    std::uint32_t promptTokens{0};
    std::uint32_t headTokens{0};
    std::uint32_t answerTokens{0};
    TokenOffset from;
    // Text of the last token of the prefix.
    std::string lastText;
};

enum class DeathKind { ClosesConnections, Silent };

class Engine
{
public:
    using Sink = std::function<void(std::uint64_t incarnation, std::vector<RoutingEvent>)>;

    Engine(TargetId id, std::uint32_t slots, double speed, EventQueue &queue, Sink sink);

    void start(StreamHolder, StreamRequest);
    void reattach(StreamHolder, const ReattachAttempt &);
    void cancel(StreamHolder);
    // The holder's process is gone. Its streams run on for a while, so that another router can take them.
    void dropHolder(std::uint64_t incarnation);

    void die(DeathKind);
    void revive();
    void pauseUntil(absl::Time end);

    [[nodiscard]] const TargetId &id() const { return m_id; }
    [[nodiscard]] bool isUp() const { return m_isUp; }
    [[nodiscard]] bool answers() const { return m_isUp && !isPaused(); }
    [[nodiscard]] LoadReported loadReport() const;
    // Changes of the cache since the last call.
    [[nodiscard]] CacheReported takeCacheChanges();
    // Generations whose caller waits for a stream of this engine.
    [[nodiscard]] std::vector<GenerationId> heldGenerations() const;
    // Engine time of the reference engine spent since the start.
    [[nodiscard]] absl::Duration work() const { return m_work; }

private:
    struct Stream
    {
        StreamRequest request;
        std::optional<StreamHolder> holder;
        std::uint32_t prefillLeft{0};
        // The next token's offset in the answer.
        std::uint64_t next{0};
        // Texts from `request.from` on.
        std::vector<std::string> texts;
        bool isRunning{false};
    };
    using Streams = std::map<EngineStreamId, Stream>;

    [[nodiscard]] bool isPaused() const { return m_isUp && m_queue.now() < m_pausedUntil; }
    // Runs the callback when the pause ends, unless the engine dies before.
    void whenAwake(EventQueue::Callback);
    void wake();
    void step();
    void endStep();
    void admitWaiting();
    // Spends the step's prefill tokens; urgent streams come first.
    std::uint32_t prefill();
    void decode(std::map<std::uint64_t, std::vector<RoutingEvent>> &out);
    [[nodiscard]] std::uint32_t uncachedTokens(const StreamRequest &);
    [[nodiscard]] std::uint32_t running() const;
    void fail(StreamHolder, AttemptFailure);

    TargetId m_id;
    std::uint32_t m_slots;
    double m_speed;
    EventQueue &m_queue;
    Sink m_sink;
    Streams m_streams;
    // Streams that wait for a slot, in the order of their arrival.
    std::deque<EngineStreamId> m_waiting;
    std::map<StreamHolder, EngineStreamId> m_holders;
    PrefixCache m_cache{cacheTokens};
    CacheReported m_cacheChanges;
    absl::Duration m_work;
    absl::Time m_pausedUntil{absl::InfinitePast()};
    // Invariant: steps of an earlier life find another number and do nothing.
    std::uint64_t m_life{0};
    std::uint64_t m_lastStream{0};
    bool m_isUp{true};
    DeathKind m_death{DeathKind::ClosesConnections};
    bool m_isStepping{false};
};

} // namespace Wisteria::Measure
