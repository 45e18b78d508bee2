// The HTTP conventions of one site: header names and body formats used by its callers and targets. A site's
// adapter implements Dialect; the gateway works only with the types declared here.

#pragma once

#include <LibCore/Error.h>
#include <LibForwarding/Request.h>
#include <LibForwarding/RunStopper.h>
#include <LibForwarding/TargetPool.h>
#include <LibNet/HttpMessage.h>

#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

// Tells a target where to fetch a copy of a generation's KV cache.
struct CopySource
{
    // Address of the target that holds the copy, or of the target that created it if the copy has a handle.
    std::string address;
    // If empty, the copy is identified by the request ID.
    std::string handle;
};

// A request that the gateway itself sends to a target, as opposed to a forwarded caller request.
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

// What a target says of a run that it was asked to stop.
enum class StopOutcome {
    // It has no such run.
    NotRunning,
    // It was still at work on it.
    Stopped,
    // It can't stop the run now.
    Busy,
    Unknown,
};

struct StopResponse
{
    StopOutcome outcome{StopOutcome::Unknown};
    // The target may keep the KV cache of a stopped run under this handle.
    std::string handle;
};

// Which process answered a status check.
enum class TargetIdentity {
    Same,
    // Another process uses the address.
    Other,
    // The target was too busy to say.
    Unknown,
};

// Parameters of one attempt, passed to the target in header fields.
struct AttemptParameters
{
    TargetId target;
    absl::Duration timeLeft;
    // Unset on routes that require no API key.
    std::optional<WorkspaceName> workspace;
    // The target resumes the stream after this event.
    std::optional<EventNumber> lastEvent;
    // Address of the target that should hold a copy of the running generation; empty for none.
    std::string copyHolder;
    // Copy to resume from; if unset, the target processes the whole prompt.
    std::optional<CopySource> resumeFrom;
    // Zero is the highest priority.
    int priority{0};
};

enum class ResponseClass {
    // The target executed the request; its response head is valid.
    Executed,
    // The target rejected the request without executing it because it has no capacity.
    RejectedFull,
    // Another target now uses the address; the request was not executed.
    RejectedReplaced,
    // The response cannot be attributed to this request: it is not marked as the target's own, carries
    // another request ID or has a content encoding.
    Untrusted,
};

// Whether an answer may be one more copy of an answer to an earlier request on its connection. On a kept one,
// only the request's id shows whose it is.
enum class ConnectionAge { New, Kept };

struct EntryPointQuery
{
    FailureDomain domain;
};

class Dialect
{
public:
    virtual ~Dialect() = default;

    // Errors: InvalidRequest when a header field is missing or malformed.
    [[nodiscard]] virtual ErrorOr<CallerRequest> readRequest(const HttpFields &) const = 0;
    // Whether the field is for the other end of a request, so that no connection may take it away. The case
    // of the name doesn't matter.
    [[nodiscard]] virtual bool isEndToEndField(std::string_view name) const = 0;
    // Replaces the caller's header fields with those for the target.
    virtual void writeTargetFields(HttpFields &, const CallerRequest &, const AttemptParameters &) const = 0;
    [[nodiscard]] virtual ResponseClass classifyResponse(const HttpResponseHead &, const RequestId &,
                                                         ConnectionAge) const = 0;
    // The target that answered, if the head names it.
    [[nodiscard]] virtual std::optional<TargetId> readAnsweringTarget(const HttpResponseHead &) const = 0;
    // Fields that are malformed are ignored.
    [[nodiscard]] virtual TargetNotice readTargetNotice(const HttpResponseHead &) const = 0;
    [[nodiscard]] virtual bool isEventStream(const HttpResponseHead &) const = 0;
    // Asks the target to copy the KV cache of a running generation to the holder while the generation
    // continues.
    [[nodiscard]] virtual ControlRequest makeCopyRequest(const RequestId &,
                                                         const std::string &holderAddress) const = 0;
    [[nodiscard]] virtual CopyResponse parseCopyResponse(const HttpResponse &) const = 0;
    // Asks the target to stop a generation if it still runs it. `otherAddress` is that of another target.
    [[nodiscard]] virtual ControlRequest makeStopRequest(const RequestId &,
                                                         const std::string &otherAddress) const = 0;
    [[nodiscard]] virtual StopResponse parseStopResponse(const HttpResponse &) const = 0;
    // Asks the target which requests it runs, and how many wait.
    [[nodiscard]] virtual ControlRequest makeQueueReportRequest() const = 0;
    // Absent only if the report is complete and leaves no place for the request.
    [[nodiscard]] virtual QueuePresence parseQueueReport(const HttpResponse &, const RequestId &) const = 0;
    [[nodiscard]] virtual ControlRequest makeCopyReleaseRequest(const std::string &handle) const = 0;
    // `path` is the statusPath of the target's service.
    [[nodiscard]] virtual ControlRequest makeStatusCheck(const std::string &path) const = 0;
    [[nodiscard]] virtual TargetIdentity parseStatusResponse(const HttpResponse &,
                                                             const TargetProcess &) const = 0;
    // Returns an empty optional if the request is not an entry point query.
    [[nodiscard]] virtual std::optional<EntryPointQuery>
    readEntryPointQuery(std::string_view requestTarget) const = 0;
    [[nodiscard]] virtual HttpResponse writeEntryPoints(const std::vector<std::string> &addresses,
                                                        absl::Duration lifetime) const = 0;
    [[nodiscard]] virtual bool isReadinessCheck(std::string_view requestTarget) const = 0;
};

// The same as removeConnectionFields() of LibNet, without the dialect's end-to-end fields.
inline void removeConnectionFields(HttpFields &fields, const Dialect &dialect)
{
    removeConnectionFields(fields, [&dialect](std::string_view it) { return dialect.isEndToEndField(it); });
}

} // namespace Wisteria
