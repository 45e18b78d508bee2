// Interface to the platform's object store: lists and watches all objects of a kind and publishes the
// router's own record. All calls are asynchronous; results are delivered on the event loop.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>
#include <LibForwarding/TargetPool.h>
#include <LibForwarding/TrafficConfiguration.h>

#include <absl/time/time.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Wisteria {

enum class DirectoryKind { Configuration, Targets, Routers };

// NOLINTNEXTLINE(bugprone-exception-escape): the library declares a move that allocates as noexcept.
struct DirectoryObject
{
    std::string name;
    // Store revision of the last change to the object.
    ObjectVersion revision;
    // Content in the store's format; decoded by DirectoryDecoder.
    nlohmann::json content;
    bool isRemoved{false};
};

struct DirectoryBatch
{
    std::vector<DirectoryObject> objects;
    // Store revision up to which the batch is complete.
    ObjectVersion revision;
};

// Errors of list and watch: StoreUnavailable, or Conflict when the store no longer has the history after the
// revision.
using DirectoryHandler = std::function<void(ErrorOr<DirectoryBatch>)>;

struct RouterRecord
{
    RouterId id;
    FailureDomain domain;
    std::string callerAddress;
    std::string peerAddress;
};

class DirectoryStore
{
public:
    virtual ~DirectoryStore() = default;

    // Lists all current objects of the kind.
    virtual void list(DirectoryKind, DirectoryHandler) = 0;
    // Waits up to `wait` for changes after the revision; returns an empty batch on timeout.
    virtual void watch(DirectoryKind, ObjectVersion after, absl::Duration wait, DirectoryHandler) = 0;
    // Creates or replaces the router's own record. Errors: StoreUnavailable, StoreOutcomeUnknown.
    virtual void publish(const RouterRecord &, std::function<void(ErrorOr<void>)>) = 0;
};

// Decodes objects of the store. Errors: InvalidRequest when the content is unusable.
class DirectoryDecoder
{
public:
    virtual ~DirectoryDecoder() = default;
    [[nodiscard]] virtual ErrorOr<TrafficConfiguration> configuration(const DirectoryObject &) const = 0;
    [[nodiscard]] virtual ErrorOr<ForwardingTarget> target(const DirectoryObject &) const = 0;
    [[nodiscard]] virtual ErrorOr<RouterRecord> router(const DirectoryObject &) const = 0;
};

} // namespace Wisteria
