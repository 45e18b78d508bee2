// Changes of the store that are acknowledged as routers are killed or frozen, at routers as processes.

#include "../Platform/FakeHttp.h"
#include "../Platform/FakeStore.h"
#include "../Soak/GatewayProcess.h"

#include <LibCore/Random.h>
#include <LibNet/Compression.h>
#include <LibNet/HttpClient.h>
#include <LibPlatform/MonotonicClock.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <vector>

namespace Wisteria {

namespace detail {

// Time within which a change takes effect; the default of the settings.
constexpr absl::Duration changeDeadline = absl::Seconds(2);
// Only ends a hang.
constexpr absl::Duration patience = absl::Seconds(30);
constexpr absl::Duration callTimeout = absl::Milliseconds(500);
constexpr std::size_t maxAnswerBytes = std::size_t{1} << 20U;
constexpr std::size_t domains = 3;
constexpr std::size_t routersPerDomain = 4;

nlohmann::json configuration(int version, const std::string &key)
{
    return {{"version", version},
            {"routes",
             {{{"name", "book"},
               {"host", "site.example"},
               {"pathPrefix", "/book/"},
               {"kind", "unsafe"},
               {"timeoutMs", 1500},
               {"service", "app"}}}},
            {"services", {{{"name", "app"}}}},
            {"tenants", {{{"name", "w"}, {"apiKeys", {key}}}}}};
}

// What callers and operators see of a router during a round.
struct ObservedRouter
{
    GatewayProcess *process{nullptr};
    // When the first request with the withdrawn key was sent that was refused for the key.
    absl::Time keyRefusedAt{absl::InfiniteFuture()};
    // When the first query was sent whose answer showed the target as leaving.
    absl::Time leavingKnownAt{absl::InfiniteFuture()};
};

} // namespace detail

class TestChangesBesideLostRouters : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestChangesBesideLostRouters);
    CPPUNIT_TEST(changesTakeEffectWhenHalfOfTheRoutersAreKilled);
    CPPUNIT_TEST(changesTakeEffectWhenHalfOfTheRoutersFreeze);
    CPPUNIT_TEST(changesTakeEffectBesideDrawnLosses);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>(1);
        m_store = std::make_unique<FakeStore>(*m_context);
        auto folder = (std::filesystem::temp_directory_path() / "wisteriahold-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
        m_folder = folder;
        putTarget("ready");
        m_store->put("config", "main", detail::configuration(m_version, keyName()));
        for (std::size_t n = 0; n < detail::domains * detail::routersPerDomain; ++n) {
            m_routers.push_back(std::make_unique<GatewayProcess>(
                GatewayPlace{.id = absl::StrCat("g", 100 + n),
                             .domain = absl::StrCat("d", n % detail::domains),
                             .callerAddress = unusedAddress(n),
                             .peerAddress = unusedAddress(n),
                             .storeAddress = m_store->address()},
                absl::StrCat(WISTERIA_BINARIES, "/wisteria-gateway"), m_folder));
            m_routers.back()->start();
        }
        waitUntilAllFollow();
    }

    void tearDown() override
    {
        m_routers.clear();
        m_store.reset();
        m_context.reset();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    // The routers that watch the store have the smallest ids of their domains, and all of them are lost.
    void changesTakeEffectWhenHalfOfTheRoutersAreKilled()
    {
        constexpr int rounds = 2;
        for (int n = 0; n < rounds; ++n)
            checkChanges(firstRouters(m_routers.size() / 2), SIGKILL);
    }

    void changesTakeEffectWhenHalfOfTheRoutersFreeze()
    {
        constexpr int rounds = 2;
        for (int n = 0; n < rounds; ++n)
            checkChanges(firstRouters(m_routers.size() / 2), SIGSTOP);
    }

    void changesTakeEffectBesideDrawnLosses()
    {
        constexpr int rounds = 3;
        SeededRandom random(36);
        for (int n = 0; n < rounds; ++n) {
            auto lost = firstRouters(m_routers.size());
            for (std::size_t it = lost.size() - 1; it > 0; --it)
                std::swap(lost[it], lost[random.below(it + 1)]);
            lost.resize(1 + random.below(m_routers.size() - 1));
            checkChanges(lost, random.below(2) == 0 ? SIGKILL : SIGSTOP);
        }
    }

private:
    [[nodiscard]] std::vector<GatewayProcess *> firstRouters(std::size_t n) const
    {
        std::vector<GatewayProcess *> out;
        for (std::size_t it = 0; it < n; ++it)
            out.push_back(m_routers[it].get());
        return out;
    }

    // At a loopback address of the router's own: at 127.0.0.1, a client of another test may take the port
    // before the router does.
    [[nodiscard]] static std::string unusedAddress(std::size_t router)
    {
        const auto address = unusedLoopbackAddress();
        return absl::StrCat("127.0.36.", router + 1, address.substr(address.find(':')));
    }

    [[nodiscard]] std::string keyName() const { return absl::StrCat("key-", m_version); }

    void putTarget(const std::string &state)
    {
        m_store->put("servers", "app-0",
                     {{"service", "app"},
                      {"address", "127.0.0.1:1"},
                      {"zone", "d0"},
                      {"slots", 4},
                      {"state", state},
                      {"born", 1 + m_version},
                      {"version", "v1"},
                      {"sequence", 1},
                      {"coldRemainingMs", 0}});
    }

    void call(const std::string &address, const std::string &method, const std::string &target,
              const std::string &key, std::function<void(const HttpCallResult &)> handler)
    {
        HttpFields fields;
        fields.set("Host", "site.example");
        fields.set("Request-Id", absl::StrCat("r", ++m_calls));
        fields.set("Deadline-Ms", "1000");
        fields.set("Authorization", "Bearer " + key);
        fields.set("Connection", "close");
        callHttp(*m_context,
                 std::make_shared<HttpClientConnection>(*m_context, *parseEndpoint(address), SocketLimits{}),
                 serializeRequest(method, target, fields, ""), detail::callTimeout, detail::maxAnswerBytes,
                 std::move(handler));
    }

    // Looks at the router until it knows both changes.
    void observe(detail::ObservedRouter &router, const std::string &withdrawnKey)
    {
        const auto sentAt = monotonicNow();
        call(router.process->place().callerAddress, "POST", "/book/1", withdrawnKey,
             [&router, sentAt](const HttpCallResult &result) {
                 constexpr int unauthorized = 401;
                 if (result && result->head.status == unauthorized)
                     router.keyRefusedAt = std::min(router.keyRefusedAt, sentAt);
             });
        call(router.process->place().peerAddress, "GET", "/v1/peer/views/targets/0/0", "",
             [&router, sentAt](const HttpCallResult &result) {
                 if (result && viewHas(*result, "draining"))
                     router.leavingKnownAt = std::min(router.leavingKnownAt, sentAt);
             });
    }

    // The answer is a router's view whose text contains the word.
    [[nodiscard]] static bool viewHas(const HttpResponse &response, const std::string &word)
    {
        const auto text = expandBytes(response.body, detail::maxAnswerBytes);
        return text && text->find(word) != std::string::npos;
    }

    void observeFor(std::vector<detail::ObservedRouter> &routers, const std::string &withdrawnKey,
                    absl::Duration duration)
    {
        constexpr std::chrono::milliseconds interval{25};
        const auto end = monotonicNow() + duration;
        while (monotonicNow() < end) {
            for (auto &it : routers)
                observe(it, withdrawnKey);
            m_context->restart();
            m_context->run_for(interval);
        }
        // Answers to the last calls.
        m_context->restart();
        m_context->run_for(absl::ToChronoMilliseconds(2 * detail::callTimeout));
    }

    void checkChanges(const std::vector<GatewayProcess *> &lost, int signal)
    {
        std::vector<detail::ObservedRouter> left;
        for (const auto &it : m_routers) {
            if (std::find(lost.begin(), lost.end(), it.get()) == lost.end())
                left.push_back({it.get()});
        }
        for (auto *it : lost)
            it->signal(signal);
        const auto withdrawnKey = keyName();
        ++m_version;
        m_store->put("config", "main", detail::configuration(m_version, keyName()));
        putTarget("draining");
        const auto acknowledgedAt = monotonicNow();
        observeFor(left, withdrawnKey, 1.5 * detail::changeDeadline);
        for (const auto &it : left) {
            const auto name =
                absl::StrCat(it.process->place().id, ", ", lost.size(), " others lost by signal ", signal);
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat(name, ": key refused after ",
                                                absl::FormatDuration(it.keyRefusedAt - acknowledgedAt)),
                                   it.keyRefusedAt - acknowledgedAt <= detail::changeDeadline);
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat(name, ": target leaving after ",
                                                absl::FormatDuration(it.leavingKnownAt - acknowledgedAt)),
                                   it.leavingKnownAt - acknowledgedAt <= detail::changeDeadline);
        }
        ++m_version;
        putTarget("ready");
        m_store->put("config", "main", detail::configuration(m_version, keyName()));
        for (auto *it : lost)
            revive(*it, signal);
        waitUntilAllFollow();
    }

    static void revive(GatewayProcess &process, int signal)
    {
        if (signal == SIGSTOP) {
            process.signal(SIGCONT);
            return;
        }
        const auto end = monotonicNow() + detail::patience;
        int exitCode = 0;
        while (!process.hasEnded(exitCode))
            CPPUNIT_ASSERT(monotonicNow() < end);
        process.start();
    }

    // Returns once all routers know the current key and have heard of each other since they were started.
    void waitUntilAllFollow()
    {
        constexpr std::chrono::milliseconds interval{50};
        // Longer than the time after which routers count as dead.
        constexpr std::chrono::seconds settlingTime{3};
        const auto end = monotonicNow() + detail::patience;
        const auto follows = std::make_shared<std::vector<bool>>(m_routers.size());
        while (std::find(follows->begin(), follows->end(), false) != follows->end()) {
            for (std::size_t n = 0; n < m_routers.size(); ++n) {
                const auto &id = m_routers[n]->place().id;
                int exitCode = 0;
                CPPUNIT_ASSERT_MESSAGE(id + " has ended", !m_routers[n]->hasEnded(exitCode));
                CPPUNIT_ASSERT_MESSAGE(id + " does not follow", (*follows)[n] || monotonicNow() < end);
                call(m_routers[n]->place().peerAddress, "GET", "/v1/peer/views/configuration/0/0", "",
                     [follows, n, key = keyName()](const HttpCallResult &result) {
                         (*follows)[n] = (*follows)[n] || (result && viewHas(*result, key));
                     });
            }
            m_context->restart();
            m_context->run_for(interval);
        }
        m_context->restart();
        m_context->run_for(settlingTime);
    }

    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<FakeStore> m_store;
    std::string m_folder;
    std::vector<std::unique_ptr<GatewayProcess>> m_routers;
    int m_version{1};
    int m_calls{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChangesBesideLostRouters);

} // namespace Wisteria
