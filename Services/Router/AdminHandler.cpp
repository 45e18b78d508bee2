// Configuration, changes, status and drain over HTTP.

#include <Router/AdminHandler.h>

#include <LibConfig/ConfigurationJson.h>
#include <Router/HttpReply.h>

namespace Wisteria {

using nlohmann::json;

namespace detail {

json describeRouter(const RouterRecord &record)
{
    return {{"id", record.id},
            {"incarnation", record.incarnation},
            {"phase", memberPhaseName(record.phase)},
            {"address", record.callerAddress},
            {"peer_address", record.peerAddress},
            {"domain", record.domain},
            {"load_per_mille", record.loadPerMille}};
}

} // namespace detail

AdminHandler::AdminHandler(RouterProcess &process) : m_process(process) { }

void AdminHandler::showConfiguration(httplib::Response &response)
{
    replyJson(response, json(*m_process.configuration()));
}

void AdminHandler::change(const httplib::Request &request, httplib::Response &response)
{
    auto body = readJsonBody(request);
    if (!body) {
        replyError(response, body.error());
        return;
    }
    auto change = configurationChangeFromJson(request.body);
    if (!change) {
        replyError(response, change.error());
        return;
    }
    auto version = m_process.change(*change);
    if (version) {
        replyJson(response, {{"version", version->value()}});
        return;
    }
    replyError(response, version.error());
    auto conflict = changeConflictFromJson(version.error().detail);
    if (version.error().code != ErrorCode::Conflict || !conflict)
        return;
    json answer = {{"error", errorBody(version.error())},
                   {"conflict", {{"item", conflict->item}, {"winner", conflict->winner}}}};
    replyJson(response, answer, httpStatus(ErrorCode::Conflict));
}

void AdminHandler::showStatus(httplib::Response &response)
{
    auto status = m_process.ask<json>([this](absl::Time now) {
        const auto &fleet = m_process.fleet();
        json routers = json::array();
        for (const auto &it : fleet.members().routers())
            routers.push_back(detail::describeRouter(it));
        json targets = json::array();
        for (const auto &[id, spec] : fleet.keeper().configuration().targets) {
            targets.push_back({{"id", id},
                               {"service", spec.service},
                               {"address", spec.address},
                               {"domain", spec.domain},
                               {"slots", spec.slots},
                               {"phase", targetPhaseName(fleet.phaseOf(id))}});
        }
        return json{{"router", m_process.id()},
                    {"config_version", fleet.keeper().configuration().version},
                    {"preset_in_force", fleet.keeper().configuration().presetInForce},
                    {"fresh", fleet.keeper().isFresh(now)},
                    {"store_reader", fleet.members().isStoreReader()},
                    {"generations", m_process.generations().running()},
                    {"routers", routers},
                    {"targets", targets}};
    });
    if (status)
        replyJson(response, *status);
    else
        replyError(response, status.error());
}

void AdminHandler::drain(httplib::Response &response)
{
    m_process.startDrain();
    replyJson(response, {{"status", "draining"}}, 202);
}

} // namespace Wisteria
