// Blocking calls run on a pool and come back as events.

#include <Placer/PlacerProcess.h>

#include <LibConfig/ConfigurationJson.h>
#include <LibPlatform/BlockingHttpClient.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

namespace Wisteria {

using nlohmann::json;

namespace detail {

constexpr absl::Duration orderTimeout = absl::Seconds(5);
constexpr absl::Duration watchTimeout = absl::Seconds(20);
constexpr absl::Duration watchBackoff = absl::Seconds(1);
constexpr absl::Duration longestSleep = absl::Milliseconds(250);
constexpr std::size_t ringCapacity = 4096;
constexpr std::size_t maxThreads = 16;
constexpr int statusConflict = 409;

constexpr const char *leaseKind = "leases";
constexpr const char *leaseName = "placer";
constexpr const char *configurationKind = "configuration";
constexpr const char *configurationName = "fleet";
constexpr const char *statePath = "/v1/engine/state";

std::optional<EngineState> readState(const std::string &body)
{
    try {
        auto in = json::parse(body);
        EngineState state;
        state.model = ModelName(in.at("model").get<std::string>());
        state.modelVersion = in.at("model_version").get<std::string>();
        state.adapters = in.at("adapters").get<std::vector<std::string>>();
        state.role = in.at("role").get<std::string>();
        return state;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string describe(const EngineState &state)
{
    json out = {{"model", state.model.value()},
                {"model_version", state.modelVersion},
                {"adapters", state.adapters},
                {"role", state.role}};
    return out.dump();
}

Incarnation newIncarnation()
{
    return Incarnation(static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())));
}

} // namespace detail

PlacerProcess::PlacerProcess(const PlacerSettings &settings)
    : m_placer(Placer::create(settings.id, detail::newIncarnation(), PlacerLimits{settings.downloadsAtOnce})),
      m_ring(detail::ringCapacity), m_pool("placer-call", detail::maxThreads)
{
}

ErrorOr<std::unique_ptr<PlacerProcess>> PlacerProcess::create(const PlacerSettings &settings)
{
    std::unique_ptr<PlacerProcess> process(new PlacerProcess(settings));
    process->m_store =
        TRY(HttpObjectStore::create(settings.platform.objectApi, settings.platform.callTimeout));
    process->m_thread = std::thread([it = process.get()] { it->run(); });
    process->m_watchThread = std::thread([it = process.get()] { it->watchConfiguration(); });
    return process;
}

PlacerProcess::~PlacerProcess()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
    if (m_watchThread.joinable())
        m_watchThread.join();
}

void PlacerProcess::run()
{
    while (!m_ring.isClosed()) {
        absl::Time next;
        {
            absl::MutexLock lock(&m_placerMutex);
            next = m_placer->nextWakeUp();
        }
        auto wait = std::clamp(next - monotonicNow(), absl::ZeroDuration(), detail::longestSleep);
        auto event = m_ring.pop(wait);
        if (event) {
            if (const auto *wishes = std::get_if<WishesChanged>(&*event))
                m_configuration = wishes->configuration;
        } else if (next > monotonicNow()) {
            continue;
        }
        PlacerActions actions;
        {
            absl::MutexLock lock(&m_placerMutex);
            actions = m_placer->handle(event.value_or(PlacerTick{}), monotonicNow());
        }
        for (const auto &it : actions)
            carryOut(it);
    }
}

void PlacerProcess::watchConfiguration()
{
    ObjectVersion seen;
    while (!m_ring.isClosed()) {
        auto object =
            m_store->watch(detail::configurationKind, detail::configurationName, seen, detail::watchTimeout);
        if (!object) {
            absl::SleepFor(detail::watchBackoff);
            continue;
        }
        if (!*object)
            continue;
        seen = (*object)->version;
        auto configuration = fleetConfigurationFromJson((*object)->body);
        if (configuration)
            (void)m_ring.push(WishesChanged{*std::move(configuration)});
        else
            LOG(ERROR) << "decision=configuration reason=\"unreadable: " << configuration.error().detail
                       << "\"";
    }
}

void PlacerProcess::carryOut(const PlacerAction &action)
{
    if (std::holds_alternative<ReadLease>(action))
        readLease();
    else if (const auto *it = std::get_if<WriteLease>(&action))
        writeLease(*it);
    else if (const auto *it = std::get_if<ReadEngineState>(&action))
        readEngineState(*it);
    else if (const auto *it = std::get_if<SendOrder>(&action))
        sendOrder(*it);
    else if (const auto *it = std::get_if<RecordPlacement>(&action))
        LOG(INFO) << "decision=place_" << it->decision << " chosen=" << it->target << " reason=\""
                  << it->reason << "\"";
}

std::optional<std::string> PlacerProcess::addressOf(const TargetId &target) const
{
    auto it = m_configuration.targets.find(target);
    return it == m_configuration.targets.end() ? std::nullopt : std::optional(it->second.address);
}

void PlacerProcess::readLease()
{
    m_pool.post([this] {
        auto object = m_store->get(detail::leaseKind, detail::leaseName);
        if (!object) {
            (void)m_ring.push(LeaseReadFailed{});
            return;
        }
        LeaseRead read;
        if (*object) {
            auto record = leaseRecordFromJson((*object)->body);
            if (!record) {
                (void)m_ring.push(LeaseReadFailed{});
                return;
            }
            read.record = *std::move(record);
            read.version = (*object)->version;
        }
        (void)m_ring.push(std::move(read));
    });
}

void PlacerProcess::writeLease(const WriteLease &action)
{
    m_pool.post([this, action] {
        auto version =
            m_store->put(detail::leaseKind, detail::leaseName, toJson(action.record), action.expected);
        if (version)
            (void)m_ring.push(LeaseWritten{std::nullopt, *version});
        else
            (void)m_ring.push(LeaseWritten{version.error(), ObjectVersion()});
    });
}

void PlacerProcess::readEngineState(const ReadEngineState &action)
{
    auto address = addressOf(action.target);
    m_pool.post([this, target = action.target, address] {
        auto parsed = Address::parse(address.value_or(""));
        std::optional<EngineState> state;
        if (parsed) {
            const auto result = BlockingHttpClient(*parsed, detail::orderTimeout).get(detail::statePath);
            if (result && result->head.status == 200)
                state = detail::readState(result->body);
        }
        if (state)
            (void)m_ring.push(EngineStateRead{target, *std::move(state)});
        else
            (void)m_ring.push(EngineStateReadFailed{target});
    });
}

bool PlacerProcess::mayOrderNow()
{
    absl::MutexLock lock(&m_placerMutex);
    return m_placer->mayOrder(monotonicNow());
}

void PlacerProcess::sendOrder(const SendOrder &action)
{
    auto address = addressOf(action.target);
    m_pool.post([this, action, address] {
        auto parsed = Address::parse(address.value_or(""));
        if (!parsed) {
            (void)m_ring.push(OrderAnswered{action.target, parsed.error()});
            return;
        }
        // The last step before the order leaves: a pause may have come between the decision and now.
        if (!mayOrderNow()) {
            (void)m_ring.push(OrderAnswered{action.target, Error{ErrorCode::LeaseLost}});
            return;
        }
        const BlockingHttpClient client(*parsed, detail::orderTimeout);
        HttpFields fields;
        fields.set("Fencing-Number", std::to_string(action.fencing.value()));
        const auto result = client.put(detail::statePath, detail::describe(action.wish), std::move(fields));
        std::optional<Error> error;
        if (!result)
            error = Error{ErrorCode::ConnectionLost, std::string(httpFailureName(result.error()))};
        else if (result->head.status == detail::statusConflict)
            error = Error{ErrorCode::FencedOff};
        else if (result->head.status != 200)
            error = Error{ErrorCode::ProtocolViolation, absl::StrCat("status ", result->head.status)};
        (void)m_ring.push(OrderAnswered{action.target, error});
    });
}

} // namespace Wisteria
