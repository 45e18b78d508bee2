// Routers as processes that are told to stop and killed at the end of their grace period, while callers send
// requests of all kinds at drawn moments. A request that was sent after the signal and passed on gets its
// whole answer. WISTERIA_SEED=N replays one seed.

#include "../Platform/FakeHttp.h"
#include "../Platform/FakeStore.h"
#include "../Soak/GatewayProcess.h"

#include <LibCore/Random.h>
#include <LibNet/HttpClient.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Wisteria {

namespace detail {

// Only ends a hang.
constexpr absl::Duration patience = absl::Seconds(30);
// A request that no target has got may lose its connection for so long after its last byte.
constexpr absl::Duration unreadRequestTime = absl::Milliseconds(200);

nlohmann::json route(const std::string &name, const std::string &kind, int timeoutMs)
{
    return {{"name", name},
            {"host", "site.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"resumable", name == "stream"},
            {"timeoutMs", timeoutMs},
            {"targetLatencyMs", 200},
            {"gapAimMs", 300},
            {"maxAttempts", kind == "unsafe" ? 1 : 3},
            {"service", "app"}};
}

nlohmann::json configuration(int version, int timeoutMs)
{
    return {{"version", version},
            {"routes",
             {route("book", "unsafe", timeoutMs), route("look", "safe", timeoutMs),
              route("stream", "stream", timeoutMs), route("once", "stream", timeoutMs)}},
            {"services", {{{"name", "app"}}}}};
}

// Answers after the time that the request asks for, also if that is more than the request's time limit.
class WorkingTarget final : private HttpRequestHandler
{
public:
    explicit WorkingTarget(boost::asio::io_context &context)
        : m_context(context), m_address(unusedLoopbackAddress())
    {
        auto server = HttpServer::create(context, *Address::parse(m_address), *this, {});
        CPPUNIT_ASSERT(server);
        m_server = std::move(*server);
    }

    [[nodiscard]] const std::string &address() const { return m_address; }
    [[nodiscard]] bool hasRun(const std::string &id) const { return m_runs.contains(id); }

private:
    void handleRequest(const std::shared_ptr<HttpServerConnection> &connection, HttpRequest request) override
    {
        const std::string id(fieldValue(request, "Request-Id"));
        ++m_runs[id];
        auto timer = std::make_shared<boost::asio::steady_timer>(
            m_context, std::chrono::milliseconds(parseNumber(std::string(fieldValue(request, "Work-Ms")))));
        timer->async_wait([timer, connection, id](const auto &) {
            auto response = makeResponse(200, "text/plain", "answer of " + id);
            response.head.fields.set("Request-Id", id);
            response.head.fields.set("Engine-Seal", "seal");
            connection->respond(response);
        });
    }

    boost::asio::io_context &m_context;
    std::string m_address;
    std::map<std::string, int> m_runs;
    std::unique_ptr<HttpServer> m_server;
};

// What is drawn of a request. Times count from the signal to stop.
struct RequestPlan
{
    std::string id;
    std::string route;
    std::optional<std::chrono::milliseconds> timeout;
    std::chrono::milliseconds work;
    absl::Duration connectAt;
    // The first half is sent here, the rest later.
    absl::Duration beginAt;
    absl::Duration endAt;
};

// One request on a connection of its own, and all that comes back.
class PlannedRequest
{
public:
    PlannedRequest(boost::asio::io_context &context, RequestPlan plan)
        : m_plan(std::move(plan)), m_socket(context), m_timer(context)
    {
    }

    void start(const std::string &address, absl::Time signalAt)
    {
        m_signalAt = signalAt;
        at(m_plan.connectAt, [this, address] {
            m_socket.async_connect(*parseEndpoint(address), [this](const auto &ec) {
                if (ec) {
                    m_endedAt = monotonicNow();
                    return;
                }
                receive();
                at(m_plan.beginAt, [this] { sendHalf(Half::First); });
            });
        });
    }

    [[nodiscard]] const RequestPlan &plan() const { return m_plan; }
    [[nodiscard]] bool hasEnded() const { return m_endedAt.has_value(); }
    // Infinite if it was never sent as a whole.
    [[nodiscard]] absl::Time sentAt() const { return m_sentAt; }
    [[nodiscard]] absl::Time endedAt() const { return *m_endedAt; }
    // Zero without a whole answer.
    [[nodiscard]] int status() const
    {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.eager(true);
        boost::system::error_code ec;
        std::string_view left = m_answer;
        while (!ec && !left.empty() && !parser.is_done())
            left.remove_prefix(parser.put(boost::asio::buffer(left), ec));
        return parser.is_done() ? static_cast<int>(parser.get().result_int()) : 0;
    }
    [[nodiscard]] std::string describe() const
    {
        return absl::StrCat(
            m_plan.id, " ", m_plan.route, " limit ", m_plan.timeout ? m_plan.timeout->count() : -1, " work ",
            m_plan.work.count(), " begun ", absl::FormatDuration(m_plan.beginAt), " sent ",
            absl::FormatDuration(m_sentAt - m_signalAt), " ended ",
            absl::FormatDuration(m_endedAt.value_or(absl::InfiniteFuture()) - m_signalAt), ": ", m_answer);
    }

private:
    enum class Half { First, Second };

    template <typename Function>
    void at(absl::Duration elapsed, Function function)
    {
        m_timer.expires_after(
            absl::ToChronoNanoseconds(std::max(m_signalAt + elapsed - monotonicNow(), absl::ZeroDuration())));
        m_timer.async_wait([function](const auto &ec) {
            if (!ec)
                function();
        });
    }

    [[nodiscard]] std::string text() const
    {
        return absl::StrCat("POST /", m_plan.route,
                            "/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: ", m_plan.id,
                            "\r\nToken-Counts: 10,10\r\nWork-Ms: ", m_plan.work.count(),
                            m_plan.timeout ? absl::StrCat("\r\nDeadline-Ms: ", m_plan.timeout->count()) : "",
                            "\r\nContent-Length: 4\r\n\r\nbody");
    }

    void sendHalf(Half half)
    {
        if (hasEnded())
            return;
        const auto bytes = text();
        const auto cut = bytes.size() - 2;
        boost::system::error_code ec;
        boost::asio::write(
            m_socket, boost::asio::buffer(half == Half::First ? bytes.substr(0, cut) : bytes.substr(cut)),
            ec);
        if (half == Half::First)
            at(m_plan.endAt, [this] { sendHalf(Half::Second); });
        else if (!ec)
            m_sentAt = monotonicNow();
    }

    void receive()
    {
        boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(m_answer),
                                [this](const auto &, std::size_t) {
                                    m_endedAt = monotonicNow();
                                    m_timer.cancel();
                                });
    }

    RequestPlan m_plan;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    absl::Time m_signalAt;
    std::string m_answer;
    absl::Time m_sentAt{absl::InfiniteFuture()};
    std::optional<absl::Time> m_endedAt;
};

} // namespace detail

class TestRequestsCutByAKill : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestsCutByAKill);
    CPPUNIT_TEST(stopsWithoutOtherSignals);
    CPPUNIT_TEST(stopsBesideOtherSignals);
    CPPUNIT_TEST(stopsBesideHeldUpLoops);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>(1);
        m_store = std::make_unique<FakeStore>(*m_context);
        m_target = std::make_unique<detail::WorkingTarget>(*m_context);
        auto folder = (std::filesystem::temp_directory_path() / "wisteriahold-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
        m_folder = folder;
        m_store->put("servers", "app-0",
                     {{"service", "app"},
                      {"address", m_target->address()},
                      {"zone", "d0"},
                      {"slots", 200},
                      {"state", "ready"},
                      {"born", 1},
                      {"version", "v1"},
                      {"sequence", 1},
                      {"coldRemainingMs", 0}});
    }

    void tearDown() override
    {
        m_rounds.clear();
        m_target.reset();
        m_store.reset();
        m_context.reset();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    void stopsWithoutOtherSignals()
    {
        checkSeeds([](Round &, SeededRandom &) {});
    }

    // A second signal to stop, reloads with another grace, and a configuration with longer timeouts.
    void stopsBesideOtherSignals()
    {
        checkSeeds([this](Round &round, SeededRandom &random) {
            at(round, random.fraction() * round.grace, [&round] { round.process->signal(SIGTERM); });
            const auto reloadAt = random.fraction() * round.grace;
            const double otherGraceS = random.below(2) == 0 ? 0.5 : 30;
            at(round, reloadAt, [this, &round, otherGraceS] {
                writeSettings(round, otherGraceS);
                round.process->signal(SIGHUP);
            });
            at(round, random.fraction() * round.grace, [this] {
                constexpr int longTimeoutMs = 60000;
                m_store->put("config", "main", detail::configuration(++m_version, longTimeoutMs));
            });
        });
    }

    // The process gets no processor for a while, as on a machine that is busy.
    void stopsBesideHeldUpLoops()
    {
        checkSeeds([this](Round &round, SeededRandom &random) {
            constexpr absl::Duration holdUp = absl::Milliseconds(300);
            // Beside the signal, late in the grace, or anywhere.
            const auto draw = random.below(3);
            const auto from = draw == 0 ? -absl::Milliseconds(20)
                : draw == 1             ? round.grace - absl::Milliseconds(600)
                                        : random.fraction() * (round.grace - holdUp);
            at(round, from, [&round] { round.process->signal(SIGSTOP); });
            at(round, from + holdUp, [&round] { round.process->signal(SIGCONT); });
        });
    }

private:
    // The life of one router from just before its signal to its end.
    struct Round
    {
        std::unique_ptr<GatewayProcess> process;
        absl::Duration grace;
        absl::Time signalAt;
        std::vector<std::unique_ptr<detail::PlannedRequest>> requests;
        std::vector<std::unique_ptr<boost::asio::steady_timer>> timers;
    };
    using Disturbances = std::function<void(Round &, SeededRandom &)>;

    static constexpr int requestsPerRound = 120;
    // From the start of the drawn requests to the signal.
    static constexpr absl::Duration lead = absl::Milliseconds(400);

    void checkSeeds(const Disturbances &disturb)
    {
        const char *replayed = std::getenv("WISTERIA_SEED");
        std::vector<std::uint64_t> seeds{1, 2, 3, 4};
        if (replayed)
            seeds = {std::strtoull(replayed, nullptr, 10)};
        m_store->put("config", "main", detail::configuration(++m_version, 3000));
        // All at once: their requests share the event loop but not their routers.
        for (const auto seed : seeds)
            prepare(seed);
        waitUntilReady();
        for (std::size_t n = 0; n < seeds.size(); ++n)
            start(*m_rounds[n], seeds[n], disturb);
        const auto end = monotonicNow() + detail::patience;
        while (!std::all_of(m_rounds.begin(), m_rounds.end(), [](const auto &it) { return hasEnded(*it); })) {
            CPPUNIT_ASSERT_MESSAGE(describeOpen(), monotonicNow() < end);
            run(std::chrono::milliseconds(20));
        }
        for (std::size_t n = 0; n < seeds.size(); ++n)
            check(*m_rounds[n], absl::StrCat("WISTERIA_SEED=", seeds[n], " "));
    }

    // At a loopback address of the router's own: at 127.0.0.1, a client of another test may take the port
    // before the router does.
    [[nodiscard]] std::string unusedAddress() const
    {
        const auto address = unusedLoopbackAddress();
        return absl::StrCat("127.0.39.", m_rounds.size() + 1, address.substr(address.find(':')));
    }

    void prepare(std::uint64_t seed)
    {
        auto round = std::make_unique<Round>();
        constexpr std::array<double, 4> gracesS{1, 2, 3, 4};
        round->grace = absl::Seconds(gracesS[seed % gracesS.size()]);
        round->process =
            std::make_unique<GatewayProcess>(GatewayPlace{.id = absl::StrCat("g", seed),
                                                          .domain = "d0",
                                                          .callerAddress = unusedLoopbackAddress(),
                                                          .peerAddress = unusedLoopbackAddress(),
                                                          .storeAddress = m_store->address()},
                                             absl::StrCat(WISTERIA_BINARIES, "/wisteria-gateway"), m_folder);
        writeSettings(*round, absl::ToDoubleSeconds(round->grace));
        round->process->start();
        m_rounds.push_back(std::move(round));
    }

    static void writeSettings(Round &round, double graceS)
    {
        constexpr double entryPointLifetimeS = 2;
        round.process->writeSettings(entryPointLifetimeS, graceS);
    }

    void run(std::chrono::milliseconds duration)
    {
        m_context->restart();
        m_context->run_for(duration);
    }

    void waitUntilReady()
    {
        const auto end = monotonicNow() + detail::patience;
        for (const auto &it : m_rounds) {
            const auto isReady = std::make_shared<bool>(false);
            while (!*isReady) {
                int exitCode = 0;
                CPPUNIT_ASSERT_MESSAGE("a router ended at its start", !it->process->hasEnded(exitCode));
                CPPUNIT_ASSERT_MESSAGE("a router does not get ready", monotonicNow() < end);
                HttpFields fields;
                fields.set("Host", "site.example");
                callHttp(*m_context,
                         std::make_shared<HttpClientConnection>(
                             *m_context, *parseEndpoint(it->process->place().callerAddress), SocketLimits{}),
                         serializeRequest("GET", "/-/ready", fields, ""), absl::Seconds(1),
                         std::size_t{1} << 16U, [isReady](const HttpCallResult &result) {
                             *isReady = *isReady || (result && result->head.status == 200);
                         });
                run(std::chrono::milliseconds(50));
            }
        }
    }

    template <typename Function>
    void at(Round &round, absl::Duration elapsed, Function function)
    {
        round.timers.push_back(std::make_unique<boost::asio::steady_timer>(
            *m_context, absl::ToChronoNanoseconds(round.signalAt + elapsed - monotonicNow())));
        round.timers.back()->async_wait([function](const auto &ec) {
            if (!ec)
                function();
        });
    }

    detail::RequestPlan draw(const Round &round, const std::string &id, SeededRandom &random)
    {
        constexpr std::array<const char *, 6> routes{"book", "book", "book", "look", "stream", "once"};
        constexpr std::array<int, 7> timeoutsMs{50, 200, 400, 800, 1500, 2500, 10000};
        detail::RequestPlan out;
        out.id = id;
        out.route = routes[random.below(routes.size())];
        const auto timeoutMs = timeoutsMs[random.below(timeoutsMs.size())];
        if (random.below(8) > 0)
            out.timeout = std::chrono::milliseconds(timeoutMs);
        // Some of the targets' work takes longer than the request's time.
        out.work =
            std::chrono::milliseconds(static_cast<int>(random.fraction() * 1.4 * std::min(timeoutMs, 3000)));
        out.endAt = random.fraction() * (round.grace + lead) - lead;
        const bool isHalfSent = random.below(3) == 0;
        out.beginAt = isHalfSent ? out.endAt - random.fraction() * absl::Seconds(2) : out.endAt;
        const bool isOnOpenConnection = random.below(2) == 0;
        out.connectAt = isOnOpenConnection ? out.beginAt - random.fraction() * absl::Seconds(1) : out.beginAt;
        return out;
    }

    void start(Round &round, std::uint64_t seed, const Disturbances &disturb)
    {
        SeededRandom random(seed);
        round.signalAt = monotonicNow() + absl::Seconds(1) + lead;
        for (int n = 0; n < requestsPerRound; ++n) {
            round.requests.push_back(std::make_unique<detail::PlannedRequest>(
                *m_context, draw(round, absl::StrCat("s", seed, "-", n), random)));
            round.requests.back()->start(round.process->place().callerAddress, round.signalAt);
        }
        at(round, absl::ZeroDuration(), [&round] { round.process->signal(SIGTERM); });
        at(round, round.grace, [&round] { round.process->signal(SIGKILL); });
        disturb(round, random);
    }

    static bool hasEnded(Round &round)
    {
        int exitCode = 0;
        (void)round.process->hasEnded(exitCode);
        return !round.process->isRunning()
            && std::all_of(round.requests.begin(), round.requests.end(),
                           [](const auto &it) { return it->hasEnded(); });
    }

    [[nodiscard]] std::string describeOpen() const
    {
        std::string out = "still open:";
        for (const auto &round : m_rounds) {
            absl::StrAppend(&out, "\n", round->process->place().id,
                            round->process->isRunning() ? " runs" : " has ended");
            for (const auto &it : round->requests) {
                if (!it->hasEnded())
                    absl::StrAppend(&out, "\n", it->describe());
            }
        }
        return out;
    }

    // The target answers, or the request's time ends, in the first half of the grace.
    static bool endsEarly(const Round &round, const detail::PlannedRequest &request)
    {
        const auto &plan = request.plan();
        const auto duration = std::min(plan.work, plan.timeout.value_or(plan.work));
        return request.sentAt() + absl::FromChrono(duration) < round.signalAt + round.grace / 2;
    }

    void check(const Round &round, const std::string &seed) const
    {
        // Before it, the process may not have noticed the signal.
        constexpr absl::Duration noticeTime = absl::Milliseconds(350);
        int answered = 0;
        int refused = 0;
        for (const auto &it : round.requests) {
            const int status = it->status();
            const bool hasRun = m_target->hasRun(it->plan().id);
            answered += status == 200 ? 1 : 0;
            refused += status == 503 ? 1 : 0;
            const auto message =
                absl::StrCat(seed, hasRun ? "passed on: " : "not passed on: ", it->describe());
            CPPUNIT_ASSERT_MESSAGE(message, !hasRun || status != 503);
            const bool isLate = it->sentAt() >= round.signalAt + noticeTime;
            if (it->sentAt() == absl::InfiniteFuture() || (!isLate && !endsEarly(round, *it)))
                continue;
            // Only targets that take longer than the request's time make it fail.
            if (hasRun)
                CPPUNIT_ASSERT_MESSAGE(message, status == 200 || status == 504);
            else if (status == 0)
                CPPUNIT_ASSERT_MESSAGE(message, it->endedAt() - it->sentAt() <= detail::unreadRequestTime);
        }
        CPPUNIT_ASSERT_MESSAGE(seed, answered > 0 && refused > 0);
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<detail::WorkingTarget> m_target;
    std::string m_folder;
    std::vector<std::unique_ptr<Round>> m_rounds;
    int m_version{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestsCutByAKill);

} // namespace Wisteria
