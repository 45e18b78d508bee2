// Keeps a second copy of a running generation's memory, so that its stream can go on after its target is
// lost.
//
// Load pattern: failure domains are lost one after the other, each within the life of a stream. The copy that
// the target sends by itself is lost with its holder; from then on this asks for copies at another holder,
// again and again, since such a copy lasts only for a while. A state machine without I/O.

#pragma once

#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wisteria {

// A copy from which a stream can go on.
struct KvCopy
{
    TargetId holder;
    // The name that the target gave the copy; empty for one that the target sends by itself.
    std::string handle;
};

namespace KvCopyEvents {

// An attempt began whose target sends a copy to the holder by itself; empty when no holder was to be had.
struct AttemptStarted
{
    std::optional<TargetId> holder;
};
// The stream has events, so that there is something to copy.
struct FirstEventReceived
{
};
// The target is lost, leaving or replaced; does nothing unless it is the holder.
struct TargetLost
{
    TargetId target;
};
// An answer counts only for the latest call of the running attempt.
struct CopyCreated
{
    int callId{0};
    TargetId holder;
    std::string handle;
};
// The holder had no room or could not be reached, or there is none.
struct CopyFailed
{
    int callId{0};
};
// The target can make no copies of this run.
struct CopyUnsupported
{
    int callId{0};
};
// The attempt is over; a copy by name is given back.
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

// Have the target send a copy to the holder, or to one that the host chooses.
struct CreateCopy
{
    // Comes back with the answer.
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
    // A copy by name is renewed this often. Source: targets keep it for four seconds (the users' sheets).
    static constexpr absl::Duration renewInterval = absl::Milliseconds(1500);
    // Wait after a refusal.
    static constexpr absl::Duration retryDelay = absl::Milliseconds(500);

    [[nodiscard]] std::vector<KvCopyAction> handle(const KvCopyEvent &, absl::Time now);
    // The copy from which the stream can go on now.
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
    // Takes note of the answer to a call; false when it is not the awaited one.
    [[nodiscard]] bool completeCall(int callId);
    void setTimer(absl::Time at);

    std::optional<KvCopy> m_copy;
    bool m_hasEvents{false};
    bool m_isDisabled{false};
    // A call for a copy is under way: the one numbered m_lastCallId.
    bool m_isCallPending{false};
    // Calls of all attempts. Invariant: never goes back, so that an answer to an earlier attempt is known as
    // such.
    int m_lastCallId{0};
    std::optional<absl::Time> m_nextCopyAt;
    std::vector<KvCopyAction> m_actions;
};

} // namespace Wisteria
