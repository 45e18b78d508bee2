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
struct KeptCopy
{
    TargetId holder;
    // The name that the target gave the copy; empty for one that the target sends by itself.
    std::string handle;
};

namespace CopyEvents {

// An attempt began whose target sends a copy to the holder by itself; empty when no holder was to be had.
struct AttemptBegan
{
    std::optional<TargetId> holder;
};
// The stream has events, so that there is something to copy.
struct EventsBegan
{
};
// The target is lost, leaving or replaced; does nothing unless it is the holder.
struct TargetLost
{
    TargetId target;
};
// An answer counts only for the latest call of the running attempt.
struct CopyMade
{
    int call{0};
    TargetId holder;
    std::string handle;
};
// The holder had no room or could not be reached, or there is none.
struct CopyRefused
{
    int call{0};
};
// The target can make no copies of this run.
struct CopyImpossible
{
    int call{0};
};
// The attempt is over; a copy by name is given back.
struct AttemptEnded
{
};
struct Tick
{
};

} // namespace CopyEvents

using CopyEvent = std::variant<CopyEvents::AttemptBegan, CopyEvents::EventsBegan, CopyEvents::TargetLost,
                               CopyEvents::CopyMade, CopyEvents::CopyRefused, CopyEvents::CopyImpossible,
                               CopyEvents::AttemptEnded, CopyEvents::Tick>;

namespace CopyActions {

// Have the target send a copy to the holder, or to one that the host chooses.
struct MakeCopy
{
    // Comes back with the answer.
    int call{0};
    std::optional<TargetId> holder;
};
struct DropCopy
{
    std::string handle;
};
struct SetTimer
{
    absl::Time at;
};

} // namespace CopyActions

using CopyAction = std::variant<CopyActions::MakeCopy, CopyActions::DropCopy, CopyActions::SetTimer>;

class CopyKeeper
{
public:
    // A copy by name is renewed this often. Source: targets keep it for four seconds (the users' sheets).
    static constexpr absl::Duration renewInterval = absl::Milliseconds(1500);
    // Wait after a refusal.
    static constexpr absl::Duration refusedPause = absl::Milliseconds(500);

    [[nodiscard]] std::vector<CopyAction> handle(const CopyEvent &, absl::Time now);
    // The copy from which the stream can go on now.
    [[nodiscard]] const std::optional<KeptCopy> &copy() const { return m_copy; }

private:
    void on(const CopyEvents::AttemptBegan &, absl::Time now);
    void on(const CopyEvents::EventsBegan &, absl::Time now);
    void on(const CopyEvents::TargetLost &, absl::Time now);
    void on(const CopyEvents::CopyMade &, absl::Time now);
    void on(const CopyEvents::CopyRefused &, absl::Time now);
    void on(const CopyEvents::CopyImpossible &, absl::Time now);
    void on(const CopyEvents::AttemptEnded &, absl::Time now);
    void on(const CopyEvents::Tick &, absl::Time now);

    void makeCopy();
    // Takes note of the answer to a call; false when it is not the awaited one.
    [[nodiscard]] bool endCall(int call);
    void setTimer(absl::Time at);

    std::optional<KeptCopy> m_copy;
    bool m_hasEvents{false};
    bool m_isImpossible{false};
    // A call for a copy is under way: the one numbered m_calls.
    bool m_isCopying{false};
    // Calls of all attempts. Invariant: never goes back, so that an answer to an earlier attempt is known as
    // such.
    int m_calls{0};
    std::optional<absl::Time> m_copyAt;
    std::vector<CopyAction> m_out;
};

} // namespace Wisteria
