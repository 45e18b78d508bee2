// Decides which connections are shed when the memory account is full. No I/O: what is known of each
// connection is passed in.

#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace Wisteria {

// What the bytes of a connection are for, at the time of the decision.
enum class MemoryUse {
    // Part of a request that is not complete and that nobody has seen.
    IncompleteRequest,
    // A complete request without an answer so far. It may have been passed on, so it is never shed.
    OpenRequest,
    // An answer that waits for its reader, with or without its request being open.
    PendingAnswer,
    // Neither a request nor an answer.
    Idle,
};

enum class ShedReason {
    // The sender of an incomplete request has stopped sending.
    StalledRequest,
    // An incomplete request that is still arriving.
    LargeRequest,
    // The reader of an answer has stopped reading.
    UnreadAnswer,
    // More connections than descriptors allow.
    Descriptors,
};

// Returns the value of the log's and the metric's `reason`.
[[nodiscard]] constexpr std::string_view shedReasonName(ShedReason reason)
{
    switch (reason) {
    case ShedReason::StalledRequest:
        return "stalled_request";
    case ShedReason::LargeRequest:
        return "large_request";
    case ShedReason::UnreadAnswer:
        return "unread_answer";
    case ShedReason::Descriptors:
        return "descriptors";
    }
    return "unknown";
}

// One connection at the time of the decision.
struct MemoryHolding
{
    MemoryUse use{MemoryUse::Idle};
    std::size_t bytes{0};
    // When its peer last sent or took a byte.
    absl::Time progressAt;
};

// A connection to be shed; `holding` is its position among those passed in.
struct ShedChoice
{
    std::size_t holding;
    ShedReason reason;

    bool operator==(const ShedChoice &) const = default;
};

class MemoryPressure
{
public:
    // A peer without progress for this long has stopped. A loss of packets is repaired within it.
    static constexpr absl::Duration stallTime = absl::Seconds(1);
    // Connections with fewer bytes are not worth a rejection.
    static constexpr std::size_t minShedBytes = 4096;

    // The connections whose end frees at least `bytesToFree`, or all that may be shed: first those without
    // progress, then incomplete requests that still arrive, the largest first in both.
    [[nodiscard]] static std::vector<ShedChoice> choose(const std::vector<MemoryHolding> &,
                                                        std::size_t bytesToFree, absl::Time now);
};

} // namespace Wisteria
