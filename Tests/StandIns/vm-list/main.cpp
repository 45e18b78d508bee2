// Stand-in for the platform's VM list, which shows each change some time after it happened.

#include <StandIns/common/StandIn.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>

namespace Wisteria::StandIns {

class LaggingList
{
public:
    explicit LaggingList(absl::Duration lag) : m_lag(lag) { }

    void put(Json vms)
    {
        absl::MutexLock lock(&m_mutex);
        m_changes.push_back({absl::Now() + m_lag, std::move(vms)});
    }

    [[nodiscard]] Json shown()
    {
        absl::MutexLock lock(&m_mutex);
        while (!m_changes.empty() && m_changes.front().visibleAt <= absl::Now()) {
            m_shown = std::move(m_changes.front().vms);
            m_changes.pop_front();
        }
        return m_shown;
    }

private:
    struct Change
    {
        absl::Time visibleAt;
        Json vms;
    };

    const absl::Duration m_lag;
    absl::Mutex m_mutex;
    // Invariant: ordered by visibleAt.
    std::deque<Change> m_changes ABSL_GUARDED_BY(m_mutex);
    Json m_shown ABSL_GUARDED_BY(m_mutex) = Json::array();
};

bool isVm(const Json &vm)
{
    if (!vm.is_object() || !vm.contains("target") || !vm["target"].is_string() || !vm.contains("address")
        || !vm["address"].is_string())
        return false;
    return vm.contains("state") && (vm["state"] == "live" || vm["state"] == "leaving");
}

void handlePut(LaggingList &list, const httplib::Request &request, httplib::Response &response)
{
    auto json = readObject(request, response);
    if (!json)
        return;
    auto vms = json->value("vms", Json());
    if (!vms.is_array() || !std::all_of(vms.begin(), vms.end(), isVm))
        return answerError(response, statusBadRequest, "vms must be a list of target, address and state");
    list.put(std::move(vms));
}

int run(int argc, char **argv)
{
    cxxopts::Options options("standin-vm-list", "Stand-in for the platform's list of VMs");
    options.add_options()("lag-ms", "how much later each change shows",
                          cxxopts::value<double>()->default_value("0"));
    auto arguments = parseArguments(options, argc, argv);
    LaggingList list(milliseconds(arguments, "lag-ms"));
    httplib::Server server;
    server.Put("/standin/vms",
               [&](const auto &request, auto &response) { handlePut(list, request, response); });
    server.Get("/v1/vms", [&](const auto &, auto &response) {
        answer(response, statusOk, {{"vms", list.shown()}});
    });
    return serve(server, arguments);
}

} // namespace Wisteria::StandIns

int main(int argc, char **argv)
{
    return Wisteria::StandIns::runGuarded(Wisteria::StandIns::run, argc, argv);
}
