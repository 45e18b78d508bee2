// Token streams, event delivery and failures of the simulated engine.

#include "FakeRoutingEngine.h"

#include <functional>

namespace Wisteria {

std::string FakeRoutingEngine::token(const GenerationId &generation, const std::string &previous,
                                     std::uint64_t salt)
{
    const std::string material = generation.value() + "/" + previous + "/" + std::to_string(salt);
    return std::to_string(salt) + ":" + std::to_string(std::hash<std::string>()(material));
}

bool FakeRoutingEngine::isNextToken(const GenerationId &generation, const std::string &previous,
                                    const std::string &text)
{
    const auto salt = std::stoull(text.substr(0, text.find(':')));
    return text == token(generation, previous, salt);
}

void FakeRoutingEngine::start(FakeStreamConsumer consumer, const StartAttempt &action,
                              std::vector<std::string> prefix, std::uint64_t length, FinishReason reason)
{
    if (m_isDown) {
        if (m_crashMode == FakeCrashMode::ClosesStreams)
            send(consumer, AttemptFailed{consumer.second, AttemptFailure::NotStarted});
        return;
    }
    if (m_clock.now() < m_overloadedUntil) {
        send(consumer, AttemptFailed{consumer.second, AttemptFailure::EngineOverloaded});
        return;
    }
    const std::string name = std::to_string(m_incarnation) + "." + std::to_string(++m_lastStreamNumber);
    m_streams[name] = Stream{.generation = action.generation,
                             .salt = m_random.below(1000000),
                             .startOffset = action.from.value(),
                             .length = length,
                             .reason = reason,
                             .tokens = std::move(prefix),
                             .consumer = consumer};
    send(consumer, AttemptStarted{consumer.second, EngineStreamId(name)});
    m_clock.after(randomDelay(20, 300), [this, name, at = m_incarnation] { generateToken(name, at); });
}

void FakeRoutingEngine::reattach(FakeStreamConsumer consumer, const ReattachAttempt &action)
{
    if (m_isDown) {
        if (m_crashMode == FakeCrashMode::ClosesStreams)
            send(consumer, AttemptFailed{consumer.second, AttemptFailure::NotStarted});
        return;
    }
    auto it = m_streams.find(action.stream.value());
    if (it == m_streams.end() || it->second.isCancelled) {
        send(consumer, AttemptFailed{consumer.second, AttemptFailure::StreamUnknown});
        return;
    }
    Stream &stream = it->second;
    if (stream.consumer)
        stream.previousConsumers.insert(*stream.consumer);
    stream.consumer = consumer;
    // Some engines resend the stream from its first token after a re-attach.
    std::uint64_t from = m_random.below(4) == 0 ? stream.startOffset : action.from.value();
    for (; from < stream.tokens.size(); ++from)
        send(consumer, TokenArrived{consumer.second, TokenOffset(from), stream.tokens[from]});
    if (stream.tokens.size() == stream.length)
        send(consumer, AttemptFinished{consumer.second, TokenOffset(stream.length), stream.reason});
}

void FakeRoutingEngine::cancel(FakeStreamConsumer consumer)
{
    for (auto &[name, stream] : m_streams) {
        if (stream.isCancelled
            || (stream.consumer != consumer && !stream.previousConsumers.contains(consumer)))
            continue;
        stream.isCancelled = true;
        if (stream.consumer && stream.consumer != consumer)
            send(*stream.consumer, AttemptFailed{stream.consumer->second, AttemptFailure::StreamLost});
    }
}

void FakeRoutingEngine::crash(FakeCrashMode mode)
{
    if (m_isDown)
        return;
    m_isDown = true;
    m_crashMode = mode;
    ++m_incarnation;
    if (mode == FakeCrashMode::ClosesStreams)
        disconnectStreams();
    m_streams.clear();
}

void FakeRoutingEngine::restart()
{
    m_isDown = false;
}

void FakeRoutingEngine::pause(absl::Duration duration)
{
    m_pausedUntil = std::max(m_pausedUntil, m_clock.now() + duration);
}

void FakeRoutingEngine::disconnectStreams()
{
    for (auto &[name, stream] : m_streams) {
        if (!stream.consumer || stream.isCancelled)
            continue;
        send(*stream.consumer, AttemptFailed{stream.consumer->second, AttemptFailure::StreamLost});
        stream.previousConsumers.insert(*stream.consumer);
        stream.consumer.reset();
    }
}

std::uint32_t FakeRoutingEngine::runningStreams() const
{
    std::uint32_t n = 0;
    for (const auto &[name, stream] : m_streams)
        n += stream.isCancelled || stream.tokens.size() == stream.length ? 0 : 1;
    return n;
}

void FakeRoutingEngine::send(FakeStreamConsumer consumer, const RoutingEvent &event)
{
    // Drops 1 in 500 tokens, as a faulty engine would.
    if (std::holds_alternative<TokenArrived>(event) && m_random.below(500) == 0)
        return;
    absl::Time &deliveryTime = m_lastDeliveryTimes[consumer];
    deliveryTime = std::max({deliveryTime, m_pausedUntil, m_clock.now() + randomDelay(1, 10)});
    m_clock.at(deliveryTime, [this, consumer, event] { m_sink(consumer.first, event); });
    // Duplicates 1 in 50 events; the second copy is up to 3 seconds late.
    if (m_random.below(50) == 0)
        m_clock.at(deliveryTime + randomDelay(1, 3000),
                   [this, consumer, event] { m_sink(consumer.first, event); });
}

void FakeRoutingEngine::generateToken(const std::string &name, std::uint64_t incarnation)
{
    if (m_isDown || incarnation != m_incarnation)
        return;
    Stream &stream = m_streams.at(name);
    if (stream.isCancelled)
        return;
    if (m_clock.now() < m_pausedUntil) {
        m_clock.at(m_pausedUntil, [this, name, incarnation] { generateToken(name, incarnation); });
        return;
    }
    if (stream.tokens.size() < stream.length) {
        const std::string previous = stream.tokens.empty() ? "" : stream.tokens.back();
        stream.tokens.push_back(token(stream.generation, previous, stream.salt));
        if (stream.consumer)
            send(*stream.consumer,
                 TokenArrived{stream.consumer->second, TokenOffset(stream.tokens.size() - 1),
                              stream.tokens.back()});
    }
    if (stream.tokens.size() < stream.length)
        m_clock.after(randomDelay(10, 60), [this, name, incarnation] { generateToken(name, incarnation); });
    else if (stream.consumer)
        send(*stream.consumer,
             AttemptFinished{stream.consumer->second, TokenOffset(stream.length), stream.reason});
}

absl::Duration FakeRoutingEngine::randomDelay(int minMs, int maxMs)
{
    const auto range = static_cast<std::uint64_t>(maxMs - minMs) + 1;
    return absl::Milliseconds(minMs + static_cast<int>(m_random.below(range)));
}

} // namespace Wisteria
