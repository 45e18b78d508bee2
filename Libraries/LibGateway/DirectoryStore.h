// The platform's object store as the gateway uses it: lists and watches of whole kinds, and its own entry.
// All calls return at once; results come on the event loop.

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
    // Revision of the store at the object's last change.
    ObjectVersion revision;
    // The object's content in the store's own form; decoded by the DirectoryDecoder.
    nlohmann::json content;
    bool isRemoved{false};
};

struct DirectoryBatch
{
    std::vector<DirectoryObject> objects;
    // The store's revision up to which the batch is complete.
    ObjectVersion revision;
};

// Errors of both calls: StoreUnavailable, and Conflict when the history after the revision is gone.
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

    // All objects of the kind, as of now.
    virtual void list(DirectoryKind, DirectoryHandler) = 0;
    // Waits for changes after the revision; an empty batch when none came within `wait`.
    virtual void watch(DirectoryKind, ObjectVersion after, absl::Duration wait, DirectoryHandler) = 0;
    // Writes the router's own entry, new or not. Errors: StoreUnavailable; StoreOutcomeUnknown.
    virtual void publish(const RouterRecord &, std::function<void(ErrorOr<void>)>) = 0;
};

// Decodes objects of the store. Errors: InvalidRequest for content that names nothing usable.
class DirectoryDecoder
{
public:
    virtual ~DirectoryDecoder() = default;
    [[nodiscard]] virtual ErrorOr<TrafficConfiguration> configuration(const DirectoryObject &) const = 0;
    [[nodiscard]] virtual ErrorOr<ForwardingTarget> target(const DirectoryObject &) const = 0;
    [[nodiscard]] virtual ErrorOr<RouterRecord> router(const DirectoryObject &) const = 0;
};

} // namespace Wisteria
