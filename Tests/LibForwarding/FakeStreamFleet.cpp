// Engines, routers' streams and the links between them.

#include "FakeStreamFleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Wisteria {

namespace detail {

class OpenRetryGate final : public RetryGate
{
public:
    bool tryAcquireRetry(absl::Time) override { return true; }
};

const absl::Duration minEventInterval = absl::Milliseconds(25);
const absl::Duration maxEventInterval = absl::Milliseconds(55);
const absl::Duration minLinkDelay = absl::Microseconds(200);
const absl::Duration maxLinkDelay = absl::Milliseconds(8);
const absl::Duration arrivalPeriod = absl::Seconds(2);

} // namespace detail

// One engine: its slots, its queue and the runs that it works on.
class FakeStreamFleet::Engine
{
public:
    explicit Engine(FakeStreamFleet &fleet) : m_fleet(fleet) { }

    void receive(const RunRequest &request)
    {
        // The system accepts connections also while the engine is frozen.
        reply(request, ForwardingEvents::AttemptReached{});
        whenRunning([this, request] { handle(request); });
    }

    void receiveClose(int run)
    {
        whenRunning([this, run] { close(run); });
    }

    void stall(absl::Time until) { m_stalledUntil = std::max(m_stalledUntil, until); }

    void freeze(absl::Time until)
    {
        if (isFrozen())
            return;
        m_frozenUntil = until;
        for (const auto &[run, job] : m_jobs)
            overlaps(job).end(run, m_fleet.m_time.now());
        m_fleet.m_time.after(until - m_fleet.m_time.now(), [this] { goOn(); });
    }

private:
    struct Job
    {
        RunRequest request;
        absl::Time readyAt;
    };

    RunOverlaps &overlaps(const Job &job) { return m_fleet.m_overlaps[job.request.stream]; }
    [[nodiscard]] bool isFrozen() const { return m_fleet.m_time.now() < m_frozenUntil; }

    void whenRunning(std::function<void()> function)
    {
        if (isFrozen())
            m_unread.push_back(std::move(function));
        else
            function();
    }

    void goOn()
    {
        const auto unread = std::exchange(m_unread, {});
        for (const auto &it : unread)
            it();
        for (const auto &[run, job] : m_jobs)
            overlaps(job).start(run, m_fleet.m_time.now());
    }

    void handle(const RunRequest &request)
    {
        const bool isCopyLost = request.fromCopy && m_fleet.m_random.oneIn(m_fleet.m_options.lostCopyOneIn);
        const bool isFull = static_cast<int>(m_jobs.size()) >= m_fleet.m_options.slots;
        if (isCopyLost || (isFull && m_waiting.size() >= m_fleet.m_options.maxWaiting)) {
            reply(request,
                  ForwardingEvents::AttemptNotExecuted{.wasRefused = true, .isCopyMissing = isCopyLost});
            return;
        }
        if (isFull)
            m_waiting.push_back(request);
        else
            begin(request);
    }

    void begin(const RunRequest &request)
    {
        const auto now = m_fleet.m_time.now();
        const auto &options = m_fleet.m_options;
        auto headDelay = m_fleet.m_random.between(absl::Milliseconds(1), absl::Milliseconds(20));
        if (m_fleet.m_random.oneIn(options.lateHeadOneIn))
            headDelay = m_fleet.m_random.between(headDelay, options.maxHeadDelay);
        m_prefillEnd =
            std::max(m_prefillEnd, now) + (request.fromCopy ? options.resumeTime : options.prefillTime);
        m_jobs[request.run] = {request, std::max(m_prefillEnd, now + headDelay)};
        m_fleet.m_overlaps[request.stream].start(request.run, now);
        m_fleet.m_time.after(headDelay, [this, run = request.run] { sendHead(run); });
    }

    void sendHead(int run)
    {
        if (postpone(run, &Engine::sendHead))
            return;
        const auto &job = m_jobs.at(run);
        reply(job.request, ForwardingEvents::StreamOpened{});
        m_fleet.m_time.after(std::max(job.readyAt - m_fleet.m_time.now(), absl::ZeroDuration()),
                             [this, run] { sendEvent(run); });
    }

    void sendEvent(int run)
    {
        if (postpone(run, &Engine::sendEvent))
            return;
        auto &request = m_jobs.at(run).request;
        reply(request, ForwardingEvents::EventsReceived{EventNumber(request.nextEvent)});
        if (++request.nextEvent > m_fleet.m_options.eventsPerStream) {
            reply(request, ForwardingEvents::StreamCompleted{});
            close(run);
            return;
        }
        m_fleet.m_time.after(m_fleet.m_random.between(detail::minEventInterval, detail::maxEventInterval),
                             [this, run] { sendEvent(run); });
    }

    // True if the run has ended, or its next step comes after the engine's silence.
    bool postpone(int run, void (Engine::*step)(int))
    {
        if (!m_jobs.contains(run))
            return true;
        const auto until = std::max(m_frozenUntil, m_stalledUntil);
        const auto now = m_fleet.m_time.now();
        if (now >= until)
            return false;
        m_fleet.m_time.after(until - now, [this, run, step] { (this->*step)(run); });
        return true;
    }

    void close(int run)
    {
        std::erase_if(m_waiting, [run](const auto &it) { return it.run == run; });
        const auto it = m_jobs.find(run);
        if (it == m_jobs.end())
            return;
        overlaps(it->second).end(run, m_fleet.m_time.now());
        m_jobs.erase(it);
        if (m_waiting.empty())
            return;
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        begin(next);
    }

    void reply(const RunRequest &, const ForwardingEvent &);

    FakeStreamFleet &m_fleet;
    std::map<int, Job> m_jobs;
    std::deque<RunRequest> m_waiting;
    std::vector<std::function<void()>> m_unread;
    absl::Time m_prefillEnd{absl::InfinitePast()};
    absl::Time m_stalledUntil{absl::InfinitePast()};
    absl::Time m_frozenUntil{absl::InfinitePast()};
};

// The host of one request at its router.
class FakeStreamFleet::Stream
{
public:
    Stream(FakeStreamFleet &fleet, std::size_t number, std::size_t router)
        : m_fleet(fleet), m_number(number), m_router(router)
    {
    }

    void begin()
    {
        m_beganAt = m_fleet.m_time.now();
        m_request.emplace(parameters(), m_retryGate, m_beganAt);
        perform(m_request->begin(m_beganAt));
    }

    [[nodiscard]] std::size_t router() const { return m_router; }

    void receive(int run, ForwardingEvent event)
    {
        const auto role = roleOf(run);
        if (!role)
            return;
        std::visit([this, role](auto &it) { handle(it, *role); }, event);
    }

private:
    struct Run
    {
        int number{0};
        std::size_t engine{0};
        absl::Duration linkDelay;
    };

    static ForwardingParameters parameters()
    {
        return {.kind = RouteKind::ResumableStream,
                .maxAttempts = 4,
                .routeTimeout = absl::Seconds(60),
                .callerTimeout = absl::Seconds(60),
                .latencyObjective = absl::Milliseconds(1700),
                .maxEventGap = absl::Milliseconds(700),
                .usesCopies = true};
    }

    std::optional<Run> &runOf(RunRole role) { return m_runs[role == RunRole::Replacement ? 1 : 0]; }

    std::optional<RunRole> roleOf(int run)
    {
        for (const auto role : {RunRole::Current, RunRole::Replacement}) {
            if (runOf(role) && runOf(role)->number == run)
                return role;
        }
        return std::nullopt;
    }

    void note(const char *what)
    {
        absl::StrAppend(&m_trace, "; ", absl::FormatDuration(m_fleet.m_time.now() - m_beganAt), " ", what);
    }

    void handle(ForwardingEvents::AttemptNotExecuted &event, RunRole role)
    {
        note("refused");
        event.role = role;
        m_avoided.insert(runOf(role)->engine);
        if (event.isCopyMissing)
            m_copy.reset();
        runOf(role).reset();
        answer(event);
    }

    void handle(ForwardingEvents::AttemptReached &event, RunRole role)
    {
        event.role = role;
        answer(event);
    }

    void handle(ForwardingEvents::StreamOpened &event, RunRole role)
    {
        note(role == RunRole::Current ? "opened" : "replacement opened");
        event.role = role;
        answer(event);
    }

    void handle(ForwardingEvents::EventsReceived &event, RunRole role)
    {
        event.role = role;
        answer(event);
        if (event.last.value() != ++m_delivered)
            fail(absl::StrCat("event ", event.last.value(), " in place of ", m_delivered));
        const auto now = m_fleet.m_time.now();
        if (m_delivered > 1)
            m_fleet.m_longestGap = std::max(m_fleet.m_longestGap, now - m_lastEventAt);
        m_lastEventAt = now;
        m_avoided.clear();
        if (!m_copy && runOf(RunRole::Current))
            m_copy = copyOf(runOf(RunRole::Current)->engine);
    }

    void handle(ForwardingEvents::StreamCompleted &event, RunRole role)
    {
        event.role = role;
        answer(event);
    }

    template <typename Event>
    void handle(Event &, RunRole)
    {
    }

    // Most copies of an engine's streams are on the same engine.
    std::size_t copyOf(std::size_t engine)
    {
        const auto n = m_fleet.m_engines.size();
        return m_fleet.m_random.oneIn(4) ? (engine + 1 + m_fleet.m_random.below(n - 1)) % n
                                         : (engine + 1) % n;
    }

    void answer(const ForwardingEvent &event) { perform(m_request->handle(event, m_fleet.m_time.now())); }

    void perform(const ForwardingActionList &actions)
    {
        for (const auto &it : actions)
            std::visit([this](const auto &action) { perform(action); }, it);
    }

    void perform(const ForwardingActions::StartAttempt &action)
    {
        note(action.role == RunRole::Current ? "run" : "replacement");
        const bool isFromCopy = action.fromCopy && m_copy;
        const auto engine = action.role == RunRole::Replacement ? m_target
            : isFromCopy                                        ? *m_copy
                                                                : chooseEngine();
        const Run run{
            .number = m_fleet.m_nextRun++,
            .engine = engine,
            .linkDelay = m_fleet.m_random.between(detail::minLinkDelay, detail::maxLinkDelay),
        };
        runOf(action.role) = run;
        const RunRequest request{.stream = m_number,
                                 .run = run.number,
                                 .nextEvent = action.lastEvent ? action.lastEvent->value() + 1 : 1,
                                 .fromCopy = isFromCopy && engine == *m_copy,
                                 .linkDelay = run.linkDelay};
        // Connects first.
        m_fleet.m_time.after(3 * run.linkDelay,
                             [this, engine, request] { m_fleet.m_engines[engine]->receive(request); });
        answer(ForwardingEvents::AttemptSent{absl::Milliseconds(200), action.role});
    }

    void perform(const ForwardingActions::FindReplacement &action)
    {
        if (action.fromCopy && m_copy && !m_avoided.contains(*m_copy)) {
            m_target = *m_copy;
        } else if (action.mayRecompute) {
            m_target = chooseEngine();
        } else {
            answer(ForwardingEvents::NoReplacement{});
            return;
        }
        answer(ForwardingEvents::ReplacementFound{});
    }

    std::size_t chooseEngine()
    {
        const auto n = m_fleet.m_engines.size();
        auto out = m_fleet.m_random.below(n);
        for (std::size_t tries = 0; tries < n && (m_avoided.contains(out) || isUsed(out)); ++tries)
            out = (out + 1) % n;
        return out;
    }

    bool isUsed(std::size_t engine)
    {
        return std::any_of(std::begin(m_runs), std::end(m_runs),
                           [engine](const auto &it) { return it && it->engine == engine; });
    }

    void perform(const ForwardingActions::CancelAttempt &action)
    {
        note(action.role == RunRole::Current ? "cancel" : "cancel replacement");
        const auto run = *std::exchange(runOf(action.role), std::nullopt);
        // Does not overtake the request.
        m_fleet.m_time.after(3 * run.linkDelay,
                             [this, run] { m_fleet.m_engines[run.engine]->receiveClose(run.number); });
        if (action.role == RunRole::Replacement)
            m_avoided.insert(run.engine);
    }

    void perform(const ForwardingActions::AdoptReplacement &)
    {
        note("adopt");
        ++m_fleet.m_movedStreams;
        runOf(RunRole::Current) = std::exchange(runOf(RunRole::Replacement), std::nullopt);
        m_copy.reset();
    }

    void perform(const ForwardingActions::CompleteStream &)
    {
        if (m_delivered != m_fleet.m_options.eventsPerStream)
            fail("completed early");
        ++m_fleet.m_completedStreams;
    }

    void perform(const ForwardingActions::Refuse &action)
    {
        fail(std::string(refusalReasonName(action.reason)));
    }
    void perform(const ForwardingActions::AbortResponse &action)
    {
        fail(std::string(refusalReasonName(action.reason)));
    }

    void perform(const ForwardingActions::SetTimer &action)
    {
        m_timer = action.at;
        m_fleet.m_time.after(action.at - m_fleet.m_time.now(), [this, at = action.at] {
            m_fleet.callRouter(m_router, [this, at] {
                if (at == m_timer)
                    answer(ForwardingEvents::Tick{});
            });
        });
    }

    template <typename Action>
    void perform(const Action &)
    {
    }

    void fail(const std::string &what)
    {
        m_fleet.m_faults.push_back(absl::StrCat("stream ", m_number, ": ", what, m_trace));
    }

    FakeStreamFleet &m_fleet;
    std::size_t m_number;
    std::size_t m_router;
    detail::OpenRetryGate m_retryGate;
    absl::Time m_beganAt;
    std::optional<ForwardedRequest> m_request;
    // The current run and its replacement.
    std::optional<Run> m_runs[2];
    std::optional<std::size_t> m_copy;
    // For the next replacement.
    std::size_t m_target{0};
    // Have refused this stream, or were slow to take it over, since its last event.
    std::set<std::size_t> m_avoided;
    std::uint64_t m_delivered{0};
    absl::Time m_lastEventAt;
    absl::Time m_timer;
    std::string m_trace;
};

void FakeStreamFleet::Engine::reply(const RunRequest &request, const ForwardingEvent &event)
{
    m_fleet.m_time.after(request.linkDelay, [this, number = request.stream, run = request.run, event] {
        auto &stream = *m_fleet.m_streams[number];
        m_fleet.callRouter(stream.router(), [&stream, run, event] { stream.receive(run, event); });
    });
}

FakeStreamFleet::FakeStreamFleet(const FakeStreamFleetOptions &options)
    : m_options(options), m_random(options.seed), m_loops(static_cast<std::size_t>(options.routers))
{
    const int streams = options.routers * options.streamsPerRouter;
    const int engines = std::max(3, streams / options.streamsPerEngine);
    for (int n = 0; n < engines; ++n)
        m_engines.push_back(std::make_unique<Engine>(*this));
    for (int n = 0; n < streams; ++n) {
        const auto router = m_streams.size() % m_loops.size();
        m_streams.push_back(std::make_unique<Stream>(*this, m_streams.size(), router));
        m_overlaps.emplace_back(m_options.minOverlapGap);
        m_time.after(m_random.between(absl::ZeroDuration(), detail::arrivalPeriod),
                     [&stream = *m_streams.back()] { stream.begin(); });
    }
}

FakeStreamFleet::~FakeStreamFleet() = default;

void FakeStreamFleet::runFor(absl::Duration duration)
{
    const auto end = m_time.now() + duration;
    while (m_time.runNext(end)) { }
    m_time.advanceTo(end);
}

void FakeStreamFleet::stallEngine(std::size_t engine, absl::Duration duration)
{
    m_engines[engine]->stall(m_time.now() + duration);
}

void FakeStreamFleet::freezeEngine(std::size_t engine, absl::Duration duration)
{
    m_engines[engine]->freeze(m_time.now() + duration);
}

absl::Duration FakeStreamFleet::longestOverlap() const
{
    absl::Duration out;
    for (const auto &it : m_overlaps)
        out = std::max(out, it.longest(m_time.now()));
    return out;
}

void FakeStreamFleet::callRouter(std::size_t router, std::function<void()> function)
{
    auto &loop = m_loops[router];
    loop.calls.push_back(std::move(function));
    if (std::exchange(loop.isScheduled, true))
        return;
    const auto delay = m_random.oneIn(50) ? m_random.between(absl::ZeroDuration(), m_options.maxLoopDelay)
                                          : absl::ZeroDuration();
    m_time.after(delay, [this, router] { runLoop(router); });
}

void FakeStreamFleet::runLoop(std::size_t router)
{
    auto &loop = m_loops[router];
    loop.isScheduled = false;
    const auto calls = std::exchange(loop.calls, {});
    for (const auto &it : calls)
        it();
}

} // namespace Wisteria
