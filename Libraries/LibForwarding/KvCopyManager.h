// Maintains a copy of a running generation's KV cache on a second target, so that the stream can be resumed
// there if its target fails.
//
// Failure domains can fail one after the other during one stream. The backup that the target keeps at
// the holder named in the attempt is lost together with that holder. From then on, the manager requests
// copies at other holders and renews them, because a requested copy expires.
//
// A state machine without I/O.

#pragma once

#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wisteria {

// A KV cache copy from which a stream can be resumed.
struct KvCopy
{
    TargetId holder;
    // Handle that the target assigned to the copy. Empty for the backup that the target keeps at the
    // holder named in the attempt.
    std::string handle;
};

namespace KvCopyEvents {

// An attempt was started whose target keeps a backup at the given holder. Empty if no holder was available.
struct AttemptStarted
{
    std::optional<TargetId> holder;
};
// The first event was received, so there is a KV cache to copy.
struct FirstEventReceived
{
};
// A target failed, was replaced or was removed from the directory; neither draining nor a lost connection
// alone raises this event. Ignored unless the target holds the copy.
struct TargetLost
{
    TargetId target;
};
// Results of calls are ignored unless they belong to the latest call of the running attempt.
struct CopyCreated
{
    int callId{0};
    TargetId holder;
    std::string handle;
};
// The holder had no room or was unreachable, or no holder was available.
struct CopyFailed
{
    int callId{0};
};
// The target cannot copy this generation.
struct CopyUnsupported
{
    int callId{0};
};
// The attempt ended. A copy with a handle is deleted.
struct AttemptEnded
{
};
struct Tick
{
};

} // namespace KvCopyEvents

using KvCopyEvent =
    std::variant<KvCopyEvents::AttemptStarted, KvCopyEvents::FirstEventReceived, KvCopyEvents::TargetLost,
                 KvCopyEvents::CopyCreated, KvCopyEvents::CopyFailed, KvCopyEvents::CopyUnsupported,
                 KvCopyEvents::AttemptEnded, KvCopyEvents::Tick>;

namespace KvCopyActions {

// Asks the target to send a copy to the holder, or to one that the host chooses.
struct CreateCopy
{
    // Returned with the result.
    int callId{0};
    std::optional<TargetId> holder;
};
struct DeleteCopy
{
    std::string handle;
};
struct SetTimer
{
    absl::Time at;
};

} // namespace KvCopyActions

using KvCopyAction =
    std::variant<KvCopyActions::CreateCopy, KvCopyActions::DeleteCopy, KvCopyActions::SetTimer>;

class KvCopyManager
{
public:
    // Interval for renewing a copy with a handle. Targets keep such a copy for four seconds.
    static constexpr absl::Duration renewInterval = absl::Milliseconds(1500);
    // Delay before retrying a failed call.
    static constexpr absl::Duration retryDelay = absl::Milliseconds(500);

    [[nodiscard]] std::vector<KvCopyAction> handle(const KvCopyEvent &, absl::Time now);
    // The copy from which the stream can currently be resumed.
    [[nodiscard]] const std::optional<KvCopy> &copy() const { return m_copy; }

private:
    void on(const KvCopyEvents::AttemptStarted &, absl::Time now);
    void on(const KvCopyEvents::FirstEventReceived &, absl::Time now);
    void on(const KvCopyEvents::TargetLost &, absl::Time now);
    void on(const KvCopyEvents::CopyCreated &, absl::Time now);
    void on(const KvCopyEvents::CopyFailed &, absl::Time now);
    void on(const KvCopyEvents::CopyUnsupported &, absl::Time now);
    void on(const KvCopyEvents::AttemptEnded &, absl::Time now);
    void on(const KvCopyEvents::Tick &, absl::Time now);

    void requestCopy();
    // Records that a call has completed. Returns false if it is not the pending one.
    [[nodiscard]] bool completeCall(int callId);
    void setTimer(absl::Time at);

    std::optional<KvCopy> m_copy;
    bool m_hasEvents{false};
    bool m_isDisabled{false};
    // The call with the id m_lastCallId is pending.
    bool m_isCallPending{false};
    // Invariant: never decreases, also not across attempts, so that results of calls from earlier attempts
    // are recognized.
    int m_lastCallId{0};
    std::optional<absl::Time> m_nextCopyAt;
    std::vector<KvCopyAction> m_actions;
};

} // namespace Wisteria
