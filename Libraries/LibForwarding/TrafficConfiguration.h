// What operators configure for forwarded traffic: routes, services, workspaces and the limits towards
// callers. A configuration is immutable; a newer version replaces it as a whole.

#pragma once

#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Wisteria {

// What may be repeated on a route.
enum class RouteKind {
    // A plain request that may run any number of times.
    Idempotent,
    // A request that runs at most once.
    AtMostOnce,
    // A stream of events that another target may continue after the last delivered event.
    ResumableStream,
    // A stream that runs at most once.
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
    // Relative to the other shares of the route.
    double weight{1};
};

struct RouteSpec
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind{RouteKind::AtMostOnce};
    // The longest time that a caller is kept waiting for the complete answer.
    absl::Duration timeout{absl::Seconds(30)};
    // The latency within which an answer is on time; for streams up to the first event.
    absl::Duration latencyObjective{absl::Seconds(1)};
    // The longest pause between two events of a stream that is still on time.
    absl::Duration maxEventGap{absl::Seconds(1)};
    // Zero is the most urgent.
    int priority{0};
    // Targets on which one request may run.
    int maxAttempts{1};
    bool isAnonymous{false};
    // Invariant: not empty.
    std::vector<ServiceShare> shares;
};

// What a model engine of a service can do.
struct EngineCapabilities
{
    std::int64_t memoryTokens{0};
    int slots{0};
    // The engine can send a copy of a running generation's memory to another engine.
    bool supportsCopies{false};
};

struct ForwardedService
{
    ServiceName name;
    // Connections that one target accepts from all routers together.
    int maxConnections{100};
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
    // Replaces the route's priority where it is set, that is not negative.
    int priority{-1};
};

struct TrafficConfiguration
{
    ConfigVersion version;
    std::vector<RouteSpec> routes;
    std::vector<ForwardedService> services;
    // Empty: requests need no key.
    std::vector<WorkspaceKeys> workspaces;
    CallerLimits limits;
};

} // namespace Wisteria
