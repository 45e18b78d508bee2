// Encodes a peer report as a CBOR array without field names.

#include <LibForwarding/PeerReport.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

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
    PromptEnds,
    PromptSurvivals,
    Count
};

// Elements of a position after its era and revision.
constexpr std::size_t configurationVersionIndex = 2;
constexpr std::size_t configurationAgeIndex = 3;
constexpr std::size_t targetsAgeIndex = 2;
// The state of the orders follows, if there is one: a position, its age, and the position read up to.
constexpr std::size_t ordersPositionIndex = 3;
constexpr std::size_t ordersAgeIndex = 4;
constexpr std::size_t ordersReadIndex = 5;
// Elements of the end of a target.
constexpr std::size_t endRunsIndex = 2;
constexpr std::size_t endsBeforeRunsIndex = 3;

// Elements of a speed, which is the fifth element of a load.
constexpr std::size_t speedIndex = 4;
constexpr std::size_t speedElements = 4;
constexpr double speedUnit = 1e-3;
constexpr double speedWeightUnit = 1e-2;
constexpr absl::Duration speedAgeUnit = absl::Milliseconds(100);

nlohmann::json encodeSpeed(const SpeedReport &it)
{
    return {std::llround(it.ratio / speedUnit), std::llround(it.weight / speedWeightUnit),
            it.age / speedAgeUnit, it.processTag};
}

// Reports of earlier releases lack the speed, and later ones may send another form; both are no error.
// Bounds the values, which other routers have sent.
std::optional<SpeedReport> decodeSpeed(const nlohmann::json &load)
{
    if (load.size() <= speedIndex)
        return std::nullopt;
    const auto &json = load.at(speedIndex);
    if (!json.is_array() || json.size() < speedElements
        || !std::all_of(json.begin(), json.end(), [](const auto &it) { return it.is_number_unsigned(); }))
        return std::nullopt;
    const auto bounded = [&](std::size_t n, double max) {
        return std::min(static_cast<double>(json.at(n).get<std::uint64_t>()), max);
    };
    return SpeedReport{std::max(bounded(0, TargetSpeed::max / speedUnit) * speedUnit, TargetSpeed::min),
                       bounded(1, TargetSpeeds::maxPeerWeight / speedWeightUnit) * speedWeightUnit,
                       bounded(2, TargetSpeeds::sampleLifetime / speedAgeUnit) * speedAgeUnit,
                       static_cast<std::uint16_t>(bounded(3, UINT16_MAX))};
}

nlohmann::json encodeLoads(TargetLoads loads, const SpeedReports &speeds)
{
    for (const auto &[id, speed] : speeds)
        loads.try_emplace(id);
    std::vector<std::pair<TargetId, TargetLoad>> sorted(loads.begin(), loads.end());
    if (sorted.size() > PeerReport::maxLoads) {
        std::nth_element(
            sorted.begin(), sorted.begin() + PeerReport::maxLoads, sorted.end(),
            [](const auto &a, const auto &b) { return a.second.memoryTokens > b.second.memoryTokens; });
        sorted.resize(PeerReport::maxLoads);
    }
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[id, load] : sorted) {
        out.push_back({id.value(), load.requests, load.pendingPrefillTokens, load.memoryTokens});
        if (const auto it = speeds.find(id); it != speeds.end())
            out.back().push_back(encodeSpeed(it->second));
    }
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

// Age of a position that the store has not confirmed.
constexpr std::int64_t noAge = -1;

std::int64_t encodeOptionalAge(const std::optional<absl::Duration> &age)
{
    return age ? absl::ToInt64Milliseconds(*age) : noAge;
}

// Reports of earlier releases lack the age. Throws nlohmann::json::exception if it is malformed.
std::optional<absl::Duration> decodeOptionalAge(const nlohmann::json &json, std::size_t index)
{
    const auto ms = json.size() > index ? json.at(index).get<std::int64_t>() : noAge;
    return ms < 0 ? std::nullopt : std::optional(absl::Milliseconds(ms));
}

// A position of the targets, followed by its age and the state of the orders.
nlohmann::json encodeTargetsState(const PeerReport &report)
{
    auto out = encodePosition(report.targetsPosition);
    out.push_back(encodeOptionalAge(report.targetsAge));
    if (report.orders) {
        out.push_back(encodePosition(report.orders->position));
        out.push_back(encodeOptionalAge(report.orders->age));
        out.push_back(encodePosition(report.orders->readUpTo));
    }
    return out;
}

// Routers without rollouts do not send it. Throws nlohmann::json::exception if it is malformed.
std::optional<PeerReport::OrdersState> decodeOrdersState(const nlohmann::json &json)
{
    if (json.size() <= ordersReadIndex)
        return std::nullopt;
    return PeerReport::OrdersState{decodePosition(json.at(ordersPositionIndex)),
                                   decodeOptionalAge(json, ordersAgeIndex),
                                   decodePosition(json.at(ordersReadIndex))};
}

// A position of the configuration, followed by its version and its age.
nlohmann::json encodeConfigurationState(const PeerReport &report)
{
    auto out = encodePosition(report.configurationPosition);
    out.push_back(report.configurationVersion.value());
    out.push_back(encodeOptionalAge(report.configurationAge));
    return out;
}

// Reports of earlier releases lack the version. Throws nlohmann::json::exception if it is malformed.
ConfigVersion decodeConfigurationVersion(const nlohmann::json &json)
{
    return ConfigVersion(json.size() > configurationVersionIndex
                             ? json.at(configurationVersionIndex).get<std::uint64_t>()
                             : 0);
}

nlohmann::json encodeProcesses(const std::vector<TargetProcess> &processes)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &it : processes)
        out.push_back({it.id.value(), it.startedAtMs, it.address});
    return out;
}

// Routers of earlier versions send only the target's id. Throws nlohmann::json::exception if an element is
// malformed.
std::vector<TargetProcess> decodeProcesses(const nlohmann::json &json)
{
    std::vector<TargetProcess> out;
    for (const auto &it : json) {
        if (it.is_string())
            out.push_back({.id = TargetId(it.get<std::string>()), .address = {}});
        else
            out.push_back({TargetId(it.at(0).get<std::string>()), it.at(1).get<std::int64_t>(),
                           it.at(2).get<std::string>()});
    }
    return out;
}

nlohmann::json encodeEnds(const std::vector<PromptEvidence::End> &ends)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &it : ends) {
        nlohmann::json runs = nlohmann::json::array();
        nlohmann::json before = nlohmann::json::array();
        for (const auto &run : it.runs) {
            nlohmann::json parts = nlohmann::json::array();
            for (const auto &part : run.parts)
                parts.push_back(part.value());
            runs.push_back(std::move(parts));
            nlohmann::json ends = nlohmann::json::array();
            for (const auto &id : run.after)
                ends.push_back(id.value());
            before.push_back(std::move(ends));
        }
        out.push_back({it.id.value(), absl::ToInt64Milliseconds(it.age), std::move(runs), std::move(before)});
    }
    return out;
}

nlohmann::json encodeSurvivals(const std::vector<PromptEvidence::Survival> &survivals)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &it : survivals)
        out.push_back({it.part.value(), absl::ToInt64Milliseconds(it.age)});
    return out;
}

// A time in the past. Throws nlohmann::json::exception if it is not a number.
absl::Duration decodeAge(const nlohmann::json &json)
{
    return absl::Milliseconds(std::max<std::int64_t>(json.get<std::int64_t>(), 0));
}

// The ends after which a run was sent. Reports of earlier releases don't name them, so that ends that come
// together count as one piece of evidence. Throws nlohmann::json::exception if an element is malformed.
std::vector<TargetEndId> decodeEndsBefore(const nlohmann::json &end, std::size_t run)
{
    std::vector<TargetEndId> out;
    if (end.size() <= endsBeforeRunsIndex)
        return out;
    for (const auto &it : end.at(endsBeforeRunsIndex).at(run))
        out.emplace_back(it.get<std::uint64_t>());
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

// Throws nlohmann::json::exception if an element is malformed.
std::vector<PromptEvidence::End> decodeEnds(const nlohmann::json &json)
{
    std::vector<PromptEvidence::End> out;
    for (const auto &it : json) {
        PromptEvidence::End end{TargetEndId(it.at(0).get<std::uint64_t>()), decodeAge(it.at(1)), {}};
        const auto &runs = it.at(endRunsIndex);
        for (std::size_t n = 0; n < runs.size(); ++n) {
            SuspectRun run{{}, decodeEndsBefore(it, n)};
            for (const auto &part : runs.at(n))
                run.parts.emplace_back(part.get<std::uint64_t>());
            std::sort(run.parts.begin(), run.parts.end());
            run.parts.erase(std::unique(run.parts.begin(), run.parts.end()), run.parts.end());
            end.runs.push_back(std::move(run));
        }
        out.push_back(std::move(end));
    }
    return out;
}

// Throws nlohmann::json::exception if an element is malformed.
std::vector<PromptEvidence::Survival> decodeSurvivals(const nlohmann::json &json)
{
    std::vector<PromptEvidence::Survival> out;
    for (const auto &it : json)
        out.push_back({PromptPartId(it.at(0).get<std::uint64_t>()), decodeAge(it.at(1))});
    return out;
}

} // namespace detail

PeerReport PeerReport::brief() const
{
    PeerReport out;
    out.router = router;
    out.configurationPosition = configurationPosition;
    out.configurationVersion = configurationVersion;
    out.targetsPosition = targetsPosition;
    out.configurationAge = configurationAge;
    out.targetsAge = targetsAge;
    out.orders = orders;
    out.promptEvidence = promptEvidenceForOthers;
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
                                 detail::encodeConfigurationState(report),
                                 detail::encodeTargetsState(report),
                                 detail::encodeLoads(report.loads, report.speeds),
                                 detail::encodeProcesses(report.faults),
                                 detail::encodeProcesses(report.gone),
                                 detail::encodeCounts(report.counts),
                                 report.router.isStoreTrusted,
                                 detail::encodeEnds(report.promptEvidence.ends),
                                 detail::encodeSurvivals(report.promptEvidence.survivals)};
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
        report.configurationVersion =
            detail::decodeConfigurationVersion(json.at(detail::ConfigurationPosition));
        report.configurationAge =
            detail::decodeOptionalAge(json.at(detail::ConfigurationPosition), detail::configurationAgeIndex);
        report.targetsPosition = detail::decodePosition(json.at(detail::TargetsPosition));
        report.targetsAge =
            detail::decodeOptionalAge(json.at(detail::TargetsPosition), detail::targetsAgeIndex);
        report.orders = detail::decodeOrdersState(json.at(detail::TargetsPosition));
        for (const auto &it : json.at(detail::Loads)) {
            const TargetId id(it.at(0).get<std::string>());
            report.loads[id] = {it.at(1).get<std::int32_t>(), it.at(2).get<std::int64_t>(),
                                it.at(3).get<std::int64_t>()};
            if (const auto speed = detail::decodeSpeed(it))
                report.speeds[id] = *speed;
        }
        report.faults = detail::decodeProcesses(json.at(detail::Faults));
        report.gone = detail::decodeProcesses(json.at(detail::Gone));
        for (const auto &it : json.at(detail::Counts)) {
            report.counts[ServiceName(it.at(0).get<std::string>())] = {it.at(1).get<std::uint64_t>(),
                                                                       it.at(2).get<std::uint64_t>()};
        }
        report.router.isStoreTrusted = json.at(detail::IsStoreTrusted).get<bool>();
        report.promptEvidence.ends = detail::decodeEnds(json.at(detail::PromptEnds));
        report.promptEvidence.survivals = detail::decodeSurvivals(json.at(detail::PromptSurvivals));
        return report;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorCode::InvalidRequest, error.what());
    }
}

} // namespace Wisteria
