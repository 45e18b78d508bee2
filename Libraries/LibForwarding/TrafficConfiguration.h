// Configuration of forwarded traffic: routes, services, workspaces and limits for callers. A configuration is
// immutable and is replaced as a whole by a newer version.

#pragma once

#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Wisteria {

// Execution semantics of requests on a route, which determine what may be retried.
enum class RouteKind {
    // A plain request that may be executed any number of times.
    Idempotent,
    // A plain request that is executed at most once.
    AtMostOnce,
    // An event stream that another target can resume after the last delivered event.
    ResumableStream,
    // An event stream that is executed at most once.
    AtMostOnceStream,
};

[[nodiscard]] inline bool isStream(RouteKind kind)
{
    return kind == RouteKind::ResumableStream || kind == RouteKind::AtMostOnceStream;
}

[[nodiscard]] inline bool isRetryable(RouteKind kind)
{
    return kind == RouteKind::Idempotent || kind == RouteKind::ResumableStream;
}

struct ServiceShare
{
    ServiceName service;
    // Relative to the other weights of the route.
    double weight{1};
};

struct RouteSpec
{
    std::string name;
    std::string host;
    // Starts and ends with a slash.
    std::string pathPrefix;
    RouteKind kind{RouteKind::AtMostOnce};
    // Maximum time until the response is complete.
    absl::Duration timeout{absl::Seconds(30)};
    // Latency objective of a response; for streams, of the first event.
    absl::Duration latencyObjective{absl::Seconds(1)};
    // Maximum gap between two events of a stream that meets its latency objective.
    absl::Duration maxEventGap{absl::Seconds(1)};
    // Zero is the highest priority.
    int priority{0};
    // Maximum number of targets on which one request may be executed.
    int maxAttempts{1};
    bool isAnonymous{false};
    // Invariant: not empty.
    std::vector<ServiceShare> shares;
};

// Capabilities of a service's model engines.
struct EngineCapabilities
{
    std::int64_t memoryTokens{0};
    int slots{0};
    // The engine can send a copy of a running generation's KV cache to another engine.
    bool supportsCopies{false};
    // The engine can be asked to stop a running generation.
    bool canStopRuns{false};
};

struct ForwardedService
{
    ServiceName name;
    // Maximum number of connections that one target accepts from all routers together.
    int maxConnections{100};
    // Where a target says which process it is; empty if it doesn't.
    std::string statusPath;
    bool isModelService{false};
    EngineCapabilities engine;
};

struct CallerLimits
{
    std::size_t maxHeaderBytes{16384};
    std::size_t maxBodyBytes{std::size_t{4} << 20U};
    absl::Duration headerTimeout{absl::Seconds(3)};
    absl::Duration idleTimeout{absl::Seconds(15)};
};

struct WorkspaceKeys
{
    WorkspaceName name;
    std::vector<std::string> apiKeys;
    // Takes precedence over the route's priority unless negative.
    int priority{-1};
};

struct TrafficConfiguration
{
    ConfigVersion version;
    std::vector<RouteSpec> routes;
    std::vector<ForwardedService> services;
    // Requests need the key of a workspace, also while there is none.
    bool hasWorkspaces{false};
    std::vector<WorkspaceKeys> workspaces;
    CallerLimits limits;
};

} // namespace Wisteria
