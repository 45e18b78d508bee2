// How callers and targets of a site speak: the one place where names of headers and forms of bodies come
// from. A site's adapter implements it; the gateway knows only these types.

#pragma once

#include <LibCore/Error.h>
#include <LibForwarding/Request.h>
#include <LibForwarding/TargetPool.h>
#include <LibNet/HttpMessage.h>

#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

// A copy of a run's memory, as the target that goes on from it is told of it.
struct CopySource
{
    // Address of the target that keeps the copy, or of the one that made it where the copy has a handle.
    std::string address;
    // Empty: the copy goes by the request's id.
    std::string handle;
};

// A call of a target that is no caller's request.
struct ControlRequest
{
    std::string method;
    std::string path;
    std::string body;
};

enum class CopyOutcome { Made, Refused, Impossible };

struct CopyResponse
{
    CopyOutcome outcome{CopyOutcome::Refused};
    std::string handle;
};

// One attempt as the target is told of it.
struct AttemptParameters
{
    TargetId target;
    absl::Duration timeLeft;
    // Unset on routes without keys.
    std::optional<WorkspaceName> workspace;
    // Continue the stream after this event.
    std::optional<EventNumber> lastEvent;
    // Address of the target that should keep a copy of the running generation; empty for none.
    std::string copyHolder;
    // Where to continue from; unset for reading the prompt.
    std::optional<CopySource> resumeFrom;
    // Zero is the most urgent.
    int priority{0};
};

enum class ResponseClass {
    // The target ran the request, and the answer is whole in its head.
    Executed,
    // The target says that it did not run the request: it has no room.
    RejectedFull,
    // Another target has taken the address; the request was not run.
    RejectedReplaced,
    // Not an answer of this request's run: no proof of origin, or another request's id.
    Untrusted,
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
    virtual void writeTargetFields(HttpFields &, const CallerRequest &, const AttemptParameters &) const = 0;
    [[nodiscard]] virtual ResponseClass classifyResponse(const HttpResponseHead &,
                                                         const RequestId &) const = 0;
    [[nodiscard]] virtual bool isEventStream(const HttpResponseHead &) const = 0;
    // Asks the target of a run to copy its memory to the holder, and the run to go on.
    [[nodiscard]] virtual ControlRequest makeCopyRequest(const RequestId &,
                                                         const std::string &holderAddress) const = 0;
    [[nodiscard]] virtual CopyResponse parseCopyResponse(const HttpResponse &) const = 0;
    [[nodiscard]] virtual ControlRequest makeCopyReleaseRequest(const std::string &handle) const = 0;
    // Empty when the target is not one that asks for entry points.
    [[nodiscard]] virtual std::optional<EntryPointQuery>
    readEntryPointQuery(std::string_view target) const = 0;
    [[nodiscard]] virtual HttpResponse writeEntryPoints(const std::vector<std::string> &addresses,
                                                        absl::Duration lifetime) const = 0;
    [[nodiscard]] virtual bool isReadinessCheck(std::string_view target) const = 0;
};

} // namespace Wisteria
