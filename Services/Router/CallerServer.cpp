// Routes of the callers' and operators' interface.

#include <Router/CallerServer.h>

#include <LibCore/Address.h>
#include <LibPlatform/ElasticPool.h>
#include <Router/HttpReply.h>

#include <absl/strings/numbers.h>

namespace Wisteria {

using nlohmann::json;

namespace detail {

constexpr std::size_t maxTicketsAtOnce = 100;
// An idle connection holds a thread for no longer than this.
constexpr std::time_t idleSeconds = 5;
constexpr std::time_t writeSeconds = 10;
constexpr const char *routerHeader = "Wisteria-Router";

// Gives cpp-httplib threads as connections come instead of a fixed number of them.
class ConnectionThreads final : public httplib::TaskQueue
{
public:
    explicit ConnectionThreads(std::size_t maxThreads) : m_pool("caller", maxThreads) { }

    void enqueue(std::function<void()> work) override { m_pool.post(std::move(work)); }
    void shutdown() override { m_pool.shutdown(); }

private:
    ElasticPool m_pool;
};

Error errorOfStatus(int status)
{
    switch (status) {
    case 404:
        return {ErrorCode::UnknownObject, "no such path"};
    case 413:
        return {ErrorCode::PayloadTooLarge, "the body is above the limit of the settings"};
    case 415:
        return {ErrorCode::UnsupportedMediaType, {}};
    default:
        return status >= 500 ? Error{ErrorCode::Internal, {}}
                             : Error{ErrorCode::InvalidRequest, "malformed request"};
    }
}

} // namespace detail

CallerServer::CallerServer(const RouterSettings &settings, RouterProcess &process)
    : m_process(process), m_completions(process), m_calls(process), m_admin(process)
{
    m_server.new_task_queue = [maxConnections = settings.limits.maxConnections] {
        return new detail::ConnectionThreads(maxConnections);
    };
    m_server.set_payload_max_length(settings.limits.maxBodyBytes);
    m_server.set_read_timeout(detail::idleSeconds);
    m_server.set_write_timeout(detail::writeSeconds);
    m_server.set_keep_alive_timeout(detail::idleSeconds);
    m_server.set_tcp_nodelay(true);
    m_server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (response.body.empty())
            replyError(response, detail::errorOfStatus(response.status));
    });
    // The header marks requests that were counted, so that malformed ones, which are not routed, are not
    // counted down.
    m_server.set_pre_routing_handler([this](const httplib::Request &, httplib::Response &response) {
        m_process.requestBegan();
        response.set_header(detail::routerHeader, m_process.id().value());
        return httplib::Server::HandlerResponse::Unhandled;
    });
    // cpp-httplib calls its logger when the last byte of an answer has been written.
    m_server.set_logger([this](const httplib::Request &, const httplib::Response &response) {
        if (response.has_header(detail::routerHeader))
            m_process.requestEnded();
    });
    m_server.set_exception_handler(
        [](const httplib::Request &, httplib::Response &response, const std::exception_ptr &) {
            replyError(response, Error{ErrorCode::Internal, {}});
        });
    setRoutes();
}

ErrorOr<std::unique_ptr<CallerServer>> CallerServer::create(const RouterSettings &settings,
                                                            RouterProcess &process)
{
    auto parsed = TRY(Address::parse(settings.callerListen));
    std::unique_ptr<CallerServer> server(new CallerServer(settings, process));
    if (!server->m_server.bind_to_port(parsed.host(), parsed.port()))
        return makeError(ErrorCode::ConnectionFailed, "cannot listen on " + settings.callerListen);
    server->m_thread = std::thread([it = server.get()] { it->m_server.listen_after_bind(); });
    return server;
}

CallerServer::~CallerServer()
{
    m_server.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void CallerServer::setRoutes()
{
    using httplib::Request;
    using httplib::Response;
    m_server.Post("/v1/completions",
                  [this](const Request &in, Response &out) { m_completions.handle(in, out); });
    m_server.Post(R"(/v1/services/([^/]+)/calls)",
                  [this](const Request &in, Response &out) { m_calls.handle(in, out); });
    m_server.Get("/v1/entry-points",
                 [this](const Request &in, Response &out) { answerEntryPoints(in, out); });
    m_server.Get("/healthz", [this](const Request &, Response &out) { answerHealth(out); });
    m_server.Get("/metrics", [this](const Request &, Response &out) {
        out.set_content(m_process.metrics().render(), "text/plain; version=0.0.4");
    });
    m_server.Get("/v1/admin/configuration",
                 [this](const Request &, Response &out) { m_admin.showConfiguration(out); });
    m_server.Post("/v1/admin/changes", [this](const Request &in, Response &out) { m_admin.change(in, out); });
    m_server.Get("/v1/admin/status", [this](const Request &, Response &out) { m_admin.showStatus(out); });
    m_server.Post("/v1/admin/drain", [this](const Request &, Response &out) { m_admin.drain(out); });
}

void CallerServer::answerEntryPoints(const httplib::Request &request, httplib::Response &response)
{
    std::size_t tickets = 0;
    if (request.has_param("tickets")) {
        bool isNumber = absl::SimpleAtoi(request.get_param_value("tickets"), &tickets);
        if (!isNumber || tickets > detail::maxTicketsAtOnce) {
            replyError(response, Error{ErrorCode::InvalidRequest, "tickets must be from 0 to 100"});
            return;
        }
    }
    FailureDomain domain(request.get_param_value("domain"));
    auto answer = m_process.ask<json>([this, domain, tickets](absl::Time now) {
        json points = json::array();
        auto entryPoints = m_process.fleet().members().entryPoints(domain);
        // A stale router takes no new work, so it names itself only when it knows no other.
        if (!m_process.fleet().keeper().isFresh(now) && entryPoints.size() > 1)
            std::erase_if(entryPoints, [this](const EntryPoint &it) { return it.router == m_process.id(); });
        for (const auto &it : entryPoints) {
            points.push_back({{"router", it.router.value()},
                              {"address", it.callerAddress},
                              {"domain", it.domain.value()}});
        }
        json keys = json::array();
        for (std::size_t i = 0; i < tickets; ++i)
            keys.push_back(m_process.ledger().issueTicket(now).value());
        return json{{"entry_points", points},
                    {"lifetime_ms", absl::ToInt64Milliseconds(entryPointLifetime)},
                    {"tickets", keys}};
    });
    if (answer)
        replyJson(response, *answer);
    else
        replyError(response, answer.error());
}

void CallerServer::answerHealth(httplib::Response &response)
{
    switch (m_process.state()) {
    case ServingState::Serving:
        replyJson(response, {{"status", "serving"}});
        return;
    case ServingState::Stale:
        replyJson(response, {{"status", "stale"}}, 503);
        return;
    case ServingState::Draining:
        replyJson(response, {{"status", "draining"}}, 503);
        return;
    }
}

} // namespace Wisteria
