// Which engine needs an order: compares each engine's state, read back, with the wished one.
//
// No order is sent without a reading that came after the lease was won, and every order is followed by a
// reading. Orders name the whole wished state, so that repeating one does no harm.

#pragma once

#include <LibPlacement/Placer.h>

#include <map>
#include <set>

namespace Wisteria {

namespace detail {

enum class EnginePhase {
    // A reading is due at `dueAt`.
    ReadingDue,
    Reading,
    // Differs from the wish and waits for one of the downloads to end.
    AwaitingDownload,
    Ordering,
};

struct Engine
{
    TargetId target;
    // The wished model and version. What the configuration does not name stays as the engine reports it.
    ModelName model;
    std::string modelVersion;
    EnginePhase phase{EnginePhase::ReadingDue};
    absl::Time dueAt{absl::InfinitePast()};
    absl::Duration backoff;
    // While set, the engine counts as downloading weights; it ends when the state matches, or at this time.
    std::optional<absl::Time> downloadEnds;
    absl::Time orderedAt{absl::InfinitePast()};
    // Answers that are still to come for requests made before the lease changed hands; they are ignored.
    int staleAnswers{0};
};

} // namespace detail

class EngineOrders
{
public:
    explicit EngineOrders(PlacerLimits limits);

    void setWishes(const FleetConfiguration &, absl::Time now);
    // Under a new number nothing that was read before counts any more.
    void startTerm(FencingNumber fencing, absl::Time now);
    void handleState(const EngineStateRead &, absl::Time now, PlacerActions &out);
    void handleStateReadFailed(const EngineStateReadFailed &, absl::Time now);
    // Returns whether the order was fenced off.
    [[nodiscard]] bool handleOrderAnswer(const OrderAnswered &, absl::Time now);
    // Only while the lease is held.
    void advance(absl::Time now, PlacerActions &out);
    [[nodiscard]] absl::Time nextWakeUp() const;

private:
    [[nodiscard]] detail::Engine *findAwaited(const TargetId &, detail::EnginePhase);
    [[nodiscard]] bool hasRoomForDownload(const detail::Engine &) const;
    void order(detail::Engine &, const EngineState &, absl::Time now, PlacerActions &out);
    void scheduleReading(detail::Engine &, absl::Time due);
    void backOff(detail::Engine &, absl::Time now);
    void endDownload(detail::Engine &);
    void setPhase(detail::Engine &, detail::EnginePhase);

    PlacerLimits m_limits;
    ConfigVersion m_version;
    FencingNumber m_fencing;
    std::map<TargetId, detail::Engine> m_engines;
    // Invariant: the engines in phase ReadingDue, by their dueAt.
    std::set<std::pair<absl::Time, TargetId>> m_due;
    // Invariant: the engines with downloadEnds, by it.
    std::set<std::pair<absl::Time, TargetId>> m_downloads;
    // Invariant: the engines in phase AwaitingDownload, in the order in which they came.
    std::vector<TargetId> m_awaiting;
    // Invariant: the number of engines in phase Reading.
    std::uint32_t m_reading{0};
};

} // namespace Wisteria
