// Decides when a router that follows the store through its peers has to read it itself.
//
// Only some routers watch the store; the others pull changes from them. Those that watch may be killed,
// freeze or be cut off in the moment of a change, yet the change must take effect within the deadline at each
// router that reaches the store. A router therefore bounds the time for which nobody has confirmed its view,
// no matter which peers it believes to be alive.
//
// A view is confirmed as of a time at which it is known to have held all changes: by an answer of the store,
// or by a report of a router that reads the store and knows no newer position.
//
// Longest time from a change to its effect, in fractions of the deadline, if all watching routers fall silent
// at that moment:
//
//     maxUnconfirmed   0.40   the last confirmation was sent just before the change
//     maxSpread        0.15   unconfirmed routers read one after the other
//     what remains     0.45   the read, a busy machine, and a second read if the answer to the first one is
//     lost
//
// and if all watching routers are cut off from the store, but not from the others:
//
//     maxWatch         0.60   a router that waits for the answer to its watch counts as confirmed
//     maxAnswerDelay   0.10   it notices that the answer is missing
//     maxSpread        0.15   it has been unconfirmed for longer than maxUnconfirmed, so that the others read
//     what remains     0.15   the read
//
// Performs no I/O.

#pragma once

#include <LibCore/StorePosition.h>

#include <absl/time/time.h>

#include <cstddef>

namespace Wisteria {

class ViewFreshness
{
public:
    static constexpr double maxUnconfirmedFraction = 0.4;
    static constexpr double maxSpreadFraction = 0.15;
    static constexpr double maxWatchFraction = 0.6;
    static constexpr double maxAnswerDelayFraction = 0.1;
    // Delay between the reads of two routers, so that the first ones can tell the others what they read.
    static constexpr absl::Duration spreadPerRouter = absl::Milliseconds(10);

    // A change must take effect within `changeDeadline`.
    explicit ViewFreshness(absl::Duration changeDeadline) : m_changeDeadline(changeDeadline) { }

    // An answer of the store contained all changes up to this time.
    void confirmByStore(absl::Time asOf);
    // A router that reads the store was at the position `age` ago; this router's view is at `own`.
    void confirmByPeer(StorePosition peer, absl::Duration age, StorePosition own, absl::Time now);
    // A router reported that its view is at the position, whether or not it reads the store.
    void notePosition(StorePosition);

    // `routersBefore` is the number of live routers that read before this one if nobody is confirmed.
    [[nodiscard]] absl::Time readDueAt(std::size_t routersBefore) const;
    // Postpones the next read. Without a confirmation in between, reads become rarer, since all routers call
    // a store that is down.
    void readStarted(absl::Time now);
    [[nodiscard]] absl::Time confirmedAt() const { return m_confirmedAt; }

private:
    // The interval between reads is doubled at most this often.
    static constexpr int maxDoublings = 3;

    void confirm(absl::Time asOf);

    absl::Duration m_changeDeadline;
    absl::Time m_confirmedAt{absl::InfinitePast()};
    absl::Time m_lastReadAt{absl::InfinitePast()};
    // Reads since the last confirmation.
    int m_unansweredReads{0};
    // The newest position that a router has reported since the store's last answer.
    StorePosition m_newestReported;
};

} // namespace Wisteria
