// Executes the actions of the DirectorySynchronizer and decodes the objects that it applies.

#include <LibGateway/DirectoryView.h>

#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

#include <set>

namespace Wisteria {

namespace detail {

// A watcher uses a random fraction of the longest watch, so that watchers do not lose their view for the same
// period.
constexpr double minWatchFraction = 0.75;
// Longest watch, however late a change may take effect: a dead connection is noticed only after it.
constexpr absl::Duration maxWatchDuration = absl::Milliseconds(2500);
// A view that can't be read now is looked at again after this time at the earliest.
constexpr absl::Duration minFreshnessCheckInterval = absl::Milliseconds(100);

ObjectMetadata metadataOf(const DirectoryObject &object)
{
    return {object.name, object.position, object.isRemoved};
}

std::vector<ObjectMetadata> metadataOfAll(const std::vector<DirectoryObject> &objects)
{
    std::vector<ObjectMetadata> out;
    out.reserve(objects.size());
    for (const auto &it : objects)
        out.push_back(metadataOf(it));
    return out;
}

// Reads the position of a view or of an object in it. Empty if it is malformed.
std::optional<StorePosition> positionOf(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned()
        || !json.contains("era") || !json["era"].is_number_unsigned())
        return std::nullopt;
    return StorePosition{StoreEra(json["era"].get<std::uint64_t>()),
                         ObjectVersion(json["revision"].get<std::uint64_t>())};
}

// Reads what another router holds back; nothing if its view does not say. Empty if it is malformed.
std::optional<DirectorySyncEvents::HoldBackReceived> holdBackOf(const nlohmann::json &view)
{
    if (!view.contains("held_back"))
        return DirectorySyncEvents::HoldBackReceived{};
    const auto &json = view["held_back"];
    const auto start = positionOf(json);
    if (!start || !json.contains("names") || !json["names"].is_array())
        return std::nullopt;
    DirectorySyncEvents::HoldBackReceived out{{}, *start};
    for (const auto &it : json["names"]) {
        if (!it.is_string())
            return std::nullopt;
        out.names.push_back(it.get<std::string>());
    }
    return out;
}

// Reads the removals that another router defers; none if its view does not say. Empty if it is malformed.
std::optional<std::vector<DeferredRemovalNotice>> deferredRemovalsOf(const nlohmann::json &view)
{
    std::vector<DeferredRemovalNotice> out;
    const auto deferred = view.find("deferred_removals");
    if (deferred == view.end())
        return out;
    if (!deferred->is_array())
        return std::nullopt;
    for (const auto &it : *deferred) {
        const auto position = positionOf(it);
        if (!position || !it.contains("name") || !it["name"].is_string() || !it.contains("remaining_ms")
            || !it["remaining_ms"].is_number_unsigned())
            return std::nullopt;
        const auto remaining =
            std::min<std::uint64_t>(it["remaining_ms"].get<std::uint64_t>(),
                                    absl::ToInt64Milliseconds(DirectorySynchronizer::removalGracePeriod));
        out.push_back({it["name"].get<std::string>(), *position,
                       absl::Milliseconds(static_cast<std::int64_t>(remaining))});
    }
    return out;
}

nlohmann::json deferredRemovalsJson(const std::vector<DeferredRemovalNotice> &removals)
{
    auto out = nlohmann::json::array();
    for (const auto &it : removals)
        out.push_back(
            {{"name", it.name},
             {"era", it.position.era.value()},
             {"revision", it.position.revision.value()},
             {"remaining_ms", static_cast<std::uint64_t>(absl::ToInt64Milliseconds(it.remaining))}});
    return out;
}

} // namespace detail

DirectoryView::DirectoryView(DirectoryKind kind, absl::Duration changeDeadline,
                             boost::asio::io_context &context, DirectoryStore &store,
                             const DirectoryDecoder &decoder, DirectoryListener &listener, StructuredLog &log,
                             RandomSource &random)
    : m_kind(kind), m_store(store), m_decoder(decoder), m_listener(listener), m_log(log), m_random(random),
      m_synchronizer(random, changeDeadline), m_freshness(changeDeadline), m_changeDeadline(changeDeadline),
      m_timer(context)
{
}

std::string DirectoryView::kindLabel() const
{
    switch (m_kind) {
    case DirectoryKind::Configuration:
        return "configuration";
    case DirectoryKind::Targets:
        return "targets";
    case DirectoryKind::Routers:
        return "routers";
    case DirectoryKind::Rollouts:
        return "rollouts";
    }
    return "";
}

void DirectoryView::start()
{
    for (const auto &it : m_synchronizer.begin())
        perform(it);
}

void DirectoryView::setWatching(bool isWatching)
{
    m_isWatching = isWatching;
    if (m_isWatching && std::exchange(m_isWatchDeferred, false))
        perform(m_synchronizer.resumeWatch());
}

void DirectoryView::handle(const DirectorySyncEvent &event)
{
    const bool hadView = m_synchronizer.hasView();
    const auto eraBefore = m_synchronizer.changePosition().era;
    const auto heldBackBefore = m_synchronizer.heldBack().size();
    for (const auto &it : m_synchronizer.handle(event, monotonicNow()))
        perform(it);
    m_staged.clear();
    m_changeCount += m_synchronizer.heldBack().size() != heldBackBefore ? 1 : 0;
    const auto position = m_synchronizer.changePosition();
    // Removals before the first complete view are not in the change log, and changes of an earlier era cannot
    // be relayed as changes of this one.
    if ((!hadView && m_synchronizer.hasView()) || position.era != eraBefore) {
        m_changeLog.clear();
        m_changeLogStart = position;
    }
}

void DirectoryView::stage(std::vector<DirectoryObject> objects)
{
    for (auto &it : objects) {
        if (it.isRemoved)
            continue;
        auto &staged = m_staged[it.name];
        staged = std::make_shared<const DirectoryObject>(std::move(it));
    }
}

void DirectoryView::perform(const DirectorySyncAction &action)
{
    if (std::holds_alternative<DirectorySyncActions::StartList>(action)) {
        list();
    } else if (const auto *it = std::get_if<DirectorySyncActions::StartWatch>(&action)) {
        if (!m_isWatching) {
            m_isWatchDeferred = true;
            return;
        }
        const double fraction =
            detail::minWatchFraction + (1 - detail::minWatchFraction) * m_random.fraction();
        // A call that hangs beyond the end of an outage delays the notice of it, and all that is counted from
        // then on.
        const auto longest = m_synchronizer.isStoreLost()
            ? absl::ZeroDuration()
            : std::min(detail::maxWatchDuration, ViewFreshness::maxWatchFraction * m_changeDeadline);
        watch({monotonicNow(), fraction * longest}, it->after);
    } else if (const auto *it = std::get_if<DirectorySyncActions::Apply>(&action)) {
        apply(it->name);
    } else if (const auto *it = std::get_if<DirectorySyncActions::Remove>(&action)) {
        applyRemoval(it->name);
    } else if (const auto *it = std::get_if<DirectorySyncActions::SetTimer>(&action)) {
        m_timer.expires_after(
            absl::ToChronoNanoseconds(std::max(it->at - monotonicNow(), absl::ZeroDuration())));
        m_timer.async_wait([this](const auto &ec) {
            if (!ec)
                handle(DirectorySyncEvents::Tick{});
        });
    } else if (const auto *it = std::get_if<DirectorySyncActions::StoreRecovered>(&action)) {
        m_log.write("store_regained",
                    {{"kind", kindLabel()},
                     {"outage_ms", absl::ToInt64Milliseconds(it->outage)},
                     {"era", m_synchronizer.position().era.value()},
                     {"revision", m_synchronizer.position().revision.value()}},
                    monotonicNow());
    } else if (const auto *it = std::get_if<DirectorySyncActions::EraChanged>(&action)) {
        m_log.write("store_restored",
                    {{"kind", kindLabel()},
                     {"from_era", it->from.era.value()},
                     {"from_revision", it->from.revision.value()},
                     {"to_era", it->to.era.value()},
                     {"to_revision", it->to.revision.value()},
                     {"kept_objects", it->keptObjects},
                     {"held_back_objects", it->heldBackObjects}},
                    monotonicNow());
        m_listener.storeRestored(it->from, it->to);
    } else {
        m_log.write("store_lost",
                    {{"kind", kindLabel()},
                     {"era", m_synchronizer.position().era.value()},
                     {"revision", m_synchronizer.position().revision.value()}},
                    monotonicNow());
    }
}

void DirectoryView::list()
{
    m_openCall = OpenCall{monotonicNow(), absl::ZeroDuration()};
    m_store.list(m_kind, [this, lifetime = std::weak_ptr(m_lifetime)](ErrorOr<DirectoryBatch> result) {
        if (lifetime.expired())
            return;
        const auto call = std::exchange(m_openCall, std::nullopt);
        if (!result) {
            handle(DirectorySyncEvents::CallFailed{});
            return;
        }
        storeAnswered(*call);
        auto metadata = detail::metadataOfAll(result->objects);
        stage(std::move(result->objects));
        handle(DirectorySyncEvents::ListCompleted{std::move(metadata), result->position});
        m_listener.viewAdvanced(m_kind);
    });
}

void DirectoryView::reread(std::function<void(ErrorOr<void>)> done)
{
    m_store.list(
        m_kind,
        [this, lifetime = std::weak_ptr(m_lifetime), done = std::move(done)](ErrorOr<DirectoryBatch> result) {
            if (lifetime.expired())
                return;
            if (!result) {
                done(tl::unexpected(result.error()));
                return;
            }
            auto metadata = detail::metadataOfAll(result->objects);
            stage(std::move(result->objects));
            handle(DirectorySyncEvents::RelayReceived{std::move(metadata), result->position, true});
            m_listener.viewAdvanced(m_kind);
            done({});
        });
}

void DirectoryView::notePeerRead(StorePosition peer, StorePosition readUpTo)
{
    const auto own = changePosition();
    if (hasView() && peer.era == own.era && readUpTo.era == own.era && peer <= own
        && readUpTo > readPosition()) {
        m_peerReadPosition = readUpTo;
        m_listener.viewAdvanced(m_kind);
    }
}

void DirectoryView::watch(const OpenCall &call, StorePosition after)
{
    m_openCall = call;
    m_store.watch(m_kind, after, call.wait,
                  [this, lifetime = std::weak_ptr(m_lifetime)](ErrorOr<DirectoryBatch> result) {
                      if (!lifetime.expired())
                          handleWatchResult(std::move(result));
                  });
}

void DirectoryView::handleWatchResult(ErrorOr<DirectoryBatch> result)
{
    const auto call = std::exchange(m_openCall, std::nullopt);
    if (!result && result.error().code == ErrorCode::Conflict) {
        handle(DirectorySyncEvents::RevisionExpired{});
    } else if (!result && call->isSingleRead && !m_isWatching) {
        // The router does not watch the store, so it still follows its peers.
        m_isWatchDeferred = true;
    } else if (!result) {
        handle(DirectorySyncEvents::CallFailed{});
    } else {
        storeAnswered(*call);
        auto metadata = detail::metadataOfAll(result->objects);
        stage(std::move(result->objects));
        handle(DirectorySyncEvents::WatchCompleted{std::move(metadata), result->position});
        m_listener.viewAdvanced(m_kind);
        if (call->isSingleRead)
            m_listener.viewRead(m_kind);
    }
}

void DirectoryView::storeAnswered(const OpenCall &call)
{
    // The store may have answered long before the answer arrived, but not before the end of the wait unless
    // there were changes.
    m_storeConfirmedAt = std::min(monotonicNow(), call.startedAt + call.wait);
    m_freshness.confirmByStore(m_storeConfirmedAt);
}

void DirectoryView::notePeerView(StorePosition position, std::optional<absl::Duration> age, absl::Time now)
{
    if (age)
        m_freshness.confirmByPeer(position, *age, changePosition(), now);
    else
        m_freshness.notePosition(position);
}

std::optional<absl::Duration> DirectoryView::storeAge(absl::Time now) const
{
    // The store answers an open watch at once if there is a change.
    if (m_openCall && m_openCall->wait > absl::ZeroDuration()
        && now <= m_openCall->startedAt + m_openCall->wait
                + ViewFreshness::maxAnswerDelayFraction * m_changeDeadline)
        return absl::ZeroDuration();
    const auto age = now - m_storeConfirmedAt;
    return age <= m_changeDeadline ? std::optional(age) : std::nullopt;
}

absl::Time DirectoryView::readIfUnconfirmed(std::size_t routersBefore, absl::Time now)
{
    if (m_isWatchDeferred && now >= m_freshness.readDueAt(routersBefore)) {
        m_log.write("unconfirmed_view_read",
                    {{"kind", kindLabel()},
                     {"unconfirmed_ms", absl::ToInt64Milliseconds(now - m_freshness.confirmedAt())},
                     {"routers_before", routersBefore}},
                    now);
        m_isWatchDeferred = false;
        m_freshness.readStarted(now);
        watch({now, absl::ZeroDuration(), true}, m_synchronizer.resumeWatch().after);
    }
    return std::max(m_freshness.readDueAt(routersBefore), now + detail::minFreshnessCheckInterval);
}

void DirectoryView::apply(const std::string &name)
{
    // A batch may contain several changes of an object; the latest content is applied with each of them, as
    // there may be a removal in between.
    const auto staged = m_staged.find(name);
    if (staged == m_staged.end())
        return;
    recordChange(name);
    const auto object = staged->second;
    if (m_kind == DirectoryKind::Configuration) {
        applyConfiguration(object);
        return;
    }
    m_objects[name] = object;
    if (m_kind == DirectoryKind::Targets) {
        if (auto record = m_decoder.target(*object)) {
            m_listener.targetChanged(*record);
        } else {
            logUnusable(name, record.error());
            m_listener.targetRemoved(TargetId(name));
        }
    } else if (m_kind == DirectoryKind::Rollouts) {
        if (auto record = m_decoder.rollout(*object)) {
            m_listener.rolloutChanged(*record);
        } else {
            logUnusable(name, record.error());
            m_listener.rolloutUnreadable(name);
        }
    } else {
        if (auto record = m_decoder.router(*object))
            m_listener.routerChanged(*record);
        else
            logUnusable(name, record.error());
    }
}

void DirectoryView::applyConfiguration(const SharedObject &object)
{
    auto configuration = m_decoder.configuration(*object);
    if (!configuration) {
        logUnusable(object->name, configuration.error());
        m_objects[object->name] = object;
        return;
    }
    // Within one process lifetime the configuration version only increases. A restored store may return an
    // older one; the newer content stays the one that other routers receive from this view.
    if (configuration->version < m_configVersion) {
        m_log.write("older_configuration_ignored",
                    {{"name", object->name},
                     {"version", configuration->version.value()},
                     {"in_force", m_configVersion.value()}},
                    monotonicNow());
        if (const auto it = m_objects.find(object->name); it != m_objects.end())
            it->second = withPosition(*it->second, object->position);
        return;
    }
    if (configuration->version == m_configVersion)
        m_objects[object->name] = object;
    else
        takeConfiguration(object, std::move(*configuration));
}

void DirectoryView::takeConfiguration(const SharedObject &object, TrafficConfiguration configuration)
{
    m_objects[object->name] = object;
    m_configVersion = configuration.version;
    m_listener.configurationChanged(RouteTable::create(std::move(configuration)));
}

void DirectoryView::takeNewerConfiguration(const DirectoryObject &relayed)
{
    const auto known = m_objects.find(relayed.name);
    auto configuration = m_decoder.configuration(relayed);
    if (known == m_objects.end() || !configuration || configuration->version <= m_configVersion)
        return;
    recordChange(relayed.name);
    takeConfiguration(withPosition(relayed, known->second->position), std::move(*configuration));
}

DirectoryView::SharedObject DirectoryView::withPosition(const DirectoryObject &object, StorePosition position)
{
    auto out = object;
    out.position = position;
    return std::make_shared<const DirectoryObject>(std::move(out));
}

void DirectoryView::logUnusable(const std::string &name, const Error &error)
{
    m_log.write(
        "unusable_object",
        {{"kind", kindLabel()}, {"name", name}, {"error", errorName(error.code)}, {"reason", error.detail}},
        monotonicNow());
}

void DirectoryView::applyRemoval(const std::string &name)
{
    m_objects.erase(name);
    recordChange(name);
    if (m_kind == DirectoryKind::Targets)
        m_listener.targetRemoved(TargetId(name));
    else if (m_kind == DirectoryKind::Rollouts)
        m_listener.rolloutRemoved(name);
}

void DirectoryView::recordChange(const std::string &name)
{
    ++m_changeCount;
    m_changeLog.push_back({m_synchronizer.changePosition(), name});
    if (m_changeLog.size() > changeLogCapacity) {
        m_changeLogStart = m_changeLog.front().position;
        m_changeLog.pop_front();
    }
}

nlohmann::json DirectoryView::changesAfter(StorePosition after) const
{
    const auto position = m_synchronizer.changePosition();
    const bool isComplete =
        after.revision.value() == 0 || after.era != position.era || after < m_changeLogStart;
    std::set<std::string> names;
    if (isComplete) {
        for (const auto &[name, object] : m_objects)
            names.insert(name);
    } else {
        for (const auto &it : m_changeLog) {
            if (it.position > after)
                names.insert(it.name);
        }
    }
    nlohmann::json objects = nlohmann::json::array();
    for (const auto &name : names) {
        const auto it = m_objects.find(name);
        if (it == m_objects.end())
            objects.push_back({{"name", name}, {"removed", true}});
        else
            objects.push_back({{"name", name},
                               {"era", it->second->position.era.value()},
                               {"revision", it->second->position.revision.value()},
                               {"content", it->second->content}});
    }
    nlohmann::json out = {{"era", position.era.value()},
                          {"revision", position.revision.value()},
                          {"complete", isComplete},
                          {"objects", std::move(objects)}};
    if (const auto &heldBack = m_synchronizer.heldBack(); !heldBack.empty()) {
        const auto start = m_synchronizer.eraStart();
        out["held_back"] = {{"era", start.era.value()},
                            {"revision", start.revision.value()},
                            {"names", std::vector<std::string>(heldBack.begin(), heldBack.end())}};
    }
    if (hasDeferredRemovals())
        out["deferred_removals"] =
            detail::deferredRemovalsJson(m_synchronizer.deferredRemovals(monotonicNow()));
    return out;
}

ErrorOr<StorePosition> DirectoryView::mergePeerView(nlohmann::json json)
{
    const auto malformed = [] {
        return makeError(ErrorCode::InvalidRequest, "malformed view from another router");
    };
    const auto position = detail::positionOf(json);
    if (!position || !json.contains("objects") || !json["objects"].is_array() || !json.contains("complete")
        || !json["complete"].is_boolean())
        return malformed();
    const auto holdBack = detail::holdBackOf(json);
    auto deferredRemovals = detail::deferredRemovalsOf(json);
    if (!holdBack || !deferredRemovals)
        return malformed();
    std::vector<DirectoryObject> objects;
    for (auto &it : json["objects"]) {
        if (!it.is_object() || !it.contains("name") || !it["name"].is_string())
            return malformed();
        if (it.value("removed", nlohmann::json()) == true) {
            objects.push_back({it["name"].get<std::string>(), *position, {}, true});
            continue;
        }
        const auto objectPosition = detail::positionOf(it);
        if (!objectPosition || !it.contains("content"))
            return malformed();
        objects.push_back({it["name"].get<std::string>(), *objectPosition, std::move(it["content"]), false});
    }
    handle(*holdBack);
    auto metadata = detail::metadataOfAll(objects);
    stage(std::move(objects));
    const auto relayed = m_staged;
    const auto versionBefore = m_configVersion;
    handle(DirectorySyncEvents::RelayReceived{std::move(metadata), *position, json["complete"].get<bool>(),
                                              std::move(*deferredRemovals)});
    // A configuration that has just been applied need not be decoded again.
    if (m_kind == DirectoryKind::Configuration && m_configVersion == versionBefore) {
        for (const auto &[name, object] : relayed)
            takeNewerConfiguration(*object);
    }
    m_listener.viewAdvanced(m_kind);
    return *position;
}

} // namespace Wisteria
