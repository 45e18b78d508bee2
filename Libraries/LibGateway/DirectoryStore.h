// Interface to the platform's object store: lists and watches all objects of a kind and publishes the
// router's own record. All calls are asynchronous; results are delivered on the event loop.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>
#include <LibCore/StorePosition.h>
#include <LibForwarding/RolloutOrder.h>
#include <LibForwarding/TargetPool.h>
#include <LibForwarding/TrafficConfiguration.h>

#include <absl/time/time.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Wisteria {

enum class DirectoryKind { Configuration, Targets, Routers, Rollouts };

// NOLINTNEXTLINE(bugprone-exception-escape): the library declares a move that allocates as noexcept.
struct DirectoryObject
{
    std::string name;
    // Position of the last change to the object.
    StorePosition position;
    // Content in the store's format; decoded by DirectoryDecoder.
    nlohmann::json content;
    bool isRemoved{false};
};

struct DirectoryBatch
{
    std::vector<DirectoryObject> objects;
    // Position up to which the batch is complete.
    StorePosition position;
};

// Errors of list and watch: StoreUnavailable, or Conflict when the store does not have the history after the
// revision: it was discarded, or the store was restored from a copy that is older than the revision.
using DirectoryHandler = std::function<void(ErrorOr<DirectoryBatch>)>;

struct RouterRecord
{
    RouterId id;
    FailureDomain domain;
    std::string callerAddress;
    std::string peerAddress;
};

struct RolloutStatusWrite
{
    // Name of the object.
    std::string name;
    ObjectVersion revision;
    RolloutState state{RolloutState::Running};
    TargetVersion target;
};

class DirectoryStore
{
public:
    virtual ~DirectoryStore() = default;

    // Lists all objects of the kind. The list reflects all writes that were acknowledged before the call.
    virtual void list(DirectoryKind, DirectoryHandler) = 0;
    // Waits up to `wait` for changes after the position; returns an empty batch on timeout. The batch may be
    // of a later era than the position; it is then incomplete.
    virtual void watch(DirectoryKind, StorePosition after, absl::Duration wait, DirectoryHandler) = 0;
    // Creates or replaces the router's own record. Returns the era that the record was written in; a later
    // era may lack it. Errors: StoreUnavailable, StoreOutcomeUnknown.
    virtual void publish(const RouterRecord &, std::function<void(ErrorOr<StoreEra>)>) = 0;
    // Writes the state of a rollout if its object still has this revision. Returns the object's new revision.
    // Errors: Conflict if the object has changed, StoreUnavailable if nothing was written,
    // StoreOutcomeUnknown.
    virtual void writeRolloutStatus(const RolloutStatusWrite &,
                                    std::function<void(ErrorOr<ObjectVersion>)>) = 0;
};

// Decodes objects of the store. Errors: InvalidRequest when the content is unusable.
class DirectoryDecoder
{
public:
    virtual ~DirectoryDecoder() = default;
    [[nodiscard]] virtual ErrorOr<TrafficConfiguration> configuration(const DirectoryObject &) const = 0;
    [[nodiscard]] virtual ErrorOr<ForwardingTarget> target(const DirectoryObject &) const = 0;
    [[nodiscard]] virtual ErrorOr<RouterRecord> router(const DirectoryObject &) const = 0;
    [[nodiscard]] virtual ErrorOr<RolloutRecord> rollout(const DirectoryObject &) const = 0;
};

} // namespace Wisteria
