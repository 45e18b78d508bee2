// The stand-in engine: continuous batching in slots, a queue by priority, streams that outlive their client.

#pragma once

#include <StandIns/engine/Model.h>
#include <StandIns/engine/PrefixCache.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace Wisteria::StandIns {

struct EngineOptions
{
    std::size_t slots{16};
    std::size_t queue{64};
    absl::Duration tokenTime{absl::Milliseconds(40)};
    double prefillTokensPerSecond{8000};
    std::size_t cacheHeads{64};
    absl::Duration linger{absl::Seconds(10)};
    absl::Duration loadLag{absl::Milliseconds(200)};
    absl::Duration cacheEventDelay{absl::Milliseconds(500)};
    std::uint64_t loseEveryCacheEvent{0};
};

struct EngineRequest
{
    // Empty: the engine chooses a name.
    std::string streamName;
    std::string model;
    std::string prompt;
    std::uint64_t maxTokens{0};
    double temperature{0};
    // Lower is served first.
    std::int64_t priority{0};
};

enum class StreamState { Waiting, Running, Finished, Cancelled };

struct Stream
{
    std::string name;
    EngineRequest request;
    std::uint64_t arrival{0};
    std::unique_ptr<Model> model;
    StreamState state{StreamState::Waiting};
    std::vector<std::string> tokens;
    absl::Time nextTokenAt;
    // Clients that read the stream now.
    int readers{0};
    absl::Time lastReaderLeft;
    // A fault cuts each stream only once.
    bool wasCut{false};
};

// What a reader of a stream gets next.
struct StreamStep
{
    enum class Kind { Token, Finished, Gone, Nothing } kind{Kind::Nothing};
    std::string token;
};

struct EngineLoad
{
    absl::Time at;
    std::size_t running{0};
    std::size_t waiting{0};
};

struct EngineStats
{
    std::uint64_t prefillTokens{0};
    std::uint64_t cachedTokens{0};
    std::uint64_t generatedTokens{0};
    std::uint64_t streams{0};
    std::uint64_t cancelled{0};
};

enum class CutKind { BetweenEvents, InsideEvent };

struct CutFault
{
    std::uint64_t tokens{0};
    CutKind kind{CutKind::BetweenEvents};
};

enum class SubmitError { Full, NameTaken };

class Engine
{
public:
    explicit Engine(EngineOptions options);
    ~Engine();

    // The reader is attached at once; the caller must detach() it.
    [[nodiscard]] std::variant<std::shared_ptr<Stream>, SubmitError> submit(EngineRequest request);
    // Attaches a reader; null when the stream is unknown or was cancelled.
    [[nodiscard]] std::shared_ptr<Stream> attach(const std::string &name);
    void detach(Stream &stream);
    [[nodiscard]] bool cancel(const std::string &name);
    // Waits up to the timeout for the token at `offset`.
    [[nodiscard]] StreamStep next(Stream &stream, std::uint64_t offset, absl::Duration timeout);
    // Whether the fault cuts the stream before the token at `offset`.
    [[nodiscard]] std::optional<CutKind> takeCut(Stream &stream, std::uint64_t offset);

    void freeze(absl::Duration duration);
    void setCut(std::optional<CutFault> cut);
    void clearFaults();
    // Returns once the engine is not frozen.
    void waitWhileFrozen();

    [[nodiscard]] EngineLoad load() const;
    [[nodiscard]] EngineStats stats() const;
    [[nodiscard]] std::vector<CacheEvent> cacheEvents(std::uint64_t after) const;

private:
    void run();
    void step(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void admitWaiting(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void generate(Stream &stream, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void cancelAbandoned(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void forgetOldStreams() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordLoad(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] absl::Time nextWakeUp(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] std::size_t count(StreamState state) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const EngineOptions m_options;
    mutable absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::map<std::string, std::shared_ptr<Stream>> m_streams ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastArrival ABSL_GUARDED_BY(m_mutex){0};
    PrefixCache m_cache ABSL_GUARDED_BY(m_mutex);
    EngineStats m_stats ABSL_GUARDED_BY(m_mutex);
    // Invariant: ordered by time; its first entry may be older than the lag, no other.
    std::deque<EngineLoad> m_loads ABSL_GUARDED_BY(m_mutex);
    absl::Time m_frozenUntil ABSL_GUARDED_BY(m_mutex){absl::InfinitePast()};
    std::optional<CutFault> m_cut ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex){false};
    std::thread m_scheduler;
};

} // namespace Wisteria::StandIns
