// Slopes of the routing decisions over running generations and targets.

#include "Cost.h"
#include "Slopes.h"

#include <LibRouting/Router.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <iostream>

namespace Wisteria::Measure {

namespace detail {

// A router with running generations, fed by hand.
class LoadedRouter
{
public:
    LoadedRouter(std::uint32_t targets, std::uint32_t generations) : m_targets(targets)
    {
        const auto configuration = sizedConfiguration(workspaces, targets, 7);
        give(ConfigurationChanged{configuration});
        give(FreshnessChanged{true});
        for (const auto &[id, spec] : configuration.targets)
            give(TargetChanged{id, spec.service, spec.domain, spec.slots, TargetPhase::Live});
        m_heapBefore = heapBytes();
        for (std::uint32_t n = 0; n < generations; ++n)
            open();
    }

    [[nodiscard]] double bytesPerGeneration() const
    {
        return (heapBytes() - m_heapBefore) / static_cast<double>(m_attempts.size());
    }

    // Microseconds a token, wake-ups included.
    [[nodiscard]] double tokenCost(std::uint32_t rounds)
    {
        const double spent = microsecondsOf([&] {
            for (std::uint32_t n = 0; n < rounds; ++n)
                feedRound();
        });
        return spent / (static_cast<double>(rounds) * static_cast<double>(m_attempts.size()));
    }

    // Microseconds a request of one token, from its opening to its end.
    [[nodiscard]] double requestCost(std::uint32_t requests)
    {
        const double spent = microsecondsOf([&] {
            for (std::uint32_t n = 0; n < requests; ++n) {
                open();
                const AttemptId attempt = m_attempts.back();
                m_attempts.pop_back();
                give(TokenArrived{attempt, TokenOffset(0), "token"});
                give(AttemptFinished{attempt, TokenOffset(1), FinishReason::Stop});
            }
        });
        return spent / requests;
    }

    // Microseconds a load report of one engine.
    [[nodiscard]] double reportCost(std::uint32_t rounds)
    {
        const double spent = microsecondsOf([&] {
            for (std::uint32_t n = 0; n < rounds * m_targets; ++n)
                give(LoadReported{TargetId(absl::StrCat("engine-", n % m_targets)), 1, 0, absl::Seconds(1)});
        });
        return spent / (rounds * m_targets);
    }

private:
    static constexpr std::uint32_t workspaces = 10;

    void open()
    {
        const std::uint64_t number = ++m_opened;
        RequestOpened request;
        request.generation = GenerationId(absl::StrCat("generation-of-this-run-", number));
        request.workspace = WorkspaceName(absl::StrCat("workspace-", number % workspaces));
        request.service = ServiceName("summariser");
        request.prefixHash = PromptPrefixHash(number % 97);
        request.promptTokens = 1000;
        request.maxTokens = 100000;
        for (const auto &action : give(request)) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                m_attempts.push_back(start->attempt);
                give(AttemptStarted{start->attempt, EngineStreamId(absl::StrCat("stream-", number))});
            }
        }
    }

    void feedRound()
    {
        for (const auto &it : m_attempts)
            give(TokenArrived{it, TokenOffset(m_nextOffset), "token"});
        ++m_nextOffset;
        m_now += absl::Milliseconds(41);
        if (m_router->nextWakeUp() <= m_now)
            give(Tick{});
    }

    RoutingActions give(const RoutingEvent &event) { return m_router->handle(event, m_now); }

    std::uint32_t m_targets;
    SeededRandom m_random{1};
    std::unique_ptr<Router> m_router{Router::create(m_random)};
    absl::Time m_now{absl::UnixEpoch() + absl::Hours(1)};
    double m_heapBefore{0};
    std::vector<AttemptId> m_attempts;
    std::uint64_t m_opened{0};
    std::uint64_t m_nextOffset{0};
};

} // namespace detail

void printRouterSlopes()
{
    std::cout << "one router by running generations and targets\n";
    std::cout << absl::StreamFormat("  %12s %8s %12s %14s %14s %20s\n", "generations", "targets",
                                    "us a token", "us a request", "us a report", "bytes a generation");
    constexpr std::uint32_t tokenRounds = 100;
    constexpr std::uint32_t requests = 1000;
    constexpr std::uint32_t reportRounds = 20;
    for (std::uint32_t targets : {24, 150, 600}) {
        for (std::uint32_t generations : {50, 150, 600, 2400}) {
            detail::LoadedRouter router(targets, generations);
            const double bytes = router.bytesPerGeneration();
            const double token = router.tokenCost(tokenRounds);
            const double report = router.reportCost(reportRounds);
            std::cout << absl::StreamFormat("  %12d %8d %12.2f %14.1f %14.2f %20.0f\n", generations, targets,
                                            token, router.requestCost(requests), report, bytes);
        }
    }
}

} // namespace Wisteria::Measure
