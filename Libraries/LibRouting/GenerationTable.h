// The generations of one router, by their id and by the ids of their running attempts, with their wake-up
// times.

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
    // The id must be new.
    Generation &add(RequestOpened);
    // The generation must have no attempts left.
    void remove(Generation &);

    [[nodiscard]] Generation *find(const GenerationId &);
    // Null for attempts that ended or were cancelled: their late events change nothing.
    [[nodiscard]] Generation *findByAttempt(AttemptId);
    // In the order of their ids, so that a replay takes them in the same order.
    [[nodiscard]] std::vector<Generation *> all();
    [[nodiscard]] std::size_t size() const { return m_generations.size(); }

    // Gives the attempt its number and adds it to the generation.
    Attempt &addAttempt(Generation &, Attempt);
    // Returns the attempt as it was.
    Attempt removeAttempt(Generation &, AttemptId);

    // Moves the generation's wake-up.
    void scheduleWakeUp(Generation &, absl::Time at);
    [[nodiscard]] absl::Time nextWakeUp() const;
    // Takes a generation whose wake-up is due; null when there is none.
    [[nodiscard]] Generation *popDue(absl::Time now);

private:
    std::map<GenerationId, std::unique_ptr<Generation>> m_generations;
    // Invariant: exactly the attempts that the generations hold. Never iterated: its order is random.
    absl::flat_hash_map<AttemptId, Generation *> m_byAttempt;
    // Invariant: one entry for each generation whose wakeUpAt is not in the infinite future.
    absl::btree_set<std::pair<absl::Time, GenerationId>> m_wakeUps;
    std::uint64_t m_lastAttempt{0};
};

} // namespace Wisteria
