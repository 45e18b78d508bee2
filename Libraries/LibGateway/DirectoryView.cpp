// Executes the actions of the DirectorySynchronizer and decodes the objects that it applies.

#include <LibGateway/DirectoryView.h>

#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>

#include <set>

namespace Wisteria {

namespace detail {

// Longest time that the store may hold a watch request. A dead connection is detected only after this time,
// and leaving targets must be known within two seconds. Each watcher uses a random fraction of it, so that
// watchers do not lose their view for the same period.
constexpr absl::Duration maxWatchDuration = absl::Milliseconds(2500);
constexpr double minWatchFraction = 0.4;

ObjectMetadata metadataOf(const DirectoryObject &object)
{
    return {object.name, object.revision, object.isRemoved};
}

std::vector<ObjectMetadata> metadataOfAll(const std::vector<DirectoryObject> &objects)
{
    std::vector<ObjectMetadata> out;
    out.reserve(objects.size());
    for (const auto &it : objects)
        out.push_back(metadataOf(it));
    return out;
}

} // namespace detail

DirectoryView::DirectoryView(DirectoryKind kind, boost::asio::io_context &context, DirectoryStore &store,
                             const DirectoryDecoder &decoder, DirectoryListener &listener, StructuredLog &log,
                             RandomSource &random)
    : m_kind(kind), m_store(store), m_decoder(decoder), m_listener(listener), m_log(log), m_random(random),
      m_synchronizer(random), m_timer(context)
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
        perform(DirectorySyncActions::StartWatch{m_synchronizer.revision()});
}

void DirectoryView::handle(const DirectorySyncEvent &event)
{
    const bool hadView = m_synchronizer.hasView();
    for (const auto &it : m_synchronizer.handle(event, monotonicNow()))
        perform(it);
    m_staged.clear();
    // Removals before the first complete view are not in the change log.
    if (!hadView && m_synchronizer.hasView())
        m_changeLogStart = m_synchronizer.changeRevision();
}

void DirectoryView::stage(const std::vector<DirectoryObject> &objects)
{
    for (const auto &it : objects) {
        if (!it.isRemoved)
            m_staged[it.name] = it;
    }
}

void DirectoryView::perform(const DirectorySyncAction &action)
{
    if (std::holds_alternative<DirectorySyncActions::StartList>(action)) {
        m_store.list(m_kind, [this](ErrorOr<DirectoryBatch> result) {
            if (!result) {
                handle(DirectorySyncEvents::CallFailed{});
                return;
            }
            stage(result->objects);
            handle(
                DirectorySyncEvents::ListCompleted{detail::metadataOfAll(result->objects), result->revision});
        });
    } else if (const auto *watch = std::get_if<DirectorySyncActions::StartWatch>(&action)) {
        if (!m_isWatching) {
            m_isWatchDeferred = true;
            return;
        }
        const double waitFraction =
            detail::minWatchFraction + (1 - detail::minWatchFraction) * m_random.fraction();
        m_store.watch(m_kind, watch->after, waitFraction * detail::maxWatchDuration,
                      [this](ErrorOr<DirectoryBatch> result) {
                          if (!result && result.error().code == ErrorCode::Conflict) {
                              handle(DirectorySyncEvents::RevisionExpired{});
                          } else if (!result) {
                              handle(DirectorySyncEvents::CallFailed{});
                          } else {
                              stage(result->objects);
                              handle(DirectorySyncEvents::WatchCompleted{
                                  detail::metadataOfAll(result->objects), result->revision});
                          }
                      });
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
                     {"revision", m_synchronizer.revision().value()}},
                    monotonicNow());
    } else {
        m_log.write("store_lost", {{"kind", kindLabel()}, {"revision", m_synchronizer.revision().value()}},
                    monotonicNow());
    }
}

void DirectoryView::apply(const std::string &name)
{
    // A batch may contain several changes of an object; the latest content is applied with the first one.
    auto staged = m_staged.extract(name);
    if (!staged)
        return;
    recordChange(name);
    auto &object = m_objects[name];
    object = std::move(staged.mapped());
    const auto logUnusable = [&](const Error &error) {
        m_log.write("unusable_object", {{"kind", kindLabel()}, {"name", name}, {"reason", error.detail}},
                    monotonicNow());
    };
    if (m_kind == DirectoryKind::Configuration) {
        auto configuration = m_decoder.configuration(object);
        if (!configuration)
            return logUnusable(configuration.error());
        // Within one process lifetime the configuration version only increases.
        if (configuration->version <= m_configVersion)
            return;
        m_configVersion = configuration->version;
        m_listener.configurationChanged(RouteTable::create(std::move(*configuration)));
    } else if (m_kind == DirectoryKind::Targets) {
        if (auto record = m_decoder.target(object)) {
            m_listener.targetChanged(*record);
        } else {
            logUnusable(record.error());
            m_listener.targetRemoved(TargetId(name));
        }
    } else {
        if (auto record = m_decoder.router(object))
            m_listener.routerChanged(*record);
        else
            logUnusable(record.error());
    }
}

void DirectoryView::applyRemoval(const std::string &name)
{
    m_objects.erase(name);
    recordChange(name);
    if (m_kind == DirectoryKind::Targets)
        m_listener.targetRemoved(TargetId(name));
}

void DirectoryView::recordChange(const std::string &name)
{
    m_changeLog.push_back({m_synchronizer.changeRevision(), name});
    if (m_changeLog.size() > changeLogCapacity) {
        m_changeLogStart = m_changeLog.front().revision;
        m_changeLog.pop_front();
    }
}

nlohmann::json DirectoryView::changesAfter(ObjectVersion after) const
{
    const bool isComplete = after.value() == 0 || after < m_changeLogStart;
    std::set<std::string> names;
    if (isComplete) {
        for (const auto &[name, object] : m_objects)
            names.insert(name);
    } else {
        for (const auto &it : m_changeLog) {
            if (it.revision > after)
                names.insert(it.name);
        }
    }
    nlohmann::json objects = nlohmann::json::array();
    for (const auto &name : names) {
        const auto it = m_objects.find(name);
        if (it == m_objects.end())
            objects.push_back({{"name", name}, {"removed", true}});
        else
            objects.push_back(
                {{"name", name}, {"revision", it->second.revision.value()}, {"content", it->second.content}});
    }
    return {{"revision", m_synchronizer.changeRevision().value()},
            {"complete", isComplete},
            {"objects", std::move(objects)}};
}

ErrorOr<void> DirectoryView::mergePeerView(const nlohmann::json &json)
{
    const auto malformed = [] {
        return makeError(ErrorCode::InvalidRequest, "malformed view from another router");
    };
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned()
        || !json.contains("objects") || !json["objects"].is_array() || !json.contains("complete")
        || !json["complete"].is_boolean())
        return malformed();
    const ObjectVersion revision(json["revision"].get<std::uint64_t>());
    std::vector<DirectoryObject> objects;
    for (const auto &it : json["objects"]) {
        if (!it.is_object() || !it.contains("name") || !it["name"].is_string())
            return malformed();
        if (it.value("removed", nlohmann::json()) == true) {
            objects.push_back({it["name"].get<std::string>(), revision, {}, true});
            continue;
        }
        if (!it.contains("revision") || !it["revision"].is_number_unsigned() || !it.contains("content"))
            return malformed();
        objects.push_back({it["name"].get<std::string>(), ObjectVersion(it["revision"].get<std::uint64_t>()),
                           it["content"], false});
    }
    stage(objects);
    handle(DirectorySyncEvents::RelayReceived{detail::metadataOfAll(objects), revision,
                                              json["complete"].get<bool>()});
    return {};
}

} // namespace Wisteria
