// Daemons that get a signal before their start is complete.

#include <LibCore/Verify.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Wisteria {

namespace detail {

// Only ends a hang.
constexpr std::chrono::seconds patience{60};
constexpr std::chrono::milliseconds pollInterval{5};

// A daemon whose settings file is a pipe: its start waits for provideSettings().
class StartingDaemon
{
public:
    explicit StartingDaemon(const std::string &binary);
    ~StartingDaemon();
    StartingDaemon(const StartingDaemon &) = delete;
    StartingDaemon &operator=(const StartingDaemon &) = delete;

    // Returns once the daemon is in its main() and reads the settings.
    void waitUntilItReadsSettings();
    // Later reads find the same text in a plain file.
    void provideSettings(const std::string &text);
    void signal(int number) const { ::kill(m_pid, number); }
    // "exit N" or "signal N".
    std::string waitForEnd();
    [[nodiscard]] std::string log() const;

private:
    [[nodiscard]] std::string file(const std::string &name) const
    {
        return absl::StrCat(m_folder, "/", name);
    }

    std::string m_folder;
    pid_t m_pid{0};
    // The writing end of the pipe; negative while it isn't open.
    int m_pipe{-1};
};

StartingDaemon::StartingDaemon(const std::string &binary)
{
    auto folder = (std::filesystem::temp_directory_path() / "wisteriahold-XXXXXX").string();
    VERIFY(mkdtemp(folder.data()) != nullptr);
    m_folder = folder;
    constexpr int mode = 0600;
    auto settings = file("settings.toml");
    VERIFY(mkfifo(settings.c_str(), mode) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, file("log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    auto program = absl::StrCat(WISTERIA_BINARIES, "/", binary);
    std::string option = "--config";
    const std::array<char *, 4> arguments{program.data(), option.data(), settings.data(), nullptr};
    const int failed = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    VERIFY(failed == 0);
}

StartingDaemon::~StartingDaemon()
{
    if (m_pipe >= 0)
        ::close(m_pipe);
    if (m_pid != 0) {
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void StartingDaemon::waitUntilItReadsSettings()
{
    const auto limit = std::chrono::steady_clock::now() + patience;
    // Without a reader, the opening fails at once.
    while ((m_pipe = ::open(file("settings.toml").c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) < 0) {
        CPPUNIT_ASSERT_MESSAGE(log(), std::chrono::steady_clock::now() < limit);
        std::this_thread::sleep_for(pollInterval);
    }
}

void StartingDaemon::provideSettings(const std::string &text)
{
    std::ofstream(file("settings.new")) << text;
    std::filesystem::rename(file("settings.new"), file("settings.toml"));
    // A daemon that has ended reads nothing; its end is what the test looks at.
    std::signal(SIGPIPE, SIG_IGN);
    [[maybe_unused]] const auto written = ::write(m_pipe, text.data(), text.size());
    ::close(m_pipe);
    m_pipe = -1;
}

std::string StartingDaemon::waitForEnd()
{
    const auto limit = std::chrono::steady_clock::now() + patience;
    int status = 0;
    while (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        CPPUNIT_ASSERT_MESSAGE("still runs: " + log(), std::chrono::steady_clock::now() < limit);
        std::this_thread::sleep_for(pollInterval);
    }
    m_pid = 0;
    return WIFEXITED(status) ? absl::StrCat("exit ", WEXITSTATUS(status))
                             : absl::StrCat("signal ", WTERMSIG(status));
}

std::string StartingDaemon::log() const
{
    std::ifstream in(file("log"));
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

// Port 1 of the loopback address has no listener: none of the daemons needs its store to start.
constexpr auto gatewaySettings = R"(id = "g1"
domain = "d1"
stop_grace_s = 1
[listen]
callers = "127.0.0.1:0"
entry_points = "127.0.0.1:0"
readiness = "127.0.0.1:0"
peers = "127.0.0.1:0"
[store]
address = "127.0.0.1:1"
)";
constexpr auto routerSettings = R"(id = "r1"
domain = "d1"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
object_api = "127.0.0.1:1"
vm_list = "127.0.0.1:1"
)";
constexpr auto placerSettings = R"(id = "p1"
domain = "d1"
[platform]
object_api = "127.0.0.1:1"
)";

} // namespace detail

class TestSignalsAtStart : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSignalsAtStart);
    CPPUNIT_TEST(gatewayOutlivesHangUp);
    CPPUNIT_TEST(routerOutlivesHangUp);
    CPPUNIT_TEST(placerOutlivesHangUp);
    CPPUNIT_TEST(gatewayStopsAsPlanned);
    CPPUNIT_TEST(routerStopsAsPlanned);
    CPPUNIT_TEST(placerStopsAsPlanned);
    CPPUNIT_TEST_SUITE_END();

public:
    // The settings are taken anew once the start is complete: the signal isn't lost either.
    void gatewayOutlivesHangUp()
    {
        const auto log = checkOutlivesHangUp("wisteria-gateway", detail::gatewaySettings);
        CPPUNIT_ASSERT_MESSAGE(log, log.find("reloaded") != std::string::npos);
    }
    void routerOutlivesHangUp() { checkOutlivesHangUp("wisteria-router", detail::routerSettings); }
    void placerOutlivesHangUp() { checkOutlivesHangUp("wisteria-placer", detail::placerSettings); }
    void gatewayStopsAsPlanned() { checkStopsAsPlanned("wisteria-gateway", detail::gatewaySettings); }
    void routerStopsAsPlanned() { checkStopsAsPlanned("wisteria-router", detail::routerSettings); }
    void placerStopsAsPlanned() { checkStopsAsPlanned("wisteria-placer", detail::placerSettings); }

private:
    static std::string checkOutlivesHangUp(const std::string &binary, const std::string &settings)
    {
        detail::StartingDaemon daemon(binary);
        daemon.waitUntilItReadsSettings();
        daemon.signal(SIGHUP);
        daemon.provideSettings(settings);
        daemon.signal(SIGTERM);
        const auto end = daemon.waitForEnd();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(daemon.log(), std::string("exit 0"), end);
        return daemon.log();
    }

    static void checkStopsAsPlanned(const std::string &binary, const std::string &settings)
    {
        detail::StartingDaemon daemon(binary);
        daemon.waitUntilItReadsSettings();
        daemon.signal(SIGTERM);
        daemon.provideSettings(settings);
        const auto end = daemon.waitForEnd();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(daemon.log(), std::string("exit 0"), end);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSignalsAtStart);

} // namespace Wisteria
