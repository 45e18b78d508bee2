// Keeps what targets said of themselves in their answers: that they leave, and until when they want no
// requests.
//
// A notice holds for one process of a target. It outlives the target's removal from the directory, since an
// entry may expire, or be restored from an older copy, while the process still runs.

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

    // Ignored if a later process of the target is known.
    TargetNoticeEffect record(const TargetProcess &, const TargetNotice &, absl::Time now);
    // Drops the notice of an earlier process. Returns whether there was one.
    bool processStarted(const TargetProcess &);
    [[nodiscard]] bool isLeaving(const TargetId &) const;
    // The past if the target accepts requests.
    [[nodiscard]] absl::Time backoffEnd(const TargetId &) const;

private:
    struct Notice
    {
        TargetProcess process;
        bool isLeaving{false};
        absl::Time backoffEnd{absl::InfinitePast()};
    };

    absl::flat_hash_map<TargetId, Notice> m_notices;
    // Invariant: holds each key of `m_notices` once, oldest first.
    std::deque<TargetId> m_order;
};

} // namespace Wisteria
