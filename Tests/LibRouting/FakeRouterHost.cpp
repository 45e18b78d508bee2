// The host's clock, and shorthands for common events.

#include "FakeRouterHost.h"

namespace Wisteria {

FakeRouterHost::FakeRouterHost(PresetSpec preset) : m_router(Router::create(m_random))
{
    preset.name = PresetName("test");
    configuration.presetInForce = preset.name;
    configuration.presets[preset.name] = preset;
    ServiceSpec service{.name = ServiceName("digest"), .model = ModelName("m"), .modelVersion = "1"};
    configuration.services[service.name] = service;
    WorkspaceSpec workspace{.name = WorkspaceName("kochi")};
    configuration.workspaces[workspace.name] = workspace;
    applyConfiguration();
    feed(FreshnessChanged{true});
}

RoutingActions FakeRouterHost::feed(const RoutingEvent &event)
{
    return m_router->handle(event, now);
}

RoutingActions FakeRouterHost::advance(absl::Duration duration)
{
    const absl::Time end = now + duration;
    RoutingActions out;
    while (m_router->nextWakeUp() <= end) {
        now = std::max(now, m_router->nextWakeUp());
        auto actions = feed(Tick{});
        out.insert(out.end(), actions.begin(), actions.end());
    }
    now = end;
    return out;
}

void FakeRouterHost::setTarget(const std::string &id, std::uint32_t slots, TargetPhase phase)
{
    feed(TargetChanged{TargetId(id), ServiceName("digest"), FailureDomain("a"), slots, phase});
}

RoutingActions FakeRouterHost::applyConfiguration()
{
    configuration.version = ConfigVersion(configuration.version.value() + 1);
    return feed(ConfigurationChanged{configuration});
}

RoutingActions FakeRouterHost::open(const std::string &id, Urgency urgency)
{
    return feed(RequestOpened{.generation = GenerationId(id),
                              .workspace = WorkspaceName("kochi"),
                              .service = ServiceName("digest"),
                              .urgency = urgency,
                              .promptTokens = 100,
                              .maxTokens = 1000});
}

RoutingActions FakeRouterHost::reopen(const std::string &id, const ResumePoint &point)
{
    return feed(RequestOpened{.generation = GenerationId(id),
                              .workspace = WorkspaceName("kochi"),
                              .service = ServiceName("digest"),
                              .promptTokens = 100,
                              .maxTokens = 1000,
                              .resume = point});
}

RoutingActions FakeRouterHost::feedTokens(AttemptId attempt, std::uint64_t from, std::uint64_t count)
{
    RoutingActions out;
    for (std::uint64_t it = from; it < from + count; ++it) {
        now += absl::Milliseconds(20);
        auto actions = feed(TokenArrived{attempt, TokenOffset(it), std::to_string(it)});
        out.insert(out.end(), actions.begin(), actions.end());
    }
    return out;
}

} // namespace Wisteria
