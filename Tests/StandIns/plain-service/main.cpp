// Stand-in for a plain service that counts how often each call ran.

#include <StandIns/common/StandIn.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>

namespace Wisteria::StandIns {

enum class CallFate { Answer, DropAfterRun, DropBeforeRun };

class RunCounter
{
public:
    [[nodiscard]] CallFate nextFate()
    {
        absl::MutexLock lock(&m_mutex);
        if (m_dropsBeforeRun > 0) {
            --m_dropsBeforeRun;
            return CallFate::DropBeforeRun;
        }
        if (m_dropsAfterRun > 0) {
            --m_dropsAfterRun;
            return CallFate::DropAfterRun;
        }
        return CallFate::Answer;
    }

    // Counts one run and returns how often the operation ran so far.
    std::uint64_t run(const std::string &operation, const std::string &key)
    {
        absl::MutexLock lock(&m_mutex);
        if (!key.empty())
            ++m_byKey[key];
        return ++m_byOperation[operation];
    }

    // False for an unknown fault.
    [[nodiscard]] bool setFault(const Json &fault)
    {
        absl::MutexLock lock(&m_mutex);
        auto kind = fault.value("kind", "");
        if (kind == "drop_after_run") {
            m_dropsAfterRun = fault.value("count", 1);
        } else if (kind == "drop_before_run") {
            m_dropsBeforeRun = fault.value("count", 1);
        } else if (kind == "delay") {
            m_delay = absl::Milliseconds(fault.value("ms", 0));
        } else if (kind == "none") {
            m_dropsAfterRun = 0;
            m_dropsBeforeRun = 0;
            m_delay = absl::ZeroDuration();
        } else {
            return false;
        }
        return true;
    }

    [[nodiscard]] absl::Duration delay() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_delay;
    }

    [[nodiscard]] Json toJson() const
    {
        absl::MutexLock lock(&m_mutex);
        return {{"by_key", m_byKey}, {"by_operation", m_byOperation}};
    }

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, std::uint64_t> m_byKey ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::uint64_t> m_byOperation ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_dropsAfterRun ABSL_GUARDED_BY(m_mutex){0};
    std::uint64_t m_dropsBeforeRun ABSL_GUARDED_BY(m_mutex){0};
    absl::Duration m_delay ABSL_GUARDED_BY(m_mutex){absl::ZeroDuration()};
};

void handleCall(RunCounter &counter, const httplib::Request &request, httplib::Response &response)
{
    auto json = readObject(request, response);
    if (!json)
        return;
    auto operation = json->find("operation");
    if (operation == json->end() || !operation->is_string())
        return answerError(response, statusBadRequest, "operation is missing");
    absl::SleepFor(counter.delay());
    auto fate = counter.nextFate();
    if (fate == CallFate::DropBeforeRun)
        return closeConnection(request);
    auto n = counter.run(operation->get<std::string>(), request.get_header_value("Idempotency-Key"));
    if (fate == CallFate::DropAfterRun)
        return closeConnection(request);
    answer(response, statusOk, {{"operation", *operation}, {"run", n}});
}

int run(int argc, char **argv)
{
    cxxopts::Options options("standin-plain-service", "Stand-in for a plain service");
    auto arguments = parseArguments(options, argc, argv);
    RunCounter counter;
    httplib::Server server;
    server.Post("/v1/calls",
                [&](const auto &request, auto &response) { handleCall(counter, request, response); });
    server.Post("/standin/fault", [&](const auto &request, auto &response) {
        auto json = readObject(request, response);
        if (json && !counter.setFault(*json))
            answerError(response, statusBadRequest, "unknown fault");
    });
    server.Get("/standin/runs",
               [&](const auto &, auto &response) { answer(response, statusOk, counter.toJson()); });
    return serve(server, arguments);
}

} // namespace Wisteria::StandIns

int main(int argc, char **argv)
{
    return Wisteria::StandIns::runGuarded(Wisteria::StandIns::run, argc, argv);
}
