// Keeps what targets said of themselves in their answers: that they leave, and until when they want no
// requests.
//
// A notice holds for one process of a target. It outlives the target's removal from the directory, since an
// entry may expire, or be restored from an older copy, while the process still runs.
//
// A target that backs off still takes a few requests from each router. They are kept for what can't wait for
// the end of that time: requests to stop a run that goes on elsewhere.

#pragma once

#include <LibCore/Ids.h>
#include <LibForwarding/RequestRate.h>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

// One process of a target.
struct TargetProcess
{
    TargetId id;
    // Start of the process in Unix milliseconds; zero if unknown.
    std::int64_t startedAtMs{0};
    // "IP:port"; empty if unknown.
    std::string address;

    // Processes without a known start are told apart by their address. One without either may be any of the
    // target's.
    [[nodiscard]] bool isLaterThan(const TargetProcess &other) const
    {
        if (startedAtMs != 0 && other.startedAtMs != 0)
            return startedAtMs > other.startedAtMs;
        return !other.address.empty() && address != other.address;
    }
    // For processes of two targets at one address. Those without a known start follow each other as they are
    // listed; one with the same start is a copy of the entry.
    [[nodiscard]] bool isLaterStart(const TargetProcess &other) const
    {
        return startedAtMs > other.startedAtMs || (startedAtMs == 0 && other.startedAtMs == 0);
    }
    bool operator==(const TargetProcess &) const = default;
};

// What a target says of itself in the head of an answer.
struct TargetNotice
{
    bool isLeaving{false};
    // Set if the target rejected the request and wants no further ones for this long.
    std::optional<absl::Duration> backoff;
    // Requests that the target takes from all routers together.
    std::optional<RequestRate> limit;
    // The target executed the request and named no limit, so none is in force.
    bool hasNoLimit{false};
    // A field was malformed and has been ignored.
    bool isMalformed{false};
};

enum class TargetLimitChange { None, Named, Changed, Ended };

// What changed by a notice.
struct TargetNoticeEffect
{
    bool hasStartedLeaving{false};
    bool hasBackedOff{false};
    TargetLimitChange limit{TargetLimitChange::None};
};

class TargetNotices
{
public:
    // Longer backoffs are shortened to this, so that a wrong unit does not take a target out for good.
    static constexpr absl::Duration maxBackoff = absl::Hours(1);
    // The oldest notices are dropped first.
    static constexpr std::size_t maxNotices = 4096;
    // Requests that reach a target this soon after it has asked for a backoff may have crossed its answer, so
    // that they don't count. Shortened by the time that a request takes to its target.
    static constexpr absl::Duration uncountedTime = absl::Milliseconds(400);
    // Requests that may reach the target in the rest of one backoff.
    static constexpr int requestsPerBackoff = 2;

    // Ignored if a later process of the target is known. `requestSentAt` is when the request was sent whose
    // answer contained the notice, so that the target has answered after that time.
    TargetNoticeEffect record(const TargetProcess &, const TargetNotice &, absl::Time requestSentAt,
                              absl::Time now);
    // Drops the notice of an earlier process. Returns whether there was one.
    bool processStarted(const TargetProcess &);
    [[nodiscard]] bool isLeaving(const TargetId &) const;
    // The past if the target accepts requests.
    [[nodiscard]] absl::Time backoffEnd(const TargetId &) const;
    // When the target may be sent a request that can't wait for the end of its backoff. Not after that end.
    [[nodiscard]] absl::Time earliestUrgentRequest(const TargetId &, absl::Time now) const;
    // Counts such a request. Returns false if it may not be sent now.
    [[nodiscard]] bool tryTakeUrgentRequest(const TargetId &, absl::Time now);

private:
    // One answer that asked for a backoff.
    struct Backoff
    {
        // Requests count from here on.
        absl::Time countedFrom;
        absl::Time end;
        int requests{0};

        [[nodiscard]] bool isExhausted(absl::Time now) const
        {
            return now >= countedFrom && now < end && requests >= requestsPerBackoff;
        }
    };
    struct Notice
    {
        TargetProcess process;
        bool isLeaving{false};
        absl::Time backoffEnd{absl::InfinitePast()};
        // Those that have not ended. Invariant: at most `maxBackoffs`, by the time of their answers.
        std::vector<Backoff> backoffs;
    };
    // Requests that cross a backoff may each be answered with one. The oldest two are merged then, so that
    // they allow no more than each of them did.
    static constexpr std::size_t maxBackoffs = 64;

    absl::flat_hash_map<TargetId, Notice> m_notices;
    // Invariant: holds each key of `m_notices` once, oldest first.
    std::deque<TargetId> m_order;
};

} // namespace Wisteria
