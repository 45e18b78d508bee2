// The platform's forms, as far as the tests need them.

#include "FakePlatform.h"

#include <LibCore/Verify.h>
#include <LibCore/Views.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace Wisteria {

namespace detail {

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::pair<std::string, std::string> parts = absl::StrSplit(target, absl::MaxSplits('?', 1));
    for (absl::string_view it : absl::StrSplit(parts.second, '&')) {
        if (absl::ConsumePrefix(&it, name + "="))
            return std::string(it);
    }
    return {};
}

std::uint64_t number(const std::string &text)
{
    std::uint64_t n = 0;
    return absl::SimpleAtoi(text, &n) ? n : 0;
}

std::string eventText(int n)
{
    return absl::StrCat("id: ", n, "\ndata: token-", n, "\n\n");
}

} // namespace detail

std::string freeAddress()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port());
}

FakeStore::FakeStore(boost::asio::io_context &context) : m_address(freeAddress())
{
    auto server = HttpServer::create(context, *Address::parse(m_address), *this, {});
    VERIFY(server.has_value());
    m_server = std::move(*server);
}

void FakeStore::put(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    ++m_revision;
    nlohmann::json object = {{"metadata", {{"name", name}, {"revision", m_revision}}}, {"spec", spec}};
    m_objects[kind][name] = object;
    changed(kind, std::move(object), false);
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    ++m_revision;
    auto object = m_objects[kind][name];
    object["metadata"]["revision"] = m_revision;
    m_objects[kind].erase(name);
    changed(kind, std::move(object), true);
}

void FakeStore::changed(const std::string &kind, nlohmann::json object, bool isRemoved)
{
    m_history.push_back({kind, m_revision, {{"object", std::move(object)}, {"deleted", isRemoved}}});
    std::erase_if(m_waiting, [this](const Waiting &it) { return answerWatch(it); });
}

void FakeStore::dropHistory()
{
    m_historyFrom = m_revision + 1;
    m_history.clear();
    for (const auto &it : std::exchange(m_waiting, {}))
        it.connection->respond(makeResponse(410, "application/json", "{}"));
}

bool FakeStore::answerWatch(const Waiting &waiting)
{
    nlohmann::json events = nlohmann::json::array();
    for (const auto &it : m_history) {
        if (it.kind == waiting.kind && it.revision > waiting.after)
            events.push_back(it.event);
    }
    if (events.empty())
        return false;
    const nlohmann::json body = {{"events", events}, {"currentRev", m_revision}};
    waiting.connection->respond(makeResponse(200, "application/json", body.dump()));
    return true;
}

void FakeStore::handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request)
{
    ++m_calls;
    const std::string target(request.target().data(), request.target().size());
    if (m_failure != 0) {
        connection->respond(makeResponse(m_failure, "application/json", "{}"));
        return;
    }
    const std::vector<std::string> parts = absl::StrSplit(target.substr(0, target.find('?')), '/');
    const auto &kind = parts.at(3);
    if (request.method_string() == "POST") {
        const auto body = nlohmann::json::parse(request.body());
        put(kind, body["metadata"]["name"].get<std::string>(), body["spec"]);
        connection->respond(makeResponse(201, "application/json", "{}"));
        return;
    }
    if (const auto after = detail::queryValue(target, "watch"); !after.empty()) {
        const Waiting waiting{connection, kind, detail::number(after)};
        if (waiting.after < m_historyFrom)
            connection->respond(makeResponse(410, "application/json", "{}"));
        else if (!answerWatch(waiting))
            m_waiting.push_back(waiting);
        return;
    }
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[name, object] : m_objects[kind])
        items.push_back(object);
    const nlohmann::json body = {{"items", items}, {"hasMore", false}, {"currentRev", m_revision}};
    connection->respond(makeResponse(200, "application/json", body.dump()));
}

FakeEngine::FakeEngine(boost::asio::io_context &context, FakeFleet &fleet, std::string id,
                       std::string service, std::string zone)
    : m_context(context), m_fleet(fleet), m_id(std::move(id)), m_service(std::move(service)),
      m_zone(std::move(zone)), m_address(freeAddress())
{
    auto server = HttpServer::create(context, *Address::parse(m_address), *this, {});
    VERIFY(server.has_value());
    m_server = std::move(*server);
}

nlohmann::json FakeEngine::entry(const std::string &state) const
{
    return {{"service", m_service}, {"address", m_address}, {"zone", m_zone},
            {"slots", 8},           {"state", state},       {"born", 1}};
}

std::string FakeEngine::wholeStream()
{
    std::string out;
    for (int n = 1; n <= events; ++n)
        out += detail::eventText(n);
    return out;
}

void FakeEngine::handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request)
{
    ++m_arrivals;
    const std::string requestId(fieldValue(request, "Request-Id"));
    auto response = makeResponse(200, "text/plain", "answer of " + requestId);
    response.head.fields.set("Request-Id", requestId);
    if (fieldValue(request, "Expect-Instance") != m_id) {
        response.head.status = 421;
        connection->respond(response);
        return;
    }
    const std::string from(fieldValue(request, "Kv-From"));
    const bool isCopyMissing = !from.empty() && m_fleet.copies.erase(from) == 0;
    if (m_mode == FakeEngineMode::Full || isCopyMissing) {
        response.head.status = 503;
        response.head.fields.set("Not-Executed", "1");
        connection->respond(response);
        return;
    }
    response.head.fields.set("Engine-Seal", "seal");
    if (from.empty()) {
        ++m_fleet.runs[requestId];
        if (!fieldValue(request, "Last-Event-Id").empty())
            ++m_fleet.readAnew[requestId];
    }
    const std::string holder(fieldValue(request, "Kv-Backup"));
    if (!holder.empty())
        m_fleet.copies.insert(holder + "/" + requestId);
    if (!absl::StartsWith(std::string(request.target().data(), request.target().size()), "/stream/")) {
        if (m_mode == FakeEngineMode::Dying)
            connection->abort();
        else if (m_mode != FakeEngineMode::Silent)
            connection->respond(response);
        return;
    }
    response.head.fields.set("Content-Type", "text/event-stream");
    connection->openStream(response.head);
    streamFrom(connection,
               static_cast<int>(detail::number(std::string(fieldValue(request, "Last-Event-Id")))) + 1);
}

void FakeEngine::streamFrom(const std::shared_ptr<HttpServerConnection> &connection, int event)
{
    if (event > events) {
        connection->endStream();
        return;
    }
    if (event > events / 2 && m_mode == FakeEngineMode::Silent)
        return;
    const auto text = detail::eventText(event);
    if (event > events / 2 && m_mode == FakeEngineMode::Dying) {
        // Half of an event is on its way when the engine dies.
        connection->writeStream(text.substr(0, text.size() / 2));
        connection->abort();
        return;
    }
    connection->writeStream(text);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, eventInterval);
    timer->async_wait([this, timer, connection, event](const auto &) { streamFrom(connection, event + 1); });
}

} // namespace Wisteria
