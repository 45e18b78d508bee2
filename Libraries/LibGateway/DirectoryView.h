// A gateway's view of one kind of directory objects (configuration, targets or routers). It follows the
// store, decodes its objects and keeps their raw content for routers that do not watch the store themselves.

#pragma once

#include <LibForwarding/DirectorySynchronizer.h>
#include <LibForwarding/RouteTable.h>
#include <LibForwarding/ViewFreshness.h>
#include <LibGateway/DirectoryStore.h>
#include <LibGateway/GatewayContext.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Wisteria {

// Receives every change of the view.
class DirectoryListener
{
public:
    virtual ~DirectoryListener() = default;
    virtual void configurationChanged(std::shared_ptr<const RouteTable>) = 0;
    virtual void targetChanged(const ForwardingTarget &) = 0;
    virtual void targetRemoved(const TargetId &) = 0;
    virtual void routerChanged(const RouterRecord &) = 0;
    // Called with each record of a rollout. Only views of rollouts call these three.
    virtual void rolloutChanged(const RolloutRecord &) { }
    virtual void rolloutRemoved(const std::string & /*name*/) { }
    virtual void rolloutUnreadable(const std::string & /*name*/) { }
    // The view has been read up to a newer position, whether or not there were changes.
    virtual void viewAdvanced(DirectoryKind) { }
    // This router has read the store because no other one had confirmed the view, and can now confirm it.
    virtual void viewRead(DirectoryKind) = 0;
    // The store was restored from an older copy. Records that this process wrote there may be lost.
    virtual void storeRestored(StorePosition from, StorePosition to) = 0;
};

// View of all objects of one kind.
class DirectoryView
{
public:
    // Number of changes kept for other routers: twice the number of targets of the size to design for, so
    // that the loss and recovery of a whole failure domain fits.
    static constexpr std::size_t changeLogCapacity = 1200;

    // A change must take effect within `changeDeadline`.
    DirectoryView(DirectoryKind, absl::Duration changeDeadline, boost::asio::io_context &, DirectoryStore &,
                  const DirectoryDecoder &, DirectoryListener &, StructuredLog &, RandomSource &);

    // Lists the objects, and then watches them unless this is done by other routers. May be called again to
    // refresh a view that is not watched.
    void start();
    // While false, the store is not watched and changes come from other routers.
    void setWatching(bool);
    // Another router's view was at the position. `age` says how long ago the store confirmed it; empty if
    // that router does not read the store.
    void notePeerView(StorePosition, std::optional<absl::Duration> age, absl::Time now);
    // How long ago the store confirmed this view to this router; empty if that was longer ago than a change
    // may take.
    [[nodiscard]] std::optional<absl::Duration> storeAge(absl::Time now) const;
    // Reads the changes from the store, once, if this router does not watch it and nobody has confirmed the
    // view for too long. Returns when that is to be called again. `routersBefore` is the number of routers
    // that should read first.
    absl::Time readIfUnconfirmed(std::size_t routersBefore, absl::Time now);
    [[nodiscard]] StorePosition changePosition() const { return m_synchronizer.changePosition(); }
    // Position up to which the view is known to hold all changes; unlike the above, it also advances while
    // there are none.
    [[nodiscard]] StorePosition readPosition() const
    {
        return std::max(m_synchronizer.position(), m_peerReadPosition);
    }
    // Another router's view was at the position and had no later changes up to `readUpTo`.
    void notePeerRead(StorePosition, StorePosition readUpTo);
    // Lists the objects once beside the watch, and calls `done` with the result.
    void reread(std::function<void(ErrorOr<void>)> done);
    // Number of changes of the view. It also counts deferred removals and the objects held back, which do not
    // advance the position.
    [[nodiscard]] std::uint64_t changeCount() const { return m_changeCount; }
    // While true, changesAfter() contains times that pass.
    [[nodiscard]] bool hasDeferredRemovals() const { return m_synchronizer.hasDeferredRemovals(); }
    // Zero without a configuration.
    [[nodiscard]] ConfigVersion configurationVersion() const { return m_configVersion; }
    [[nodiscard]] bool hasView() const { return m_synchronizer.hasView(); }
    [[nodiscard]] bool isStoreLost() const { return m_synchronizer.isStoreLost(); }
    [[nodiscard]] bool isTrusted(absl::Time now) const { return m_synchronizer.isTrusted(now); }
    void setStoreTrustedByOthers(bool othersTrusted)
    {
        m_synchronizer.setStoreTrustedByOthers(othersTrusted);
    }

    // Returns the changes after the position for another router, or the complete view if the change log does
    // not reach back that far or the position belongs to another era.
    [[nodiscard]] nlohmann::json changesAfter(StorePosition) const;
    // Merges another router's view where it is newer. A configuration is newer by its version, whatever its
    // position. Returns the position of the other router's view. Errors: InvalidRequest.
    [[nodiscard]] ErrorOr<StorePosition> mergePeerView(nlohmann::json);

private:
    // Shared rather than copied, since a configuration may have thousands of routes.
    using SharedObject = std::shared_ptr<const DirectoryObject>;
    using SharedObjects = std::map<std::string, SharedObject>;

    struct OpenCall
    {
        absl::Time startedAt;
        // How long the store may wait for changes before it answers.
        absl::Duration wait;
        // Made by readIfUnconfirmed().
        bool isSingleRead{false};
    };

    void handle(const DirectorySyncEvent &);
    void perform(const DirectorySyncAction &);
    void list();
    void watch(const OpenCall &, StorePosition after);
    void handleWatchResult(ErrorOr<DirectoryBatch>);
    void storeAnswered(const OpenCall &);
    void stage(std::vector<DirectoryObject>);
    void apply(const std::string &name);
    void applyConfiguration(const SharedObject &);
    void takeConfiguration(const SharedObject &, TrafficConfiguration);
    // A store that was restored from an older copy holds an old configuration at a new position. Routers that
    // ran before the restoration still have the newer one.
    void takeNewerConfiguration(const DirectoryObject &);
    [[nodiscard]] static SharedObject withPosition(const DirectoryObject &, StorePosition);
    void logUnusable(const std::string &name, const Error &);
    void applyRemoval(const std::string &name);
    void recordChange(const std::string &name);
    [[nodiscard]] std::string kindLabel() const;

    DirectoryKind m_kind;
    DirectoryStore &m_store;
    const DirectoryDecoder &m_decoder;
    DirectoryListener &m_listener;
    StructuredLog &m_log;
    RandomSource &m_random;
    DirectorySynchronizer m_synchronizer;
    ViewFreshness m_freshness;
    absl::Duration m_changeDeadline;
    boost::asio::steady_timer m_timer;
    // Applied objects, and objects of the current batch that are not applied yet.
    SharedObjects m_objects;
    SharedObjects m_staged;
    // The latest changes with the position of the view that each one produced. Invariant: ordered by
    // position, and all of the current era.
    struct Change
    {
        StorePosition position;
        std::string name;
    };
    std::deque<Change> m_changeLog;
    std::uint64_t m_changeCount{0};
    // Changes up to and including this position are not in the log.
    StorePosition m_changeLogStart;
    ConfigVersion m_configVersion;
    bool m_isWatching{true};
    bool m_isWatchDeferred{false};
    // The call that the store has not answered yet.
    std::optional<OpenCall> m_openCall;
    // The store's last answer to this router contained all changes up to this time.
    absl::Time m_storeConfirmedAt{absl::InfinitePast()};
    // Position up to which other routers have found no changes that this view lacks.
    StorePosition m_peerReadPosition;
    // Expires with the view. Calls of the store may end after that.
    std::shared_ptr<bool> m_lifetime{std::make_shared<bool>(true)};
};

} // namespace Wisteria
