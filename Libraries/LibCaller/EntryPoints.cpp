// Discovery asks the known routers first and the seeds last. An old answer is better than none.

#include <LibCaller/EntryPoints.h>

#include <LibCaller/RouterAnswer.h>
#include <LibCore/Verify.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// After a discovery that no router answered, the next one waits this long.
constexpr absl::Duration refreshPause = absl::Milliseconds(500);
// How long an address that gave no answer to discovery is not used.
constexpr absl::Duration silentPause = absl::Seconds(1);
constexpr absl::Duration maxLifetime = absl::Minutes(10);

RouterEndpoint entryPointFromJson(const nlohmann::json &json)
{
    return {RouterId(json.at("router").get<std::string>()), json.at("address").get<std::string>(),
            FailureDomain(json.value("domain", ""))};
}

} // namespace detail

ErrorOr<DiscoveryAnswer> discoveryAnswerFromJson(std::string_view text)
{
    try {
        auto json = nlohmann::json::parse(text);
        DiscoveryAnswer answer;
        for (const auto &it : json.at("entry_points"))
            answer.entryPoints.push_back(detail::entryPointFromJson(it));
        answer.lifetime =
            std::min(absl::Milliseconds(json.at("lifetime_ms").get<std::int64_t>()), detail::maxLifetime);
        for (const auto &it : json.value("tickets", nlohmann::json::array()))
            answer.tickets.emplace_back(it.get<std::string>());
        return answer;
    } catch (const nlohmann::json::exception &e) {
        return makeError(ErrorCode::ProtocolViolation, e.what());
    }
}

EntryPoints::EntryPoints(Transport &transport, CallerClock &clock, std::vector<std::string> seeds,
                         FailureDomain domain, absl::Duration timeout)
    : m_transport(transport), m_clock(clock), m_seeds(std::move(seeds)), m_domain(std::move(domain)),
      m_timeout(timeout)
{
    VERIFY(!m_seeds.empty());
    for (const auto &it : m_seeds)
        m_entryPoints.push_back({RouterId(), it, FailureDomain()});
}

std::optional<RouterEndpoint> EntryPoints::choose()
{
    return chooseBeside({});
}

std::optional<RouterEndpoint> EntryPoints::chooseBeside(const std::string &other)
{
    refreshIfDue();
    std::optional<RouterEndpoint> last;
    for (const auto &it : m_entryPoints) {
        if (isHeldBack(it.address))
            continue;
        if (it.address != other)
            return it;
        last = it;
    }
    return last;
}

absl::Time EntryPoints::nextTry() const
{
    auto earliest = absl::InfiniteFuture();
    for (const auto &it : m_entryPoints) {
        auto held = m_heldBackUntil.find(it.address);
        if (held == m_heldBackUntil.end())
            return absl::InfinitePast();
        earliest = std::min(earliest, held->second);
    }
    return earliest;
}

void EntryPoints::holdBack(const std::string &address, absl::Duration duration)
{
    auto until = m_clock.now() + duration;
    auto [it, isNew] = m_heldBackUntil.try_emplace(address, until);
    it->second = std::max(it->second, until);
}

void EntryPoints::holdBackAll(absl::Duration duration)
{
    for (const auto &it : m_entryPoints)
        holdBack(it.address, duration);
}

ErrorOr<IdempotencyKey> EntryPoints::ticketFrom(const RouterEndpoint &entryPoint)
{
    auto answer = TRY(ask(entryPoint.address, 1));
    take(answer);
    if (answer.tickets.empty())
        return makeError(ErrorCode::Internal, absl::StrCat(entryPoint.address, " issued no ticket"));
    return answer.tickets.front();
}

ErrorOr<DiscoveryAnswer> EntryPoints::ask(const std::string &address, int tickets)
{
    auto path = absl::StrCat("/v1/entry-points?tickets=", tickets);
    if (!m_domain.value().empty())
        absl::StrAppend(&path, "&domain=", detail::escapeUrl(m_domain.value()));
    auto answer = m_transport.send(address, {"GET", path, {}, {}, m_timeout}, nullptr);
    if (!answer)
        return tl::unexpected(answer.error().error);
    if (answer->status != detail::httpOk)
        return tl::unexpected(detail::errorOfAnswer(*answer));
    return discoveryAnswerFromJson(answer->body);
}

void EntryPoints::refreshIfDue()
{
    if (m_clock.now() < m_validUntil)
        return;
    std::vector<std::string> addresses;
    for (const auto &it : m_entryPoints)
        addresses.push_back(it.address);
    for (const auto &it : m_seeds) {
        if (std::find(addresses.begin(), addresses.end(), it) == addresses.end())
            addresses.push_back(it);
    }
    for (const auto &it : addresses) {
        if (isHeldBack(it))
            continue;
        auto answer = ask(it, 0);
        if (answer && !answer->entryPoints.empty())
            return take(*answer);
        holdBack(it, detail::silentPause);
    }
    m_validUntil = m_clock.now() + detail::refreshPause;
}

void EntryPoints::take(const DiscoveryAnswer &answer)
{
    if (answer.entryPoints.empty())
        return;
    m_entryPoints = answer.entryPoints;
    m_validUntil = m_clock.now() + answer.lifetime;
}

bool EntryPoints::isHeldBack(const std::string &address) const
{
    auto it = m_heldBackUntil.find(address);
    return it != m_heldBackUntil.end() && m_clock.now() < it->second;
}

} // namespace Wisteria
