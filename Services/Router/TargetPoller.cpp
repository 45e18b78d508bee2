// A thread that spreads the polls of all targets over a round.

#include <Router/TargetPoller.h>

#include <LibPlatform/BlockingHttpClient.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace Wisteria {

namespace detail {

constexpr std::size_t maxPollThreads = 16;
constexpr absl::Duration pollTimeout = absl::Milliseconds(600);
constexpr absl::Duration shortestRound = absl::Seconds(1);
// Bounds the control traffic of a router whatever the number of targets; the round grows instead.
constexpr double maxPollsPerSecond = 20;

// Cache events name prompt heads as hexadecimal numbers.
std::vector<PromptPrefixHash> readHeads(const nlohmann::json &names)
{
    std::vector<PromptPrefixHash> heads;
    for (const auto &it : names) {
        std::uint64_t n = 0;
        if (absl::SimpleHexAtoi(it.get<std::string>(), &n))
            heads.emplace_back(n);
    }
    return heads;
}

} // namespace detail

TargetPoller::TargetPoller(EventSink &sink, std::unique_ptr<VmDirectory> vms)
    : m_sink(sink), m_vms(std::move(vms)), m_pool("target-poll", detail::maxPollThreads),
      m_thread([this] { run(); })
{
}

TargetPoller::~TargetPoller()
{
    m_stop.Notify();
    m_thread.join();
    m_pool.shutdown();
}

void TargetPoller::replace(std::vector<PolledTarget> targets)
{
    absl::MutexLock lock(&m_mutex);
    m_targets = std::move(targets);
}

void TargetPoller::run()
{
    while (!m_stop.HasBeenNotified()) {
        std::vector<PolledTarget> targets;
        {
            absl::MutexLock lock(&m_mutex);
            targets = m_targets;
        }
        m_pool.post([this] { readVms(); });
        auto round =
            std::max(detail::shortestRound, absl::Seconds(targets.size() / detail::maxPollsPerSecond));
        for (const auto &it : targets) {
            m_pool.post([this, it] { poll(it); });
            if (m_stop.WaitForNotificationWithTimeout(round / (targets.size() + 1)))
                return;
        }
        m_stop.WaitForNotificationWithTimeout(round / (targets.size() + 1));
    }
}

void TargetPoller::readVms()
{
    if (!m_vms)
        return;
    if (auto vms = m_vms->list())
        m_sink.post(MembershipEvent(VmListRead{*std::move(vms)}));
}

void TargetPoller::poll(const PolledTarget &target)
{
    const BlockingHttpClient client(target.address, detail::pollTimeout);
    const auto result = client.get("/load");
    m_sink.post(MembershipEvent(TargetObserved{target.id, static_cast<bool>(result)}));
    if (!result || target.kind == PollKind::PlainService)
        return;
    auto json = nlohmann::json::parse(result->body, nullptr, false);
    if (json.is_object() && json.contains("running") && json["running"].is_number_unsigned()) {
        auto waiting = json.value("waiting", 0U);
        m_sink.post(RoutingEvent(LoadReported{target.id, json["running"].get<std::uint32_t>(), waiting}));
    }
    pollCache(target);
}

void TargetPoller::pollCache(const PolledTarget &target)
{
    std::uint64_t position = 0;
    {
        absl::MutexLock lock(&m_mutex);
        position = m_cachePositions[target.id];
    }
    const BlockingHttpClient client(target.address, detail::pollTimeout);
    const auto result = client.get(absl::StrCat("/v1/cache-events?after=", position));
    if (!result || result->head.status != 200)
        return;
    CacheReported report{target.id, {}, {}};
    try {
        auto json = nlohmann::json::parse(result->body);
        position = json.at("next").get<std::uint64_t>();
        for (const auto &it : json.at("events")) {
            for (auto head : detail::readHeads(it.at("stored")))
                report.stored.push_back(head);
            for (auto head : detail::readHeads(it.at("evicted")))
                report.evicted.push_back(head);
        }
    } catch (const nlohmann::json::exception &) {
        // Cache events are hints: a malformed answer costs nothing but the hint.
        return;
    }
    {
        absl::MutexLock lock(&m_mutex);
        m_cachePositions[target.id] = position;
    }
    if (!report.stored.empty() || !report.evicted.empty())
        m_sink.post(RoutingEvent(std::move(report)));
}

} // namespace Wisteria
