// Encodes a peer report as a CBOR array without field names.

#include <LibForwarding/PeerReport.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Wisteria {

namespace detail {

enum Field : std::size_t {
    Id,
    Domain,
    CallerAddress,
    PeerAddress,
    RouterIncarnation,
    Phase,
    Sequence,
    ConfigurationPosition,
    TargetsPosition,
    Loads,
    Faults,
    Gone,
    Counts,
    IsStoreTrusted,
    Count
};

nlohmann::json encodeLoads(const TargetLoads &loads)
{
    std::vector<std::pair<TargetId, TargetLoad>> sorted(loads.begin(), loads.end());
    if (sorted.size() > PeerReport::maxLoads) {
        std::nth_element(
            sorted.begin(), sorted.begin() + PeerReport::maxLoads, sorted.end(),
            [](const auto &a, const auto &b) { return a.second.memoryTokens > b.second.memoryTokens; });
        sorted.resize(PeerReport::maxLoads);
    }
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[id, load] : sorted)
        out.push_back({id.value(), load.requests, load.pendingPrefillTokens, load.memoryTokens});
    return out;
}

nlohmann::json encodeCounts(const ServiceCounts &counts)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[service, it] : counts)
        out.push_back({service.value(), it.requests, it.retries});
    return out;
}

nlohmann::json encodePosition(const StorePosition &position)
{
    return nlohmann::json::array({position.era.value(), position.revision.value()});
}

// Throws nlohmann::json::exception if the position is malformed.
StorePosition decodePosition(const nlohmann::json &json)
{
    return {StoreEra(json.at(0).get<std::uint64_t>()), ObjectVersion(json.at(1).get<std::uint64_t>())};
}

nlohmann::json encodeIds(const std::vector<TargetId> &ids)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &it : ids)
        out.push_back(it.value());
    return out;
}

// Throws nlohmann::json::exception if an element is not a string.
std::vector<TargetId> decodeIds(const nlohmann::json &json)
{
    std::vector<TargetId> out;
    for (const auto &it : json)
        out.emplace_back(it.get<std::string>());
    return out;
}

} // namespace detail

PeerReport PeerReport::brief() const
{
    PeerReport out;
    out.router = router;
    out.configurationPosition = configurationPosition;
    out.targetsPosition = targetsPosition;
    return out;
}

std::string encodePeerReport(const PeerReport &report)
{
    const nlohmann::json json = {report.router.id.value(),
                                 report.router.domain.value(),
                                 report.router.callerAddress,
                                 report.router.peerAddress,
                                 report.router.incarnation.value(),
                                 static_cast<int>(report.router.phase),
                                 report.router.reportSequence,
                                 detail::encodePosition(report.configurationPosition),
                                 detail::encodePosition(report.targetsPosition),
                                 detail::encodeLoads(report.loads),
                                 detail::encodeIds(report.faults),
                                 detail::encodeIds(report.gone),
                                 detail::encodeCounts(report.counts),
                                 report.router.isStoreTrusted};
    std::string out;
    nlohmann::json::to_cbor(json, out);
    return out;
}

ErrorOr<PeerReport> decodePeerReport(std::string_view bytes)
{
    try {
        // NOTE: The library throws for oversized arrays even with exceptions disabled.
        const auto json = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        if (!json.is_array() || json.size() != detail::Count)
            return makeError(ErrorCode::InvalidRequest, "peer report is not an array of the expected length");
        PeerReport report;
        report.router.id = RouterId(json.at(detail::Id).get<std::string>());
        report.router.domain = FailureDomain(json.at(detail::Domain).get<std::string>());
        report.router.callerAddress = json.at(detail::CallerAddress).get<std::string>();
        report.router.peerAddress = json.at(detail::PeerAddress).get<std::string>();
        report.router.incarnation = Incarnation(json.at(detail::RouterIncarnation).get<std::uint64_t>());
        report.router.reportSequence = json.at(detail::Sequence).get<std::uint64_t>();
        const int phase = json.at(detail::Phase).get<int>();
        if (phase < 0 || phase > static_cast<int>(RouterPhase::Draining))
            return makeError(ErrorCode::InvalidRequest, "peer report contains an unknown router phase");
        report.router.phase = static_cast<RouterPhase>(phase);
        report.configurationPosition = detail::decodePosition(json.at(detail::ConfigurationPosition));
        report.targetsPosition = detail::decodePosition(json.at(detail::TargetsPosition));
        for (const auto &it : json.at(detail::Loads)) {
            report.loads[TargetId(it.at(0).get<std::string>())] = {
                it.at(1).get<std::int32_t>(), it.at(2).get<std::int64_t>(), it.at(3).get<std::int64_t>()};
        }
        report.faults = detail::decodeIds(json.at(detail::Faults));
        report.gone = detail::decodeIds(json.at(detail::Gone));
        for (const auto &it : json.at(detail::Counts)) {
            report.counts[ServiceName(it.at(0).get<std::string>())] = {it.at(1).get<std::uint64_t>(),
                                                                       it.at(2).get<std::uint64_t>()};
        }
        report.router.isStoreTrusted = json.at(detail::IsStoreTrusted).get<bool>();
        return report;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

} // namespace Wisteria
