// Routers with streams before engines on a virtual clock. An engine that is silent moves all of its streams
// at once, and those that take over become slow. Engines learn of a cancelled run only when its close
// arrives.

#pragma once

#include <LibForwarding/ForwardedRequest.h>
#include <Support/RunOverlaps.h>
#include <Support/VirtualTime.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Wisteria {

struct FakeStreamFleetOptions
{
    int routers{7};
    std::uint64_t seed{1};
    int streamsPerRouter{4};
    std::uint64_t eventsPerStream{120};
    // Streams of each engine, in the mean.
    int streamsPerEngine{12};
    int slots{16};
    // Requests beyond the slots that wait; further ones are refused.
    std::size_t maxWaiting{4};
    // Time that an engine works on a prompt, or on a copy that it resumes from, before the next one.
    absl::Duration prefillTime{absl::Milliseconds(150)};
    absl::Duration resumeTime{absl::Milliseconds(35)};
    // One in this number of heads is late by up to maxHeadDelay.
    std::uint64_t lateHeadOneIn{8};
    absl::Duration maxHeadDelay{absl::Milliseconds(900)};
    // One in this number of copies is lost.
    std::uint64_t lostCopyOneIn{10};
    // How long the event loop of a router is held up at most, once in a while.
    absl::Duration maxLoopDelay{absl::Milliseconds(25)};
    // Overlaps of a stream's runs with a shorter gap between them are added up.
    absl::Duration minOverlapGap{absl::Milliseconds(150)};
};

class FakeStreamFleet
{
public:
    explicit FakeStreamFleet(const FakeStreamFleetOptions &);
    ~FakeStreamFleet();
    FakeStreamFleet(const FakeStreamFleet &) = delete;
    FakeStreamFleet &operator=(const FakeStreamFleet &) = delete;

    void runFor(absl::Duration);
    [[nodiscard]] std::size_t engines() const { return m_engines.size(); }
    [[nodiscard]] std::size_t streams() const { return m_streams.size(); }
    [[nodiscard]] TestRandom &random() { return m_random; }

    // The engine's streams are silent for this long and go on. They still count as worked on, and the engine
    // takes requests and learns of closes.
    void stallEngine(std::size_t engine, absl::Duration);
    // The engine does nothing for this long, and then reads first what has arrived.
    void freezeEngine(std::size_t engine, absl::Duration);

    // How long two engines were at work on one stream at most, as the engines saw it.
    [[nodiscard]] absl::Duration longestOverlap() const;
    [[nodiscard]] int completedStreams() const { return m_completedStreams; }
    // Replacements that took over from a run that was at work.
    [[nodiscard]] int movedStreams() const { return m_movedStreams; }
    // The longest time between two events of a stream at its router.
    [[nodiscard]] absl::Duration longestGap() const { return m_longestGap; }
    // What was wrong with streams; empty if nothing.
    [[nodiscard]] const std::vector<std::string> &faults() const { return m_faults; }

private:
    class Engine;
    class Stream;
    struct RunRequest
    {
        std::size_t stream{0};
        int run{0};
        std::uint64_t nextEvent{1};
        bool fromCopy{false};
        // One way.
        absl::Duration linkDelay;
    };

    // Calls the function at the router's event loop, in order of arrival.
    void callRouter(std::size_t router, std::function<void()>);
    void runLoop(std::size_t router);

    struct Loop
    {
        std::vector<std::function<void()>> calls;
        bool isScheduled{false};
    };

    FakeStreamFleetOptions m_options;
    TestRandom m_random;
    VirtualTime m_time;
    std::vector<Loop> m_loops;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Stream>> m_streams;
    // Of each stream.
    std::vector<RunOverlaps> m_overlaps;
    int m_nextRun{1};
    int m_completedStreams{0};
    int m_movedStreams{0};
    absl::Duration m_longestGap;
    std::vector<std::string> m_faults;
};

} // namespace Wisteria
