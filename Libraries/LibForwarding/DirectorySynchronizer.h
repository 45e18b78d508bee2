// Keeps the local view of one kind of objects in sync with the platform's store. Decides when to list, when
// to watch, when to retry, and which removals to accept.
//
// The store may be restored from an older copy. The copy lacks recent objects and still contains removed
// ones, so the view keeps the former until the removal grace period is over, and holds back the latter until
// they are written again or have outlived the store's own expiry.
//
// A state machine without I/O. Invariant: the position of the view never decreases.

#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Random.h>
#include <LibCore/StorePosition.h>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wisteria {

// Name and position of the last change of an object. The host stores the content.
struct ObjectMetadata
{
    std::string name;
    StorePosition position;
    bool isRemoved{false};
};

// A removal that was read from the store and takes effect later, unless the object is written again.
struct DeferredRemovalNotice
{
    std::string name;
    // Position of the view that lacked the object.
    StorePosition position;
    absl::Duration remaining;
};

namespace DirectorySyncEvents {

struct ListCompleted
{
    std::vector<ObjectMetadata> objects;
    StorePosition position;
};
struct WatchCompleted
{
    std::vector<ObjectMetadata> objects;
    StorePosition position;
};
// The store no longer has the changes after the current revision, so a new list is needed.
struct RevisionExpired
{
};
struct CallFailed
{
};
// Changes that another router read from the store and forwarded.
struct RelayReceived
{
    std::vector<ObjectMetadata> objects;
    StorePosition position;
    // `objects` is the complete list; known objects missing from it were removed.
    bool isSnapshot{false};
    // Removals that the other router defers. They don't advance its position when they take effect.
    std::vector<DeferredRemovalNotice> deferredRemovals;
};
// What another router holds back since the store was restored.
struct HoldBackReceived
{
    std::vector<std::string> names;
    // Objects that were written after this position are not held back.
    StorePosition eraStart;
};
struct Tick
{
};

} // namespace DirectorySyncEvents

using DirectorySyncEvent =
    std::variant<DirectorySyncEvents::ListCompleted, DirectorySyncEvents::WatchCompleted,
                 DirectorySyncEvents::RevisionExpired, DirectorySyncEvents::CallFailed,
                 DirectorySyncEvents::RelayReceived, DirectorySyncEvents::HoldBackReceived,
                 DirectorySyncEvents::Tick>;

namespace DirectorySyncActions {

struct StartList
{
};
struct StartWatch
{
    StorePosition after;
};
// The host replaces the object's content with the one at this position.
struct Apply
{
    std::string name;
    StorePosition position;
};
struct Remove
{
    std::string name;
};
struct SetTimer
{
    absl::Time at;
};
// Sent when the store responds again after an outage.
struct StoreRecovered
{
    absl::Duration outage;
};
struct StoreLost
{
};
// The store was restored from an older copy, and the view now follows the new era.
struct EraChanged
{
    StorePosition from;
    StorePosition to;
    // Objects that the copy lacks; kept for the removal grace period.
    std::size_t keptObjects{0};
    // Removed objects that the copy still contains; not applied.
    std::size_t heldBackObjects{0};
};

} // namespace DirectorySyncActions

using DirectorySyncAction = std::variant<DirectorySyncActions::StartList, DirectorySyncActions::StartWatch,
                                         DirectorySyncActions::Apply, DirectorySyncActions::Remove,
                                         DirectorySyncActions::SetTimer, DirectorySyncActions::StoreRecovered,
                                         DirectorySyncActions::StoreLost, DirectorySyncActions::EraChanged>;
using DirectorySyncActionList = std::vector<DirectorySyncAction>;

class DirectorySynchronizer
{
public:
    // Backoff between failed calls. It limits the call rate at the store, which all routers share.
    static constexpr absl::Duration initialBackoff = absl::Milliseconds(150);
    static constexpr absl::Duration maxBackoff = absl::Seconds(1);
    // Maximum backoff while there is no view and the router cannot serve requests. With 410 routers retrying
    // calls for two kinds of objects, the store gets fewer than 2,000 calls per second.
    static constexpr absl::Duration maxBackoffWithoutView = absl::Milliseconds(500);
    // Delay before the next watch after a change, as a fraction of the time within which a change must take
    // effect. Changes come in bursts, and every watch that returns counts against the call rate limit and is
    // paid for, so the delay batches them.
    static constexpr double watchBatchFraction = 0.1;
    // Entries that expired during an outage are registered again within about two seconds of its end.
    // Removals are held back for this long.
    static constexpr absl::Duration removalGracePeriod = absl::Milliseconds(2300);
    // A removed object that a restored copy still contains is held back for this long. The entry of a target
    // that no longer runs expires in the store after three heartbeats, which takes less than four seconds.
    static constexpr absl::Duration restoredEntryHoldBack = absl::Seconds(5);
    // How long removals are remembered. A copy is a few seconds old when the store is restored from it.
    static constexpr absl::Duration removalMemory = absl::Seconds(60);

    // A change must take effect within `changeDeadline`.
    DirectorySynchronizer(RandomSource &random, absl::Duration changeDeadline)
        : m_random(random), m_watchBatchDelay(watchBatchFraction * changeDeadline)
    {
    }

    // Lists the objects, at the start or again.
    [[nodiscard]] DirectorySyncActionList begin();
    [[nodiscard]] DirectorySyncActionList handle(const DirectorySyncEvent &, absl::Time now);

    [[nodiscard]] bool hasView() const { return m_hasView; }
    [[nodiscard]] StorePosition position() const { return m_position; }
    // Position at the last list, non-empty watch result or relay. It may differ between routers that hold the
    // same objects; a larger value means that the view is at least as new.
    [[nodiscard]] StorePosition changePosition() const { return m_changePosition; }
    // Returns the watch that continues from the current position, for a host that deferred the last one.
    [[nodiscard]] DirectorySyncActions::StartWatch resumeWatch();
    // Objects that the restored store lists and that are not applied.
    [[nodiscard]] const absl::btree_set<std::string> &heldBack() const { return m_heldBack; }
    [[nodiscard]] StorePosition eraStart() const { return m_eraStart; }
    [[nodiscard]] bool hasDeferredRemovals() const { return !m_deferredRemovals.empty(); }
    [[nodiscard]] std::vector<DeferredRemovalNotice> deferredRemovals(absl::Time now) const;
    [[nodiscard]] bool isStoreLost() const { return m_storeLostSince.has_value(); }
    // Returns true if the store is reachable and the grace period after its last outage is over, so that
    // objects missing from it were really removed.
    [[nodiscard]] bool isTrusted(absl::Time now) const
    {
        return m_hasView && !m_storeLostSince && now >= m_acceptRemovalsFrom;
    }
    // Set if another router had access to the store throughout the outage. Only this router was disconnected
    // then, and no entry expired because of the outage.
    void setStoreTrustedByOthers(bool isStoreTrustedByOthers)
    {
        m_isStoreTrustedByOthers = isStoreTrustedByOthers;
    }

private:
    void on(const DirectorySyncEvents::ListCompleted &, absl::Time now);
    void on(const DirectorySyncEvents::WatchCompleted &, absl::Time now);
    void on(const DirectorySyncEvents::RevisionExpired &, absl::Time now);
    void on(const DirectorySyncEvents::CallFailed &, absl::Time now);
    void on(const DirectorySyncEvents::RelayReceived &, absl::Time now);
    void on(const DirectorySyncEvents::HoldBackReceived &, absl::Time now);
    void on(const DirectorySyncEvents::Tick &, absl::Time now);

    // Applies a complete list, from the store or from another router.
    void applyList(const std::vector<ObjectMetadata> &, StorePosition, absl::Time now);
    // Applies the first list of a new era and emits EraChanged.
    void applyFirstListOfEra(const std::vector<ObjectMetadata> &, StorePosition, absl::Time now);
    // Returns true for a removed object that a router relays which has not noticed the removal, or which
    // keeps the object only because a restored copy lacks it.
    [[nodiscard]] bool isObsolete(const ObjectMetadata &) const;
    [[nodiscard]] bool isHeldBack(const ObjectMetadata &) const;
    void apply(const ObjectMetadata &, absl::Time now);
    [[nodiscard]] std::vector<std::string> namesMissingFrom(const std::vector<ObjectMetadata> &,
                                                            StorePosition upTo) const;
    void remove(const std::string &name, StorePosition, absl::Time now);
    void removeObject(const std::string &name, StorePosition, absl::Time now);
    void deferRemoval(const std::string &name, StorePosition, absl::Time until);
    // Adopts the removals that another router defers.
    void deferRelayedRemovals(const std::vector<DeferredRemovalNotice> &, absl::Time now);
    void forgetOldRemovals(absl::Time now);
    void endHoldBack(absl::Time now);
    void recordStoreSuccess(absl::Time now);
    void startNextCall();
    void setTimer();

    RandomSource &m_random;
    absl::Duration m_watchBatchDelay;
    bool m_hasView{false};
    bool m_needsList{true};
    StorePosition m_position;
    StorePosition m_changePosition;
    // Position that the last watch started from.
    StorePosition m_watchedFrom;
    absl::btree_map<std::string, StorePosition> m_objects;
    struct DeferredRemoval
    {
        absl::Time until;
        // Position of the view that lacked the object.
        StorePosition position;
    };

    absl::btree_map<std::string, DeferredRemoval> m_deferredRemovals;
    struct Removal
    {
        // Position of the view that lacked the object. Later writes of the object have greater ones.
        StorePosition position;
        absl::Time at;
    };

    // Objects removed within the last `removalMemory`.
    absl::btree_map<std::string, Removal> m_recentRemovals;
    // Objects that had been removed when the current era began. They are not applied unless they were written
    // after m_eraStart, the position at which this router, or the one that told of them, noticed the era.
    absl::btree_set<std::string> m_heldBack;
    StorePosition m_eraStart;
    // End of the hold-back.
    std::optional<absl::Time> m_holdBackUntil;
    std::optional<absl::Time> m_storeLostSince;
    bool m_isStoreTrustedByOthers{false};
    absl::Time m_acceptRemovalsFrom{absl::InfinitePast()};
    absl::Duration m_backoff{initialBackoff};
    std::optional<absl::Time> m_nextCallAt;
    DirectorySyncActionList m_actions;
};

} // namespace Wisteria
