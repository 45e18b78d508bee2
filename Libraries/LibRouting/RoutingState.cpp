// Configuration lookups and the plug-ins of the active preset.

#include <LibRouting/RoutingState.h>

#include <LibCore/Verify.h>
#include <LibRouting/BuiltInPlugins.h>

namespace Wisteria {

namespace detail {

constexpr std::string_view defaultSelection = "affinity";
constexpr std::string_view defaultPolicy = "adaptive";

// NOTE: A preset may name a plug-in that this version of the router does not know. The default plug-in is
// used then, so that the router keeps serving.
template <typename Interface>
std::unique_ptr<Interface> createPlugin(std::string_view name, std::string_view fallback)
{
    auto plugin = PluginRegistry<Interface>::instance().create(name);
    if (!plugin)
        plugin = PluginRegistry<Interface>::instance().create(fallback);
    VERIFY(plugin != nullptr);
    return plugin;
}

} // namespace detail

RoutingState::RoutingState(RandomSource &source) : random(source)
{
    detail::linkBuiltInPlugins();
    selector =
        detail::createPlugin<TargetSelector>(configuration.preset().selection, detail::defaultSelection);
    const std::string &policy = configuration.preset().resume.policy;
    policies[policy] = detail::createPlugin<ResumePolicy>(policy, detail::defaultPolicy);
}

void RoutingState::apply(const FleetConfiguration &newer)
{
    if (newer.version <= configuration.version)
        return;
    const std::string oldSelection = configuration.preset().selection;
    configuration = newer;
    const PresetSpec &preset = configuration.preset();
    if (preset.selection != oldSelection)
        selector = detail::createPlugin<TargetSelector>(preset.selection, detail::defaultSelection);
    policies.clear();
    policies[preset.resume.policy] =
        detail::createPlugin<ResumePolicy>(preset.resume.policy, detail::defaultPolicy);
    for (const auto &[name, spec] : preset.resumeByService)
        policies[spec.policy] = detail::createPlugin<ResumePolicy>(spec.policy, detail::defaultPolicy);
}

const ServiceSpec *RoutingState::service(const ServiceName &name) const
{
    auto it = configuration.services.find(name);
    return it == configuration.services.end() ? nullptr : &it->second;
}

const WorkspaceSpec *RoutingState::workspace(const WorkspaceName &name) const
{
    auto it = configuration.workspaces.find(name);
    return it == configuration.workspaces.end() ? nullptr : &it->second;
}

const ResumeSpec &RoutingState::resumeSpec(const ServiceName &name) const
{
    const PresetSpec &preset = configuration.preset();
    auto it = preset.resumeByService.find(name);
    return it == preset.resumeByService.end() ? preset.resume : it->second;
}

const ResumePolicy &RoutingState::resumePolicy(const ServiceName &name) const
{
    return *policies.at(resumeSpec(name).policy);
}

bool RoutingState::hasSameModel(const Generation &generation) const
{
    const ServiceSpec *spec = service(generation.request.service);
    if (!spec || spec->model != generation.model || spec->modelVersion != generation.modelVersion)
        return false;
    const auto &openedUnder = generation.request.openedUnder;
    return !openedUnder || *openedUnder == spec->stamp.changedIn;
}

absl::Duration RoutingState::jitteredRetryDelay(absl::Duration base)
{
    constexpr std::uint64_t steps = 1000;
    return base * (1 + static_cast<double>(random.below(steps)) / (2 * steps));
}

void RoutingState::record(DecisionKind kind, const GenerationId &generation, TargetId chosen,
                          std::string reason, std::vector<TargetId> alternatives)
{
    actions.push_back(
        RecordDecision{kind, generation, std::move(chosen), std::move(alternatives), std::move(reason)});
}

} // namespace Wisteria
