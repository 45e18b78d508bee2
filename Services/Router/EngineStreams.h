// The streams to engines: one thread each, events to the decision thread.

#pragma once

#include <LibCore/Address.h>
#include <LibPlatform/ElasticPool.h>
#include <LibPlatform/StreamStopper.h>
#include <LibRouting/Events.h>
#include <Router/HostEvents.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>

namespace Wisteria {

// What an engine is asked for.
struct EngineRequest
{
    AttemptId attempt;
    TargetId target;
    Address address;
    // JSON body of a new stream; unused when re-attaching.
    std::string body;
    // The stream to re-attach to; empty for a new stream.
    EngineStreamId stream;
    // Answer offset of the stream's first token.
    TokenOffset streamStart;
    // First answer offset that is still wanted.
    TokenOffset from;
};

// How a stream is given up.
enum class CancelMode {
    // The engine is told to stop: nobody wants the rest.
    StopEngine,
    // The connection is closed; the engine lets the stream run on for a while, so that it can be re-attached
    // to.
    LeaveRunning,
};

struct StreamTimeouts
{
    absl::Duration connect;
    // NOTE: Stalls are the routing decisions' matter. This one only ends threads whose engine never answers
    // again.
    absl::Duration idle;
};

class EngineStreams
{
public:
    // The sink must outlive the streams.
    EngineStreams(EventSink &sink, std::size_t maxStreams, StreamTimeouts timeouts);
    ~EngineStreams();

    // Events: AttemptStarted, TokenArrived, then AttemptFinished or AttemptFailed; and TargetObserved.
    void open(EngineRequest request);
    // Posts AttemptFailed for an attempt that cannot even be opened.
    void reportNotStarted(AttemptId attempt, const TargetId &target);
    // Nothing is posted for the attempt afterwards, but events already on the ring may still come.
    void cancel(AttemptId attempt, CancelMode mode);
    [[nodiscard]] std::size_t running() const;

private:
    struct Stream;
    class Answer;

    void run(const std::shared_ptr<Stream> &stream);
    void tellEngineToStop(Stream &stream);

    EventSink &m_sink;
    const StreamTimeouts m_timeouts;
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<AttemptId, std::shared_ptr<Stream>> m_streams ABSL_GUARDED_BY(m_mutex);
    StreamStopper m_stopper;
    // Declared last: their threads use everything above.
    ElasticPool m_pool;
    ElasticPool m_reportPool;
};

} // namespace Wisteria
