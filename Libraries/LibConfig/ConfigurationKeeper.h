// Keeps one router's copy of the configuration: greater versions only, freshness, acceptance of changes.
//
// A copy is fresh while a confirmation is younger than freshnessBound. A confirmation says "version v was the
// latest at time t". It comes from a read of the object API, or from a poll in which more than half of the
// counted routers answered; other routers inherit it by gossip with its age. A change is accepted when the
// write is done and at least half of the counted routers hold it, so that every later poll meets it.
// docs/DESIGN.md gives the argument and Specs/Configuration.pml checks it.

#pragma once

#include <LibConfig/Change.h>

#include <memory>
#include <optional>
#include <set>

namespace Wisteria {

// A router that has not confirmed its copy for this long takes no new work.
inline constexpr absl::Duration freshnessBound = absl::Seconds(8);

// Acknowledgements count for this long after the first push of their round. The host gives a push call at
// most pushCallTimeout, so that an answer of an earlier round cannot reach a later one.
inline constexpr absl::Duration acknowledgementWindow = absl::Seconds(3);
inline constexpr absl::Duration pushCallTimeout = absl::Seconds(1);
// A restarted router may have acknowledged a version and forgotten it. Its answers to polls count only after
// a confirmation that began this long after its start, when every round that it may have acknowledged is
// over. Invariant: above acknowledgementWindow + pushCallTimeout, with a margin for clock rates.
inline constexpr absl::Duration restartEmbargo = absl::Seconds(5);

// What a router knows about the latest version, as it travels on gossip.
struct Confirmation
{
    ConfigVersion version;
    // Time since the read or the poll began.
    absl::Duration age{absl::ZeroDuration()};
};

// ---- Events
// -----------------------------------------------------------------------------------------------------

// A store read that began at `began`. Empty when the store has no configuration yet.
struct ConfigurationRead
{
    std::optional<FleetConfiguration> configuration;
    ObjectVersion objectVersion;
    absl::Time began;
};

struct ConfigurationReadFailed
{
};

// A configuration that a peer pushed or that was fetched from one.
struct ConfigurationReceived
{
    FleetConfiguration configuration;
};

// A peer's digest, asked for at `began`.
struct ConfirmationReceived
{
    RouterId from;
    // The version that the peer holds.
    ConfigVersion held;
    // The peer's own confirmation, if it has one.
    std::optional<Confirmation> confirmation;
    absl::Time began;
};

// A peer's answer to a poll that began at `began`.
struct PollAnswered
{
    RouterId from;
    ConfigVersion held;
    // False while the peer's incarnation has had no confirmation of its own that began restartEmbargo after
    // its start; such an answer does not count.
    bool confirmedSinceStart{false};
    absl::Time began;
};

struct ChangeRequested
{
    ConfigurationChange change;
};

// The result of a WriteConfiguration; each has exactly one.
struct ConfigurationWritten
{
    std::string changeId;
    // Applied, or why not: Conflict, StoreUnavailable (no effect) or StoreOutcomeUnknown (maybe an effect).
    ErrorOr<ObjectVersion> result;
};

// A peer holds this version now.
struct PushAcknowledged
{
    RouterId from;
    ConfigVersion held;
    // The `began` of the PushConfiguration that it answers; required, an answer without it never counts.
    absl::Time began{absl::InfinitePast()};
};

struct KeeperTick
{
};

using KeeperEvent =
    std::variant<ConfigurationRead, ConfigurationReadFailed, ConfigurationReceived, ConfirmationReceived,
                 PollAnswered, ChangeRequested, ConfigurationWritten, PushAcknowledged, KeeperTick>;

// ---- Actions
// ----------------------------------------------------------------------------------------------------

struct ReadConfiguration
{
};

struct WriteConfiguration
{
    std::string changeId;
    FleetConfiguration configuration;
    ObjectVersion expected;
};

// A new version is in force at this router.
struct ApplyConfiguration
{
    FleetConfiguration configuration;
};

// Push to these counted routers and report PushAcknowledged for each that answers.
struct PushConfiguration
{
    FleetConfiguration configuration;
    std::vector<CountedRouter> to;
    // Copied into PushAcknowledged, so that an answer to an earlier round does not count in a later one.
    absl::Time began{absl::InfinitePast()};
};

// Fetch the configuration from a peer that holds a greater version.
struct FetchConfiguration
{
    RouterId from;
};

// Ask these counted routers for PollAnswered.
struct PollCountedRouters
{
    std::vector<CountedRouter> to;
};

struct SetFreshness
{
    bool fresh{false};
};

// The final answer to a change: the version in which it is accepted, or a typed error.
struct AnswerChange
{
    std::string changeId;
    ErrorOr<ConfigVersion> result;
};

using KeeperAction =
    std::variant<ReadConfiguration, WriteConfiguration, ApplyConfiguration, PushConfiguration,
                 FetchConfiguration, PollCountedRouters, SetFreshness, AnswerChange>;
using KeeperActions = std::vector<KeeperAction>;

// A single-threaded state machine.
class ConfigurationKeeper
{
public:
    // `readsStore` is true for the few routers that read the object API and poll; the others inherit by
    // gossip. The host changes it with setReadsStore() as members come and go.
    [[nodiscard]] static std::unique_ptr<ConfigurationKeeper> create(RouterId self, bool readsStore,
                                                                     absl::Time startedAt);
    virtual ~ConfigurationKeeper() = default;

    [[nodiscard]] virtual KeeperActions handle(const KeeperEvent &event, absl::Time now) = 0;
    [[nodiscard]] virtual absl::Time nextWakeUp() const = 0;
    virtual void setReadsStore(bool readsStore) = 0;

    [[nodiscard]] virtual const FleetConfiguration &configuration() const = 0;
    // Whether new work may be taken now. A host calls it again after a pause, before any new work.
    [[nodiscard]] virtual bool isFresh(absl::Time now) const = 0;
    // For gossip and for answers to polls.
    [[nodiscard]] virtual std::optional<Confirmation> confirmation(absl::Time now) const = 0;
    [[nodiscard]] virtual bool confirmedSinceStart() const = 0;
};

} // namespace Wisteria
