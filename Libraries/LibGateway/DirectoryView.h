// Keeps a gateway's view of configuration, targets and routers: follows the store, decodes what it holds, and
// keeps the raw objects for routers that the store turns away.

#pragma once

#include <LibForwarding/DirectorySynchronizer.h>
#include <LibForwarding/RouteTable.h>
#include <LibGateway/DirectoryStore.h>
#include <LibGateway/GatewayContext.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace Wisteria {

// Told of each change of the view.
class DirectoryListener
{
public:
    virtual ~DirectoryListener() = default;
    virtual void configurationChanged(std::shared_ptr<const RouteTable>) = 0;
    virtual void targetChanged(const ForwardingTarget &) = 0;
    virtual void targetRemoved(const TargetId &) = 0;
    virtual void routerChanged(const RouterRecord &) = 0;
};

// One kind of objects.
class DirectoryView
{
public:
    // Changes that are remembered for other routers. Source: twice the engines of the largest site of today,
    // so that the loss and return of a whole domain fits.
    static constexpr std::size_t changeLogCapacity = 400;

    DirectoryView(DirectoryKind, boost::asio::io_context &, DirectoryStore &, const DirectoryDecoder &,
                  DirectoryListener &, StructuredLog &, RandomSource &);

    void start();
    // While false, the store is not watched: other routers relay changes.
    void setWatching(bool);
    [[nodiscard]] ObjectVersion changeRevision() const { return m_follower.changeRevision(); }
    [[nodiscard]] bool hasView() const { return m_follower.hasView(); }
    [[nodiscard]] bool isStoreLost() const { return m_follower.isStoreLost(); }
    [[nodiscard]] bool isTrusted(absl::Time now) const { return m_follower.isTrusted(now); }
    void setStoreTrustedByOthers(bool othersTrusted) { m_follower.setStoreTrustedByOthers(othersTrusted); }

    // What changed after the revision, for another router; the whole view where the log of changes does not
    // reach back so far.
    [[nodiscard]] nlohmann::json changesAfter(ObjectVersion) const;
    // Takes another router's view where it is newer. Errors: InvalidRequest.
    [[nodiscard]] ErrorOr<void> mergePeerView(const nlohmann::json &);

private:
    void handle(const DirectorySyncEvent &);
    void perform(const DirectorySyncAction &);
    void stage(const std::vector<DirectoryObject> &);
    void apply(const std::string &name);
    void applyRemoval(const std::string &name);
    void recordChange(const std::string &name);
    [[nodiscard]] std::string kindLabel() const;

    DirectoryKind m_kind;
    DirectoryStore &m_store;
    const DirectoryDecoder &m_decoder;
    DirectoryListener &m_listener;
    StructuredLog &m_log;
    RandomSource &m_random;
    DirectorySynchronizer m_follower;
    boost::asio::steady_timer m_timer;
    // Content of applied objects, and of those that wait to be applied.
    std::map<std::string, DirectoryObject> m_objects;
    std::map<std::string, DirectoryObject> m_staged;
    // The latest changes, by the revision of the view that they led to. Invariant: ordered by revision.
    struct Change
    {
        ObjectVersion revision;
        std::string name;
    };
    std::deque<Change> m_changeLog;
    // Changes up to this revision are not in the log.
    ObjectVersion m_changeLogStart;
    ConfigVersion m_configVersion;
    bool m_isWatching{true};
    bool m_isWatchDeferred{false};
};

} // namespace Wisteria
