// Streams of the fake engine and its failures.

#include "FakeEngine.h"

#include <functional>

namespace Wisteria {

std::string FakeEngine::token(const GenerationId &generation, const std::string &previous, std::uint64_t salt)
{
    const std::string material = generation.value() + "/" + previous + "/" + std::to_string(salt);
    return std::to_string(salt) + ":" + std::to_string(std::hash<std::string>()(material));
}

bool FakeEngine::continues(const GenerationId &generation, const std::string &previous,
                           const std::string &text)
{
    const auto salt = std::stoull(text.substr(0, text.find(':')));
    return text == token(generation, previous, salt);
}

void FakeEngine::start(FakeLink link, const StartAttempt &action, std::vector<std::string> prefix,
                       std::uint64_t length, FinishReason reason)
{
    if (m_isDead) {
        if (m_death == DeathKind::ClosesStreams)
            send(link, AttemptFailed{link.second, AttemptFailure::NotStarted});
        return;
    }
    if (m_clock.now() < m_refusesUntil) {
        send(link, AttemptFailed{link.second, AttemptFailure::EngineOverloaded});
        return;
    }
    const std::string name = std::to_string(m_incarnation) + "." + std::to_string(++m_lastStream);
    m_streams[name] = Stream{.generation = action.generation,
                             .salt = m_random.below(1000000),
                             .start = action.from.value(),
                             .length = length,
                             .reason = reason,
                             .texts = std::move(prefix),
                             .link = link};
    send(link, AttemptStarted{link.second, EngineStreamId(name)});
    m_clock.after(between(20, 300), [this, name, at = m_incarnation] { step(name, at); });
}

void FakeEngine::reattach(FakeLink link, const ReattachAttempt &action)
{
    if (m_isDead) {
        if (m_death == DeathKind::ClosesStreams)
            send(link, AttemptFailed{link.second, AttemptFailure::NotStarted});
        return;
    }
    auto it = m_streams.find(action.stream.value());
    if (it == m_streams.end() || it->second.isCancelled) {
        send(link, AttemptFailed{link.second, AttemptFailure::StreamUnknown});
        return;
    }
    Stream &stream = it->second;
    if (stream.link)
        stream.pastLinks.insert(*stream.link);
    stream.link = link;
    // Some engines send the stream's first tokens again.
    std::uint64_t from = m_random.below(4) == 0 ? stream.start : action.from.value();
    for (; from < stream.texts.size(); ++from)
        send(link, TokenArrived{link.second, TokenOffset(from), stream.texts[from]});
    if (stream.texts.size() == stream.length)
        send(link, AttemptFinished{link.second, TokenOffset(stream.length), stream.reason});
}

void FakeEngine::cancel(FakeLink link)
{
    for (auto &[name, stream] : m_streams) {
        if (stream.isCancelled || (stream.link != link && !stream.pastLinks.contains(link)))
            continue;
        stream.isCancelled = true;
        if (stream.link && stream.link != link)
            send(*stream.link, AttemptFailed{stream.link->second, AttemptFailure::StreamLost});
    }
}

void FakeEngine::die(DeathKind kind)
{
    if (m_isDead)
        return;
    m_isDead = true;
    m_death = kind;
    ++m_incarnation;
    if (kind == DeathKind::ClosesStreams)
        cutStreams();
    m_streams.clear();
}

void FakeEngine::revive()
{
    m_isDead = false;
}

void FakeEngine::pause(absl::Duration duration)
{
    m_pausedUntil = std::max(m_pausedUntil, m_clock.now() + duration);
}

void FakeEngine::cutStreams()
{
    for (auto &[name, stream] : m_streams) {
        if (!stream.link || stream.isCancelled)
            continue;
        send(*stream.link, AttemptFailed{stream.link->second, AttemptFailure::StreamLost});
        stream.pastLinks.insert(*stream.link);
        stream.link.reset();
    }
}

std::uint32_t FakeEngine::running() const
{
    std::uint32_t n = 0;
    for (const auto &[name, stream] : m_streams)
        n += stream.isCancelled || stream.texts.size() == stream.length ? 0 : 1;
    return n;
}

void FakeEngine::send(FakeLink link, const RoutingEvent &event)
{
    // A broken engine leaves out a token now and then.
    if (std::holds_alternative<TokenArrived>(event) && m_random.below(500) == 0)
        return;
    absl::Time &last = m_lastSent[link];
    last = std::max({last, m_pausedUntil, m_clock.now() + between(1, 10)});
    m_clock.at(last, [this, link, event] { m_sink(link.first, event); });
    // A few events come twice, the second time much later.
    if (m_random.below(50) == 0)
        m_clock.at(last + between(1, 3000), [this, link, event] { m_sink(link.first, event); });
}

void FakeEngine::step(const std::string &name, std::uint64_t incarnation)
{
    if (m_isDead || incarnation != m_incarnation)
        return;
    Stream &stream = m_streams.at(name);
    if (stream.isCancelled)
        return;
    if (m_clock.now() < m_pausedUntil) {
        m_clock.at(m_pausedUntil, [this, name, incarnation] { step(name, incarnation); });
        return;
    }
    if (stream.texts.size() < stream.length) {
        const std::string previous = stream.texts.empty() ? "" : stream.texts.back();
        stream.texts.push_back(token(stream.generation, previous, stream.salt));
        if (stream.link)
            send(
                *stream.link,
                TokenArrived{stream.link->second, TokenOffset(stream.texts.size() - 1), stream.texts.back()});
    }
    if (stream.texts.size() < stream.length)
        m_clock.after(between(10, 60), [this, name, incarnation] { step(name, incarnation); });
    else if (stream.link)
        send(*stream.link, AttemptFinished{stream.link->second, TokenOffset(stream.length), stream.reason});
}

absl::Duration FakeEngine::between(int leastMs, int mostMs)
{
    const auto span = static_cast<std::uint64_t>(mostMs - leastMs) + 1;
    return absl::Milliseconds(leastMs + static_cast<int>(m_random.below(span)));
}

} // namespace Wisteria
