// The generations of one router, indexed by their id and by the ids of their running attempts, with their
// wake-up times.

#pragma once

#include <LibRouting/Generation.h>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>

namespace Wisteria {

class GenerationTable
{
public:
    // The id must not exist yet.
    Generation &add(RequestOpened);
    // The generation must have no attempts left.
    void remove(Generation &);

    [[nodiscard]] Generation *find(const GenerationId &);
    // Null for attempts that have ended or were cancelled, so that late events for them are ignored.
    [[nodiscard]] Generation *findByAttempt(AttemptId);
    // Ordered by id, so that a replay processes them in the same order.
    [[nodiscard]] std::vector<Generation *> all();
    [[nodiscard]] std::size_t size() const { return m_generations.size(); }

    // Assigns an id to the attempt and adds it to the generation.
    Attempt &addAttempt(Generation &, Attempt);
    // Removes the attempt and returns it.
    Attempt removeAttempt(Generation &, AttemptId);

    // Sets or, with absl::InfiniteFuture(), removes the wake-up of the generation.
    void scheduleWakeUp(Generation &, absl::Time at);
    [[nodiscard]] absl::Time nextWakeUp() const;
    // Clears the wake-up of a generation that is due and returns the generation. Null when none is due.
    [[nodiscard]] Generation *popDue(absl::Time now);

private:
    std::map<GenerationId, std::unique_ptr<Generation>> m_generations;
    // Invariant: contains exactly the running attempts. Never iterated, because its order is not
    // deterministic.
    absl::flat_hash_map<AttemptId, Generation *> m_byAttempt;
    // Invariant: one entry for each generation whose wakeUpAt is not absl::InfiniteFuture().
    absl::btree_set<std::pair<absl::Time, GenerationId>> m_wakeUps;
    std::uint64_t m_lastAttempt{0};
};

} // namespace Wisteria
