// The platform's object API: versioned values, conditional updates and watches.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

struct StoredObject
{
    std::string name;
    ObjectVersion version;
    std::string body;
};

// Calls block up to the client's timeout and may run on any thread.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Empty when there is no such object. Errors: StoreUnavailable.
    [[nodiscard]] virtual ErrorOr<std::optional<StoredObject>> get(const std::string &kind,
                                                                   const std::string &name) = 0;

    // Writes when the object's version is `expected`; zero means that there must be none. Returns the new
    // version. Errors: Conflict and StoreUnavailable, both without effect; StoreOutcomeUnknown when the reply
    // was lost.
    [[nodiscard]] virtual ErrorOr<ObjectVersion> put(const std::string &kind, const std::string &name,
                                                     const std::string &body, ObjectVersion expected) = 0;

    // Waits up to the timeout for a version above `after`; empty when none came. One counted call.
    // Errors: StoreUnavailable.
    [[nodiscard]] virtual ErrorOr<std::optional<StoredObject>>
    watch(const std::string &kind, const std::string &name, ObjectVersion after, absl::Duration timeout) = 0;
};

} // namespace Wisteria
