// Keeps the local view of one kind of objects in sync with the platform's store. Decides when to list, when
// to watch, when to retry, and which removals to accept.
//
// A state machine without I/O. Invariant: the revision of the view never decreases.

#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Random.h>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wisteria {

// Name and revision of an object. The host stores the content.
struct ObjectMetadata
{
    std::string name;
    ObjectVersion revision;
    bool isRemoved{false};
};

namespace DirectorySyncEvents {

struct ListCompleted
{
    std::vector<ObjectMetadata> objects;
    ObjectVersion revision;
};
struct WatchCompleted
{
    std::vector<ObjectMetadata> objects;
    ObjectVersion revision;
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
    ObjectVersion revision;
    // `objects` is the complete list; known objects missing from it were removed.
    bool isSnapshot{false};
};
struct Tick
{
};

} // namespace DirectorySyncEvents

using DirectorySyncEvent =
    std::variant<DirectorySyncEvents::ListCompleted, DirectorySyncEvents::WatchCompleted,
                 DirectorySyncEvents::RevisionExpired, DirectorySyncEvents::CallFailed,
                 DirectorySyncEvents::RelayReceived, DirectorySyncEvents::Tick>;

namespace DirectorySyncActions {

struct StartList
{
};
struct StartWatch
{
    ObjectVersion after;
};
// The host replaces the object's content with this revision.
struct Apply
{
    std::string name;
    ObjectVersion revision;
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

} // namespace DirectorySyncActions

using DirectorySyncAction =
    std::variant<DirectorySyncActions::StartList, DirectorySyncActions::StartWatch,
                 DirectorySyncActions::Apply, DirectorySyncActions::Remove, DirectorySyncActions::SetTimer,
                 DirectorySyncActions::StoreRecovered, DirectorySyncActions::StoreLost>;
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
    // Delay before the next watch after a change. Changes come in bursts, and every watch that returns counts
    // against the call rate limit, so the delay batches them. It is a tenth of the two seconds within which a
    // change must take effect.
    static constexpr absl::Duration watchBatchDelay = absl::Milliseconds(200);
    // Entries that expired during an outage are registered again within about two seconds of its end.
    // Removals are held back for this long.
    static constexpr absl::Duration removalGracePeriod = absl::Milliseconds(2300);

    explicit DirectorySynchronizer(RandomSource &random) : m_random(random) { }

    [[nodiscard]] DirectorySyncActionList begin();
    [[nodiscard]] DirectorySyncActionList handle(const DirectorySyncEvent &, absl::Time now);

    [[nodiscard]] bool hasView() const { return m_hasView; }
    [[nodiscard]] ObjectVersion revision() const { return m_revision; }
    // Revision at the last list, non-empty watch result or relay. It may differ between routers that hold the
    // same objects; a larger value means that the view is at least as new.
    [[nodiscard]] ObjectVersion changeRevision() const { return m_changeRevision; }
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
    void on(const DirectorySyncEvents::Tick &, absl::Time now);

    void apply(const ObjectMetadata &, absl::Time now);
    [[nodiscard]] std::vector<std::string> namesMissingFrom(const std::vector<ObjectMetadata> &,
                                                            ObjectVersion upTo) const;
    void remove(const std::string &name, ObjectVersion, absl::Time now);
    void removeObject(const std::string &name);
    void recordStoreSuccess(absl::Time now);
    void startNextCall();
    void setTimer();

    RandomSource &m_random;
    bool m_hasView{false};
    bool m_needsList{true};
    ObjectVersion m_revision;
    ObjectVersion m_changeRevision;
    absl::btree_map<std::string, ObjectVersion> m_objects;
    // Objects whose removal is deferred, and until when.
    absl::btree_map<std::string, absl::Time> m_deferredRemovals;
    std::optional<absl::Time> m_storeLostSince;
    bool m_isStoreTrustedByOthers{false};
    absl::Time m_acceptRemovalsFrom{absl::InfinitePast()};
    absl::Duration m_backoff{initialBackoff};
    std::optional<absl::Time> m_nextCallAt;
    DirectorySyncActionList m_actions;
};

} // namespace Wisteria
