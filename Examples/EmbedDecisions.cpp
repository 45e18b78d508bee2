// Embeds the routing decisions in a program without sockets or threads that advances its own clock. Two
// engines serve one service. The engine that streams the answer goes silent halfway, and the router completes
// the answer on the other one.

#include <LibRouting/Router.h>

#include <iostream>
#include <map>

using namespace Wisteria;

namespace {

constexpr std::uint32_t answerTokens = 12;
constexpr absl::Duration interTokenLatency = absl::Milliseconds(40);

// A simulated engine stream.
struct Stream
{
    TargetId target;
    TokenOffset next;
};

class Host
{
public:
    Host() : m_random(1), m_router(Router::create(m_random))
    {
        FleetConfiguration configuration;
        configuration.version = ConfigVersion(1);
        configuration.services[m_service] = ServiceSpec{.name = m_service, .model = ModelName("summariser")};
        configuration.workspaces[m_workspace] = WorkspaceSpec{.name = m_workspace};
        feed(ConfigurationChanged{configuration});
        feed(FreshnessChanged{true});
        for (const char *name : {"e1", "e2"})
            feed(TargetChanged{TargetId(name), m_service, FailureDomain("kochi"), 8, TargetPhase::Live});
    }

    void run()
    {
        RequestOpened request;
        request.generation = GenerationId("g1");
        request.workspace = m_workspace;
        request.service = m_service;
        request.maxTokens = answerTokens;
        feed(request);
        while (!m_isComplete) {
            m_now += interTokenLatency;
            if (m_router->nextWakeUp() <= m_now)
                feed(Tick{});
            produceTokens();
        }
    }

private:
    // Produces one token for each stream, except on the silent target.
    void produceTokens()
    {
        auto streams = m_streams;
        for (auto &[attempt, stream] : streams) {
            if (stream.target == m_silentTarget || !m_streams.contains(attempt))
                continue;
            auto offset = stream.next;
            m_streams[attempt].next = nextOffset(offset);
            feed(TokenArrived{attempt, offset, "token" + std::to_string(offset.value())});
            if (offset.value() + 1 == answerTokens)
                feed(AttemptFinished{attempt, nextOffset(offset), FinishReason::Length});
        }
    }

    void feed(const RoutingEvent &event)
    {
        for (const auto &it : m_router->handle(event, m_now))
            executeAction(it);
    }

    void executeAction(const RoutingAction &action)
    {
        if (const auto *start = std::get_if<StartAttempt>(&action)) {
            m_streams[start->attempt] = Stream{start->target, start->from};
            feed(
                AttemptStarted{start->attempt, EngineStreamId("s" + std::to_string(start->attempt.value()))});
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
            m_streams.erase(cancel->attempt);
        } else if (const auto *token = std::get_if<DeliverToken>(&action)) {
            std::cout << token->offset << " " << token->text << " from " << token->target << "\n";
            if (token->offset.value() == answerTokens / 2)
                m_silentTarget = token->target;
        } else if (const auto *decision = std::get_if<RecordDecision>(&action)) {
            std::cout << "decision " << decisionName(decision->kind) << ": " << decision->reason << "\n";
        } else if (std::holds_alternative<CompleteGeneration>(action)) {
            m_isComplete = true;
        }
    }

    const ServiceName m_service{"digest"};
    const WorkspaceName m_workspace{"kochi"};
    SeededRandom m_random;
    std::unique_ptr<Router> m_router;
    absl::Time m_now{absl::UnixEpoch()};
    std::map<AttemptId, Stream> m_streams;
    TargetId m_silentTarget;
    bool m_isComplete{false};
};

} // namespace

int main()
{
    Host host;
    host.run();
    std::cout << "the answer is whole\n";
}
