// The fake engine's steps and losses.

#include "Engine.h"

#include "Tokens.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria::Measure {

Engine::Engine(TargetId id, std::uint32_t slots, double speed, EventQueue &queue, Sink sink)
    : m_id(std::move(id)), m_slots(slots), m_speed(speed), m_queue(queue), m_sink(std::move(sink))
{
}

void Engine::start(StreamHolder holder, StreamRequest request)
{
    if (isPaused()) {
        whenAwake([this, holder, request = std::move(request)] { start(holder, request); });
        return;
    }
    if (!m_isUp) {
        // A machine that vanished answers nothing at all.
        if (m_death == DeathKind::ClosesConnections)
            fail(holder, AttemptFailure::NotStarted);
        return;
    }
    const EngineStreamId id(absl::StrCat(m_id.value(), "-", m_life, "-", ++m_lastStream));
    Stream stream;
    stream.next = request.from.value();
    stream.holder = holder;
    stream.request = std::move(request);
    m_holders.emplace(holder, id);
    m_streams.emplace(id, std::move(stream));
    m_waiting.push_back(id);
    m_sink(holder.incarnation, {AttemptStarted{holder.attempt, id}});
    wake();
}

void Engine::reattach(StreamHolder holder, const ReattachAttempt &order)
{
    if (isPaused()) {
        whenAwake([this, holder, order] { reattach(holder, order); });
        return;
    }
    if (!m_isUp) {
        if (m_death == DeathKind::ClosesConnections)
            fail(holder, AttemptFailure::NotStarted);
        return;
    }
    auto it = m_streams.find(order.stream);
    if (it == m_streams.end()) {
        fail(holder, AttemptFailure::StreamUnknown);
        return;
    }
    Stream &stream = it->second;
    if (stream.holder)
        m_holders.erase(*stream.holder);
    stream.holder = holder;
    m_holders.emplace(holder, order.stream);
    std::vector<RoutingEvent> out{AttemptStarted{holder.attempt, order.stream}};
    for (std::uint64_t n = order.from.value(); n < stream.next; ++n)
        out.push_back(
            TokenArrived{holder.attempt, TokenOffset(n), stream.texts[n - stream.request.from.value()]});
    if (stream.next >= stream.request.answerTokens) {
        out.push_back(AttemptFinished{holder.attempt, TokenOffset(stream.next), FinishReason::Stop});
        m_holders.erase(holder);
        m_streams.erase(it);
    }
    m_sink(holder.incarnation, std::move(out));
}

void Engine::cancel(StreamHolder holder)
{
    if (isPaused()) {
        whenAwake([this, holder] { cancel(holder); });
        return;
    }
    auto it = m_holders.find(holder);
    if (it == m_holders.end())
        return;
    std::erase(m_waiting, it->second);
    m_streams.erase(it->second);
    m_holders.erase(it);
}

void Engine::dropHolder(std::uint64_t incarnation)
{
    constexpr absl::Duration orphanLifetime = absl::Seconds(10);
    for (auto &[id, stream] : m_streams) {
        if (!stream.holder || stream.holder->incarnation != incarnation)
            continue;
        m_holders.erase(*stream.holder);
        stream.holder.reset();
        m_queue.after(orphanLifetime, [this, id = id] {
            auto it = m_streams.find(id);
            if (it == m_streams.end() || it->second.holder)
                return;
            std::erase(m_waiting, id);
            m_streams.erase(it);
        });
    }
}

void Engine::die(DeathKind kind)
{
    m_isUp = false;
    m_death = kind;
    ++m_life;
    m_isStepping = false;
    if (kind == DeathKind::ClosesConnections) {
        for (const auto &[holder, id] : m_holders)
            fail(holder, AttemptFailure::StreamLost);
    }
    m_streams.clear();
    m_waiting.clear();
    m_holders.clear();
    m_cache.clear();
    m_cacheChanges = CacheReported{};
}

void Engine::revive()
{
    m_isUp = true;
}

void Engine::pauseUntil(absl::Time end)
{
    m_pausedUntil = std::max(m_pausedUntil, end);
}

LoadReported Engine::loadReport() const
{
    return LoadReported{m_id, running(), static_cast<std::uint32_t>(m_waiting.size()), absl::ZeroDuration()};
}

CacheReported Engine::takeCacheChanges()
{
    m_cacheChanges.target = m_id;
    return std::exchange(m_cacheChanges, CacheReported{});
}

std::vector<GenerationId> Engine::heldGenerations() const
{
    std::vector<GenerationId> out;
    for (const auto &[id, stream] : m_streams) {
        if (stream.holder && stream.next > 0)
            out.push_back(stream.request.generation);
    }
    return out;
}

void Engine::whenAwake(EventQueue::Callback callback)
{
    m_queue.at(m_pausedUntil, [this, life = m_life, callback = std::move(callback)] {
        if (life == m_life)
            callback();
    });
}

void Engine::wake()
{
    if (m_isStepping || m_streams.empty())
        return;
    m_isStepping = true;
    m_queue.after(absl::ZeroDuration(), [this, life = m_life] {
        if (life == m_life)
            step();
    });
}

void Engine::step()
{
    if (isPaused()) {
        whenAwake([this] { step(); });
        return;
    }
    m_isStepping = false;
    admitWaiting();
    const std::uint32_t prefilled = prefill();
    const std::uint32_t streams = running();
    if (streams == 0)
        return;
    const absl::Duration work = stepBase + stepPerStream * streams + prefillPerToken * prefilled;
    // Per stream, so that an engine that idles beside one stream counts no more work than a full one.
    m_work += (stepBase / m_slots + stepPerStream) * streams + prefillPerToken * prefilled;
    m_isStepping = true;
    m_queue.after(work / m_speed, [this, life = m_life] {
        if (life == m_life)
            endStep();
    });
}

void Engine::endStep()
{
    if (isPaused()) {
        whenAwake([this] { endStep(); });
        return;
    }
    std::map<std::uint64_t, std::vector<RoutingEvent>> out;
    decode(out);
    for (auto &[incarnation, events] : out)
        m_sink(incarnation, std::move(events));
    step();
}

void Engine::admitWaiting()
{
    auto isUrgent = [&](const EngineStreamId &id) {
        return m_streams.at(id).request.urgency == Urgency::Urgent;
    };
    std::stable_partition(m_waiting.begin(), m_waiting.end(), isUrgent);
    std::uint32_t busy = running();
    while (busy < m_slots && !m_waiting.empty()) {
        Stream &stream = m_streams.at(m_waiting.front());
        m_waiting.pop_front();
        stream.prefillLeft = uncachedTokens(stream.request);
        stream.isRunning = true;
        ++busy;
    }
}

std::uint32_t Engine::prefill()
{
    std::uint32_t left = prefillChunkTokens;
    for (auto urgency : {Urgency::Urgent, Urgency::Patient}) {
        for (auto &[id, stream] : m_streams) {
            if (!stream.isRunning || stream.request.urgency != urgency)
                continue;
            const std::uint32_t taken = std::min(left, stream.prefillLeft);
            stream.prefillLeft -= taken;
            left -= taken;
        }
    }
    return prefillChunkTokens - left;
}

void Engine::decode(std::map<std::uint64_t, std::vector<RoutingEvent>> &out)
{
    for (auto it = m_streams.begin(); it != m_streams.end();) {
        Stream &stream = it->second;
        if (!stream.isRunning || stream.prefillLeft > 0 || stream.next >= stream.request.answerTokens) {
            ++it;
            continue;
        }
        const std::string &last = stream.texts.empty() ? stream.request.lastText : stream.texts.back();
        stream.texts.push_back(tokenAfter(last, it->first));
        const TokenOffset offset(stream.next++);
        const bool isWhole = stream.next >= stream.request.answerTokens;
        if (stream.holder) {
            auto &events = out[stream.holder->incarnation];
            events.push_back(TokenArrived{stream.holder->attempt, offset, stream.texts.back()});
            if (isWhole)
                events.push_back(
                    AttemptFinished{stream.holder->attempt, TokenOffset(stream.next), FinishReason::Stop});
        }
        stream.isRunning = !isWhole;
        if (isWhole && stream.holder) {
            m_holders.erase(*stream.holder);
            it = m_streams.erase(it);
        } else {
            ++it;
        }
    }
}

std::uint32_t Engine::uncachedTokens(const StreamRequest &request)
{
    const auto own = XXH3_64bits(request.generation.value().data(), request.generation.value().size());
    const auto prefix = static_cast<std::uint32_t>(request.from.value());
    const std::uint32_t whole = request.promptTokens + prefix;
    const std::uint32_t cached = std::max(m_cache.lookup(own), m_cache.lookup(request.head.value()));
    const bool headIsNew = m_cache.lookup(request.head.value()) == 0;
    for (auto key : m_cache.store(request.head.value(), request.headTokens))
        m_cacheChanges.evicted.push_back(PromptPrefixHash(key));
    for (auto key : m_cache.store(own, whole))
        m_cacheChanges.evicted.push_back(PromptPrefixHash(key));
    if (headIsNew)
        m_cacheChanges.stored.push_back(request.head);
    // The last token is computed even when everything before it is cached.
    return std::max(whole - std::min(cached, whole), 1U);
}

std::uint32_t Engine::running() const
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_streams, [](const auto &entry) { return entry.second.isRunning; }));
}

void Engine::fail(StreamHolder holder, AttemptFailure failure)
{
    m_sink(holder.incarnation, {AttemptFailed{holder.attempt, failure}});
}

} // namespace Wisteria::Measure
