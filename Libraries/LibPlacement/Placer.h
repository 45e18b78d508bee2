// The placer's decisions: who may give orders (a lease object with a fencing number), which orders are due,
// and the shared rate of downloads from the weight store. Orders are declarative: they name the wished state
// of an engine, so that one crossed order is repaired by the next reading of the engine's state.

#pragma once

#include <LibConfig/FleetConfiguration.h>
#include <LibCore/Error.h>

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wisteria {

// A lease runs this long from the moment at which its holder began the write that won or renewed it.
inline constexpr absl::Duration leaseLength = absl::Seconds(9);
// The holder stops this long before the end of its lease, and a follower waits this long beyond it.
inline constexpr absl::Duration leaseMargin = absl::Seconds(3);

// The lease object in the object API.
struct LeaseRecord
{
    std::string holder;
    Incarnation incarnation;
    // Raised by one at each change of holder. Also the order's number for engines that check it.
    FencingNumber fencing;
    // Raised at each renewal; a follower counts a lease as lapsed when it has not changed for long enough by
    // its own clock.
    std::uint64_t renewals{0};

    bool operator==(const LeaseRecord &) const = default;
};

// What an engine should serve, or does serve.
struct EngineState
{
    ModelName model;
    std::string modelVersion;
    std::vector<std::string> adapters;
    std::string role;

    bool operator==(const EngineState &) const = default;
};

// ---- Events
// -----------------------------------------------------------------------------------------------------

struct LeaseRead
{
    std::optional<LeaseRecord> record;
    ObjectVersion version;
};

struct LeaseReadFailed
{
};

// `error` is Conflict, StoreUnavailable or StoreOutcomeUnknown.
struct LeaseWritten
{
    std::optional<Error> error;
    ObjectVersion version;
};

struct WishesChanged
{
    FleetConfiguration configuration;
};

struct EngineStateRead
{
    TargetId target;
    EngineState state;
};

struct EngineStateReadFailed
{
    TargetId target;
};

struct OrderAnswered
{
    TargetId target;
    // FencedOff when the engine has seen a greater fencing number.
    std::optional<Error> error;
};

struct PlacerTick
{
};

using PlacerEvent = std::variant<LeaseRead, LeaseReadFailed, LeaseWritten, WishesChanged, EngineStateRead,
                                 EngineStateReadFailed, OrderAnswered, PlacerTick>;

// ---- Actions
// ----------------------------------------------------------------------------------------------------

struct ReadLease
{
};

struct WriteLease
{
    LeaseRecord record;
    // Zero means: create.
    ObjectVersion expected;
};

struct ReadEngineState
{
    TargetId target;
};

// The host checks mayOrder() again immediately before it sends the order.
struct SendOrder
{
    TargetId target;
    EngineState wish;
    FencingNumber fencing;
};

struct RecordPlacement
{
    TargetId target;
    std::string decision;
    std::string reason;
};

using PlacerAction = std::variant<ReadLease, WriteLease, ReadEngineState, SendOrder, RecordPlacement>;
using PlacerActions = std::vector<PlacerAction>;

struct PlacerLimits
{
    // Orders that make an engine download weights, over the whole fleet at once.
    std::uint32_t downloadsAtOnce{4};
};

// A single-threaded state machine of one placer process.
class Placer
{
public:
    [[nodiscard]] static std::unique_ptr<Placer> create(std::string self, Incarnation incarnation,
                                                        PlacerLimits limits);
    virtual ~Placer() = default;

    [[nodiscard]] virtual PlacerActions handle(const PlacerEvent &event, absl::Time now) = 0;
    [[nodiscard]] virtual absl::Time nextWakeUp() const = 0;
    // Whether the lease is held, with its margin, at this moment of the monotonic clock.
    [[nodiscard]] virtual bool mayOrder(absl::Time now) const = 0;
};

[[nodiscard]] std::string toJson(const LeaseRecord &);
[[nodiscard]] ErrorOr<LeaseRecord> leaseRecordFromJson(std::string_view);

} // namespace Wisteria
