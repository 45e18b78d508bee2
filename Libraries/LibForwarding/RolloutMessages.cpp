// Encodes each message as a CBOR map with one entry: its kind and an array of its fields.
//
// Histograms are lists of a bucket and its count, without the empty ones.

#include <LibForwarding/RolloutMessages.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace Wisteria {

namespace detail {

using Json = nlohmann::json;

constexpr const char *reportKind = "rollout_report";
constexpr const char *grantKind = "rollout_grant";
constexpr std::string_view kindPrefix = "rollout";

// Bounds of what is accepted. The largest one of a list is never written by encodeRolloutMessage().
constexpr std::size_t maxTextBytes = 256;
constexpr std::size_t maxRoutes = 128;
constexpr std::size_t maxProcesses = 64;
// Nesting of a valid message, with some room. The parser is recursive.
constexpr std::size_t maxDepth = 12;
constexpr std::int64_t maxSeconds = 1'000'000'000;
// Parts of a second in an absl::Duration, which keeps quarters of a nanosecond.
constexpr std::int64_t ticksPerSecond = 4'000'000'000;

constexpr std::array phases = {RolloutPhase::Idle,      RolloutPhase::Probing,   RolloutPhase::Canary,
                               RolloutPhase::Loading,   RolloutPhase::Switching, RolloutPhase::Completed,
                               RolloutPhase::RolledBack};

// Accepts nested data up to `maxDepth` and stops the parser beyond it.
class DepthCheck final : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= maxDepth; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_depth <= maxDepth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth{0};
};

Json encodeDuration(absl::Duration duration)
{
    absl::Duration rest;
    const auto seconds = absl::IDivDuration(
        std::clamp(duration, absl::ZeroDuration(), absl::Seconds(maxSeconds)), absl::Seconds(1), &rest);
    return Json::array({seconds, absl::IDivDuration(rest, absl::Nanoseconds(1) / 4, &rest)});
}

Json encodeOrder(const RolloutOrder &order)
{
    return Json::array(
        {order.service.value(), order.target.value(), encodeDuration(order.duration), order.created});
}

Json encodeHistogram(const SlownessHistogram &histogram)
{
    Json out = Json::array();
    for (std::size_t n = 0; n < histogram.size(); ++n) {
        if (histogram[n] > 0) {
            out.push_back(n);
            out.push_back(histogram[n]);
        }
    }
    return out;
}

template <typename Ids>
Json encodeIds(const Ids &ids, std::size_t maxIds)
{
    Json out = Json::array();
    for (const auto &it : ids) {
        if (out.size() < maxIds && it.value().size() <= maxTextBytes)
            out.push_back(it.value());
    }
    return out;
}

Json encodeTally(const RouteTally &tally)
{
    Json byProcess = Json::array();
    for (const auto &[process, it] : tally.byProcess) {
        if (byProcess.size() < maxProcesses && process.value().size() <= maxTextBytes)
            byProcess.push_back({process.value(), it.answers, it.failures, it.losses, it.isolatedLosses,
                                 encodeHistogram(it.slowness)});
    }
    // Processes with counts of their own are not named twice.
    std::vector<TargetId> others;
    std::copy_if(tally.processes.begin(), tally.processes.end(), std::back_inserter(others),
                 [&tally](const auto &it) { return !tally.byProcess.contains(it); });
    return Json::array({tally.answers, tally.failures, tally.losses, tally.isolatedLosses,
                        encodeHistogram(tally.slowness), std::move(byProcess),
                        encodeIds(others, maxProcesses),
                        encodeIds(tally.failingProcesses, RouteTally::maxFailingProcesses)});
}

// Tallies of the routes with the most answers, as many as fit into the number of bytes.
Json encodeTallies(const VersionTallies &tallies, std::size_t maxBytes)
{
    const auto answers = [](const auto *it) {
        return static_cast<std::uint64_t>(it->second[0].answers) + it->second[1].answers;
    };
    std::vector<const VersionTallies::value_type *> routes;
    for (const auto &it : tallies) {
        if (it.first.size() <= maxTextBytes)
            routes.push_back(&it);
    }
    std::stable_sort(routes.begin(), routes.end(),
                     [&answers](const auto *a, const auto *b) { return answers(a) > answers(b); });
    Json out = Json::array();
    std::size_t bytes = 0;
    for (const auto *it : routes) {
        Json route = Json::array({it->first, encodeTally(it->second[0]), encodeTally(it->second[1])});
        bytes += Json::to_cbor(route).size();
        if (bytes > maxBytes || out.size() == maxRoutes)
            break;
        out.push_back(std::move(route));
    }
    return out;
}

// A report whose parts exceed the whole would be rejected.
Json encodeCounts(const RolloutCounts &counts)
{
    return Json::array({counts.total, std::min(counts.candidate, counts.total)});
}

Json encodeRuns(const RolloutRuns &runs)
{
    const auto baseline = std::max(runs.baseline, 0);
    return Json::array(
        {baseline, std::clamp(runs.baselineAtMostOnce, 0, baseline), std::max(runs.candidate, 0)});
}

Json encode(const RolloutReport &report)
{
    Json fields = Json::array({report.sender.value(), report.incarnation.value(), encodeOrder(report.order),
                               rolloutPhaseName(report.phase), encodeDuration(report.orderAge),
                               encodeCounts(report.counts), encodeRuns(report.runs)});
    // The head of the map, its key and the head of the list of tallies.
    constexpr std::size_t headBytes = 32;
    const auto used = Json::to_cbor(fields).size() + headBytes;
    fields.push_back(
        encodeTallies(report.tallies, maxRolloutMessageBytes - std::min(used, maxRolloutMessageBytes)));
    return {{reportKind, std::move(fields)}};
}

Json encode(const RolloutGrant &grant)
{
    return {{grantKind,
             Json::array({grant.sender.value(), encodeOrder(grant.order), rolloutPhaseName(grant.phase),
                          grant.share, encodeDuration(grant.orderAge)})}};
}

tl::unexpected<Error> invalid(const std::string &detail)
{
    return makeError(ErrorCode::InvalidRequest, "rollout message: " + detail);
}

// An array with exactly this number of elements, unless it is zero.
ErrorOr<const Json *> arrayOf(const Json &json, std::size_t size)
{
    if (!json.is_array() || (size > 0 && json.size() != size))
        return invalid("expected a list of " + std::to_string(size) + " elements");
    return &json;
}

ErrorOr<std::string> decodeText(const Json &json)
{
    if (!json.is_string() || json.get_ref<const std::string &>().size() > maxTextBytes)
        return invalid("expected a text of bounded length");
    return json.get<std::string>();
}

ErrorOr<std::string> decodeName(const Json &json)
{
    auto name = TRY(decodeText(json));
    if (name.empty())
        return invalid("a name is empty");
    return name;
}

ErrorOr<std::uint64_t> decodeNumber(const Json &json, std::uint64_t max)
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > max)
        return invalid("expected a number that is not negative, and at most " + std::to_string(max));
    return json.get<std::uint64_t>();
}

ErrorOr<std::uint32_t> decodeCount(const Json &json)
{
    return static_cast<std::uint32_t>(TRY(decodeNumber(json, std::numeric_limits<std::uint32_t>::max())));
}

ErrorOr<std::int32_t> decodeRuns(const Json &json)
{
    return static_cast<std::int32_t>(TRY(decodeNumber(json, std::numeric_limits<std::int32_t>::max())));
}

ErrorOr<absl::Duration> decodeDuration(const Json &json)
{
    const auto *fields = TRY(arrayOf(json, 2));
    const auto seconds = TRY(decodeNumber(fields->at(0), maxSeconds));
    const auto ticks = TRY(decodeNumber(fields->at(1), ticksPerSecond - 1));
    return absl::Seconds(static_cast<std::int64_t>(seconds))
        + absl::Nanoseconds(1) / 4 * static_cast<std::int64_t>(ticks);
}

ErrorOr<RolloutOrder> decodeOrder(const Json &json)
{
    const auto *fields = TRY(arrayOf(json, 4));
    // One after the other: a return out of a braced list would not destroy its earlier members.
    RolloutOrder order;
    order.service = ServiceName(TRY(decodeName(fields->at(0))));
    order.target = TargetVersion(TRY(decodeName(fields->at(1))));
    order.duration = TRY(decodeDuration(fields->at(2)));
    order.created = TRY(decodeText(fields->at(3)));
    if (order.duration <= absl::ZeroDuration())
        return invalid("the duration of the order is not positive");
    return order;
}

ErrorOr<RolloutPhase> decodePhase(const Json &json)
{
    const auto name = TRY(decodeText(json));
    for (const auto it : phases) {
        if (rolloutPhaseName(it) == name)
            return it;
    }
    return invalid("unknown phase");
}

ErrorOr<SlownessHistogram> decodeHistogram(const Json &json)
{
    const auto *fields = TRY(arrayOf(json, 0));
    SlownessHistogram histogram{};
    if (fields->size() % 2 != 0 || fields->size() > 2 * histogram.size())
        return invalid("malformed histogram");
    for (std::size_t n = 0; n < fields->size(); n += 2)
        histogram[TRY(decodeNumber(fields->at(n), histogram.size() - 1))] =
            TRY(decodeCount(fields->at(n + 1)));
    return histogram;
}

// The counts that are the same for a route and for a process.
template <typename Tally>
ErrorOr<void> decodeCounts(const Json &fields, std::size_t first, Tally &tally)
{
    tally.answers = TRY(decodeCount(fields.at(first)));
    tally.failures = TRY(decodeCount(fields.at(first + 1)));
    tally.losses = TRY(decodeCount(fields.at(first + 2)));
    tally.isolatedLosses = TRY(decodeCount(fields.at(first + 3)));
    tally.slowness = TRY(decodeHistogram(fields.at(first + 4)));
    if (tally.failures > tally.answers || tally.losses > tally.failures)
        return invalid("a part is larger than the whole");
    return {};
}

ErrorOr<absl::btree_set<TargetId>> decodeIds(const Json &json, std::size_t maxIds)
{
    const auto *fields = TRY(arrayOf(json, 0));
    if (fields->size() > maxIds)
        return invalid("too many processes");
    absl::btree_set<TargetId> ids;
    for (const auto &it : *fields)
        ids.insert(TargetId(TRY(decodeName(it))));
    return ids;
}

ErrorOr<RouteTally> decodeTally(const Json &json)
{
    const auto *fields = TRY(arrayOf(json, 8));
    RouteTally tally;
    TRY_VOID(decodeCounts(*fields, 0, tally));
    const auto *byProcess = TRY(arrayOf(fields->at(5), 0));
    if (byProcess->size() > maxProcesses)
        return invalid("too many processes");
    tally.processes = TRY(decodeIds(fields->at(6), maxProcesses));
    for (const auto &it : *byProcess) {
        const auto *process = TRY(arrayOf(it, 6));
        TargetId id(TRY(decodeName(process->at(0))));
        TRY_VOID(decodeCounts(*process, 1, tally.byProcess[id]));
        tally.processes.insert(std::move(id));
    }
    tally.failingProcesses = TRY(decodeIds(fields->at(7), RouteTally::maxFailingProcesses));
    return tally;
}

ErrorOr<VersionTallies> decodeTallies(const Json &json)
{
    const auto *routes = TRY(arrayOf(json, 0));
    if (routes->size() > maxRoutes)
        return invalid("too many routes");
    VersionTallies tallies;
    for (const auto &it : *routes) {
        const auto *fields = TRY(arrayOf(it, 3));
        auto &sides = tallies[TRY(decodeText(fields->at(0)))];
        // One after the other: a return out of the second one would not destroy the first.
        auto baseline = TRY(decodeTally(fields->at(1)));
        auto candidate = TRY(decodeTally(fields->at(2)));
        sides = {std::move(baseline), std::move(candidate)};
    }
    return tallies;
}

ErrorOr<RolloutMessage> decodeReport(const Json &json)
{
    const auto *fields = TRY(arrayOf(json, 8));
    constexpr auto maxNumber = std::numeric_limits<std::uint64_t>::max();
    RolloutReport report;
    report.sender = RouterId(TRY(decodeName(fields->at(0))));
    report.incarnation = Incarnation(TRY(decodeNumber(fields->at(1), maxNumber)));
    report.order = TRY(decodeOrder(fields->at(2)));
    report.phase = TRY(decodePhase(fields->at(3)));
    report.orderAge = TRY(decodeDuration(fields->at(4)));
    const auto *counts = TRY(arrayOf(fields->at(5), 2));
    report.counts = {TRY(decodeNumber(counts->at(0), maxNumber)),
                     TRY(decodeNumber(counts->at(1), maxNumber))};
    const auto *runs = TRY(arrayOf(fields->at(6), 3));
    report.runs = {TRY(decodeRuns(runs->at(0))), TRY(decodeRuns(runs->at(1))), TRY(decodeRuns(runs->at(2)))};
    if (report.counts.candidate > report.counts.total
        || report.runs.baselineAtMostOnce > report.runs.baseline)
        return invalid("a part is larger than the whole");
    report.tallies = TRY(decodeTallies(fields->at(7)));
    return report;
}

ErrorOr<RolloutMessage> decodeGrant(const Json &json)
{
    const auto *fields = TRY(arrayOf(json, 5));
    RolloutGrant grant;
    grant.sender = RouterId(TRY(decodeName(fields->at(0))));
    grant.order = TRY(decodeOrder(fields->at(1)));
    grant.phase = TRY(decodePhase(fields->at(2)));
    if (!fields->at(3).is_number())
        return invalid("the share is not a number");
    grant.share = fields->at(3).get<double>();
    if (!(grant.share >= 0 && grant.share <= 1))
        return invalid("the share is not a fraction");
    grant.orderAge = TRY(decodeDuration(fields->at(4)));
    return grant;
}

} // namespace detail

std::string encodeRolloutMessage(const RolloutMessage &message)
{
    const auto json = std::visit([](const auto &it) { return detail::encode(it); }, message);
    std::string out;
    nlohmann::json::to_cbor(json, out);
    return out;
}

bool isRolloutMessage(std::string_view bytes)
{
    // A CBOR map with one entry, then the head of a text of less than 24 bytes.
    constexpr unsigned char mapOfOne = 0xa1;
    constexpr unsigned char textType = 0x60;
    constexpr unsigned char longText = 0x78;
    constexpr std::size_t headBytes = 2;
    return bytes.size() > headBytes && static_cast<unsigned char>(bytes[0]) == mapOfOne
        && static_cast<unsigned char>(bytes[1]) >= textType && static_cast<unsigned char>(bytes[1]) < longText
        && bytes.substr(headBytes).starts_with(detail::kindPrefix);
}

ErrorOr<RolloutMessage> decodeRolloutMessage(std::string_view bytes)
{
    if (bytes.size() > maxRolloutMessageBytes)
        return detail::invalid("longer than a datagram");
    try {
        // NOTE: The library throws for oversized arrays even with exceptions disabled.
        detail::DepthCheck check;
        if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &check,
                                       nlohmann::json::input_format_t::cbor))
            return detail::invalid("malformed or nested too deeply");
        const auto json = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        if (!json.is_object() || json.size() != 1)
            return detail::invalid("not a map with one entry");
        const auto &kind = json.begin().key();
        if (kind == detail::reportKind)
            return detail::decodeReport(json.begin().value());
        if (kind == detail::grantKind)
            return detail::decodeGrant(json.begin().value());
        return detail::invalid("unknown kind");
    } catch (const nlohmann::json::exception &error) {
        return detail::invalid(error.what());
    }
}

} // namespace Wisteria
