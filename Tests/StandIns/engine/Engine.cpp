// Scheduling of the stand-in engine. One thread makes all tokens; readers wait on its condition variable.

#include <StandIns/engine/Engine.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace Wisteria::StandIns {

namespace detail {

constexpr absl::Duration longestSleep = absl::Milliseconds(100);
// Ended streams stay readable until there are this many streams.
constexpr std::size_t maxStreams = 2000;

bool hasEnded(const Stream &stream)
{
    return stream.state == StreamState::Finished || stream.state == StreamState::Cancelled;
}

} // namespace detail

Engine::Engine(EngineOptions options)
    : m_options(options), m_cache(options.cacheHeads, options.cacheEventDelay, options.loseEveryCacheEvent)
{
    m_scheduler = std::thread([this] { run(); });
}

Engine::~Engine()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_changed.SignalAll();
    }
    m_scheduler.join();
}

std::variant<std::shared_ptr<Stream>, SubmitError> Engine::submit(EngineRequest request)
{
    absl::MutexLock lock(&m_mutex);
    if (count(StreamState::Waiting) + count(StreamState::Running) >= m_options.slots + m_options.queue)
        return SubmitError::Full;
    if (m_streams.contains(request.streamName))
        return SubmitError::NameTaken;
    auto stream = std::make_shared<Stream>();
    stream->arrival = ++m_lastArrival;
    stream->name = request.streamName.empty()
        ? absl::StrCat("stream-", absl::ToUnixMicros(absl::Now()), "-", stream->arrival)
        : request.streamName;
    auto salt = request.temperature > 0 ? XXH64(stream->name.data(), stream->name.size(), 1) : 0;
    stream->model = std::make_unique<Model>(request.prompt, salt);
    stream->request = std::move(request);
    stream->readers = 1;
    m_streams[stream->name] = stream;
    ++m_stats.streams;
    forgetOldStreams();
    m_changed.SignalAll();
    return stream;
}

std::shared_ptr<Stream> Engine::attach(const std::string &name)
{
    absl::MutexLock lock(&m_mutex);
    auto it = m_streams.find(name);
    if (it == m_streams.end() || it->second->state == StreamState::Cancelled)
        return nullptr;
    ++it->second->readers;
    return it->second;
}

void Engine::detach(Stream &stream)
{
    absl::MutexLock lock(&m_mutex);
    --stream.readers;
    stream.lastReaderLeft = absl::Now();
}

bool Engine::cancel(const std::string &name)
{
    absl::MutexLock lock(&m_mutex);
    auto it = m_streams.find(name);
    if (it == m_streams.end())
        return false;
    if (!detail::hasEnded(*it->second)) {
        it->second->state = StreamState::Cancelled;
        ++m_stats.cancelled;
        m_changed.SignalAll();
    }
    return true;
}

StreamStep Engine::next(Stream &stream, std::uint64_t offset, absl::Duration timeout)
{
    auto deadline = absl::Now() + timeout;
    absl::MutexLock lock(&m_mutex);
    while (true) {
        bool isFrozen = absl::Now() < m_frozenUntil;
        if (!isFrozen && offset < stream.tokens.size())
            return {StreamStep::Kind::Token, stream.tokens[offset]};
        if (!isFrozen && stream.state == StreamState::Finished)
            return {StreamStep::Kind::Finished, {}};
        if (!isFrozen && stream.state == StreamState::Cancelled)
            return {StreamStep::Kind::Gone, {}};
        if (m_changed.WaitWithDeadline(&m_mutex, deadline))
            return {StreamStep::Kind::Nothing, {}};
    }
}

std::optional<CutKind> Engine::takeCut(Stream &stream, std::uint64_t offset)
{
    absl::MutexLock lock(&m_mutex);
    if (!m_cut || stream.wasCut || offset < m_cut->tokens)
        return std::nullopt;
    stream.wasCut = true;
    return m_cut->kind;
}

void Engine::freeze(absl::Duration duration)
{
    absl::MutexLock lock(&m_mutex);
    m_frozenUntil = absl::Now() + duration;
}

void Engine::setCut(std::optional<CutFault> cut)
{
    absl::MutexLock lock(&m_mutex);
    m_cut = cut;
}

void Engine::clearFaults()
{
    absl::MutexLock lock(&m_mutex);
    m_cut.reset();
    m_frozenUntil = absl::InfinitePast();
    m_changed.SignalAll();
}

void Engine::waitWhileFrozen()
{
    absl::MutexLock lock(&m_mutex);
    while (absl::Now() < m_frozenUntil)
        m_changed.WaitWithDeadline(&m_mutex, m_frozenUntil);
}

EngineLoad Engine::load() const
{
    absl::MutexLock lock(&m_mutex);
    return m_loads.empty() ? EngineLoad{} : m_loads.front();
}

EngineStats Engine::stats() const
{
    absl::MutexLock lock(&m_mutex);
    return m_stats;
}

std::vector<CacheEvent> Engine::cacheEvents(std::uint64_t after) const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<CacheEvent> events;
    auto now = absl::Now();
    for (const auto &it : m_cache.events()) {
        if (it.sequence > after && it.visibleAt <= now)
            events.push_back(it);
    }
    return events;
}

void Engine::run()
{
    absl::MutexLock lock(&m_mutex);
    while (!m_stopping) {
        auto now = absl::Now();
        if (now >= m_frozenUntil)
            step(now);
        m_changed.WaitWithDeadline(&m_mutex, nextWakeUp(absl::Now()));
    }
}

void Engine::step(absl::Time now)
{
    cancelAbandoned(now);
    admitWaiting(now);
    bool generated = false;
    for (auto &[name, stream] : m_streams) {
        if (stream->state != StreamState::Running || stream->nextTokenAt > now)
            continue;
        generate(*stream, now);
        generated = true;
    }
    recordLoad(now);
    if (generated)
        m_changed.SignalAll();
}

void Engine::admitWaiting(absl::Time now)
{
    std::vector<Stream *> waiting;
    for (auto &[name, stream] : m_streams) {
        if (stream->state == StreamState::Waiting)
            waiting.push_back(stream.get());
    }
    std::sort(waiting.begin(), waiting.end(), [](const Stream *a, const Stream *b) {
        return std::pair(a->request.priority, a->arrival) < std::pair(b->request.priority, b->arrival);
    });
    auto free = m_options.slots - std::min(m_options.slots, count(StreamState::Running));
    for (auto *stream : waiting) {
        if (free-- == 0)
            break;
        const auto &prompt = stream->request.prompt;
        auto tokens = prompt.size() / bytesPerToken;
        auto cached = std::min(tokens, m_cache.cachedTokens(prompt));
        m_stats.cachedTokens += cached;
        m_stats.prefillTokens += tokens - cached;
        m_cache.store(prompt, now);
        auto prefill = absl::Seconds(static_cast<double>(tokens - cached) / m_options.prefillTokensPerSecond);
        stream->state = StreamState::Running;
        stream->nextTokenAt = now + prefill + m_options.tokenTime;
    }
}

void Engine::generate(Stream &stream, absl::Time now)
{
    stream.tokens.push_back(stream.model->nextToken());
    ++m_stats.generatedTokens;
    // A late scheduler does not catch up in a burst, as a busy engine would not.
    stream.nextTokenAt = std::max(stream.nextTokenAt, now - m_options.tokenTime) + m_options.tokenTime;
    if (stream.tokens.size() < stream.request.maxTokens)
        return;
    stream.state = StreamState::Finished;
    std::string text = stream.request.prompt;
    for (const auto &it : stream.tokens)
        text += it;
    m_cache.store(text, now);
}

void Engine::cancelAbandoned(absl::Time now)
{
    for (auto &[name, stream] : m_streams) {
        if (detail::hasEnded(*stream) || stream->readers > 0
            || now - stream->lastReaderLeft < m_options.linger)
            continue;
        stream->state = StreamState::Cancelled;
        ++m_stats.cancelled;
    }
}

void Engine::forgetOldStreams()
{
    while (m_streams.size() > detail::maxStreams) {
        auto oldest = m_streams.end();
        for (auto it = m_streams.begin(); it != m_streams.end(); ++it) {
            if (!detail::hasEnded(*it->second) || it->second->readers > 0)
                continue;
            if (oldest == m_streams.end() || it->second->arrival < oldest->second->arrival)
                oldest = it;
        }
        if (oldest == m_streams.end())
            return;
        m_streams.erase(oldest);
    }
}

void Engine::recordLoad(absl::Time now)
{
    EngineLoad load{now, count(StreamState::Running), count(StreamState::Waiting)};
    if (m_loads.empty() || m_loads.back().running != load.running || m_loads.back().waiting != load.waiting)
        m_loads.push_back(load);
    while (m_loads.size() > 1 && m_loads[1].at <= now - m_options.loadLag)
        m_loads.pop_front();
}

absl::Time Engine::nextWakeUp(absl::Time now) const
{
    auto wakeUp = now + detail::longestSleep;
    if (now < m_frozenUntil)
        return std::min(wakeUp, m_frozenUntil);
    for (const auto &[name, stream] : m_streams) {
        if (stream->state == StreamState::Running)
            wakeUp = std::min(wakeUp, stream->nextTokenAt);
    }
    return wakeUp;
}

std::size_t Engine::count(StreamState state) const
{
    return static_cast<std::size_t>(std::count_if(m_streams.begin(), m_streams.end(),
                                                  [&](const auto &it) { return it.second->state == state; }));
}

} // namespace Wisteria::StandIns
