// How callers and targets of a site speak: the one place where names of headers and forms of bodies come from.
// A site's adapter implements it; the gateway knows only these types.

#pragma once

#include <LibCore/Error.h>
#include <LibForwarding/Request.h>
#include <LibForwarding/TargetPool.h>
#include <LibNet/HttpMessage.h>

#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

// One attempt as the target is told of it.
struct TargetOrder
{
    TargetId target;
    absl::Duration timeLeft;
    // Unset on routes without keys.
    std::optional<WorkspaceName> workspace;
    // Continue the stream after this event.
    std::optional<EventNumber> lastEvent;
    // Address of the target that should keep a copy of the running generation; empty for none.
    std::string copyHolder;
    // Continue from the copy that the target at this address, the one that is asked, keeps; empty for none.
    std::string continueFromCopyAt;
    // Zero is the most urgent.
    int priority{0};
};

enum class AnswerOrigin {
    // The target ran the request, and the answer is whole in its head.
    Target,
    // The target says that it did not run the request: it has no room.
    NotRunFull,
    // Another target has taken the address; the request was not run.
    NotRunReplaced,
    // Not an answer of this request's run: no proof of origin, or another request's id.
    Foreign,
};

struct EntryPointQuery
{
    FailureDomain domain;
};

class Dialect
{
public:
    virtual ~Dialect() = default;

    // Errors: InvalidRequest when a field cannot be read.
    [[nodiscard]] virtual ErrorOr<CallerRequest> readRequest(const HttpFields &) const = 0;
    // Turns the caller's fields into those that the target gets.
    virtual void writeTargetFields(HttpFields &, const CallerRequest &, const TargetOrder &) const = 0;
    [[nodiscard]] virtual AnswerOrigin judgeAnswer(const HttpResponseHead &, const RequestId &) const = 0;
    [[nodiscard]] virtual bool isEventStream(const HttpResponseHead &) const = 0;
    // Empty when the target is not one that asks for entry points.
    [[nodiscard]] virtual std::optional<EntryPointQuery> readEntryPointQuery(std::string_view target) const = 0;
    [[nodiscard]] virtual HttpResponse writeEntryPoints(const std::vector<std::string> &addresses,
                                                        absl::Duration lifetime) const = 0;
    [[nodiscard]] virtual bool isReadinessCheck(std::string_view target) const = 0;
};

} // namespace Wisteria
