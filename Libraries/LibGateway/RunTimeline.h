// Reconstructs the runs of one request from the log lines of gateways: when each run was sent, was accepted,
// made its first event and ended, and for how long two of them overlapped.

#pragma once

#include <LibForwarding/ForwardedRequest.h>

#include <absl/time/time.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

struct GatewayLogLine
{
    std::string process;
    // Seconds since the Unix epoch if the process's `started` line was read, since the boot of its machine
    // otherwise.
    double at{0};
    bool isWallClock{false};
    nlohmann::json fields;
};

class RunTimeline
{
public:
    // Takes lines of one request, those of one process in order.
    void addLine(const GatewayLogLine &);
    // One line per run and per overlap of two runs; empty if no run is known. `begin` is the time that the
    // output counts from, in seconds like the lines' times.
    [[nodiscard]] std::string render(double begin) const;

private:
    enum class EndKnowledge {
        Missing,
        // The run had ended by then.
        Latest,
        Exact,
    };

    struct Run
    {
        std::size_t session;
        int number;
        std::string target;
        // Target of the run beside which it was started; empty if it was started alone, or was adopted.
        std::string replaces;
        bool isFromCopy{false};
        bool isWallClock{false};
        bool isAttemptLogged{true};
        absl::Time sentAt;
        std::optional<absl::Time> acceptedAt;
        std::optional<absl::Time> firstEventAt;
        std::optional<std::int64_t> events;
        EndKnowledge endKnowledge{EndKnowledge::Missing};
        // Unset if the end is missing.
        absl::Time endedAt;
        std::string endReason;
        bool isEndLogged{false};
        // The answer to the request to stop that was sent after the end; empty if none was logged.
        std::string stopOutcome;
        // When the target, which had still been at work, stopped.
        std::optional<absl::Time> stoppedAt;
    };

    // A request as one router serves it. The same id can come again, to any router.
    struct Session
    {
        std::string process;
        bool isFinished{false};
    };

    void addAttempt(const GatewayLogLine &);
    void addRunEnd(const GatewayLogLine &);
    void addLostAttempt(const GatewayLogLine &);
    void addAdoption(const GatewayLogLine &);
    void addCancellation(const GatewayLogLine &);
    void addFirstEvent(const GatewayLogLine &);
    void addAbandonedRun(const GatewayLogLine &);
    void addRequestEnd(const GatewayLogLine &);

    // The latest session of the process, or a new one if that has finished.
    [[nodiscard]] std::size_t openSession(const std::string &process);
    // The session that an attempt with this number belongs to.
    [[nodiscard]] std::size_t sessionOfAttempt(const std::string &process, int number);
    // The latest run of the process on the target.
    [[nodiscard]] Run *findRun(const GatewayLogLine &, const std::string &target);
    // When the target ended its work on the run, as far as is known.
    [[nodiscard]] static absl::Time endOfWork(const Run &);
    // Has no effect on a run whose end is known.
    static void endRun(Run *, const GatewayLogLine &, EndKnowledge, std::string_view reason);
    [[nodiscard]] const std::string &processOf(const Run &run) const
    {
        return m_sessions[run.session].process;
    }
    [[nodiscard]] bool areComparable(const Run &, const Run &) const;
    [[nodiscard]] std::string renderRun(const Run &, absl::Time begin) const;
    // Empty if the runs didn't overlap.
    [[nodiscard]] static std::string renderOverlap(const Run &, const Run &, absl::Time begin);
    [[nodiscard]] std::string renderOverlaps(absl::Time begin) const;
    [[nodiscard]] std::string renderNotes() const;

    std::vector<Session> m_sessions;
    // In the order of the lines that name them first.
    std::vector<Run> m_runs;
};

} // namespace Wisteria
