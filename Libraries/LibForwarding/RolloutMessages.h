// Messages about rollouts between routers: reports of each router to the coordinator, and the coordinator's
// grants.
//
// They are datagrams of their own beside the peer reports and are sent only while an order is open. Counts
// are absolute within an incarnation, so the next message makes up for a lost one.

#pragma once

#include <LibCore/Error.h>
#include <LibForwarding/RolloutOrder.h>
#include <LibForwarding/VersionComparison.h>

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Wisteria {

// Requests of one router that are at targets now.
struct RolloutRuns
{
    std::int32_t baseline{0};
    // Part of `baseline`: runs that may not be repeated or resumed elsewhere.
    std::int32_t baselineAtMostOnce{0};
    std::int32_t candidate{0};

    bool operator==(const RolloutRuns &) const = default;
};

// Attempts since the router knows the order.
struct RolloutCounts
{
    std::uint64_t total{0};
    std::uint64_t candidate{0};

    bool operator==(const RolloutCounts &) const = default;
};

struct RolloutReport
{
    RouterId sender;
    Incarnation incarnation;
    RolloutOrder order;
    // The phase that the sender follows.
    RolloutPhase phase{RolloutPhase::Idle};
    // Time since the order was first seen, by this router or by one that told it.
    absl::Duration orderAge;
    RolloutCounts counts;
    RolloutRuns runs;
    VersionTallies tallies;
};

struct RolloutGrant
{
    RouterId sender;
    RolloutOrder order;
    RolloutPhase phase{RolloutPhase::Idle};
    // Largest fraction of a router's attempts that may go to the new version.
    double share{0};
    absl::Duration orderAge;
};

using RolloutMessage = std::variant<RolloutReport, RolloutGrant>;

// Largest size of an encoded message; longer ones are not decoded.
constexpr std::size_t maxRolloutMessageBytes = std::size_t{8} * 1024;

// Encodes the message as a CBOR map with one entry whose key begins with "rollout". Tallies of the routes
// with the fewest answers are left out if the message would not fit into a datagram.
[[nodiscard]] std::string encodeRolloutMessage(const RolloutMessage &);
[[nodiscard]] bool isRolloutMessage(std::string_view bytes);
// Errors: InvalidRequest.
[[nodiscard]] ErrorOr<RolloutMessage> decodeRolloutMessage(std::string_view bytes);

} // namespace Wisteria
