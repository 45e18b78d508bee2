// Indexes of the generations of one router.

#include <LibRouting/GenerationTable.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace Wisteria {

Generation &GenerationTable::add(RequestOpened request)
{
    auto generation = std::make_unique<Generation>();
    const GenerationId id = request.generation;
    generation->request = std::move(request);
    auto [it, isNew] = m_generations.emplace(id, std::move(generation));
    VERIFY(isNew);
    return *it->second;
}

void GenerationTable::remove(Generation &generation)
{
    VERIFY(generation.attempts.empty());
    scheduleWakeUp(generation, absl::InfiniteFuture());
    const GenerationId id = generation.id();
    m_generations.erase(id);
}

Generation *GenerationTable::find(const GenerationId &id)
{
    auto it = m_generations.find(id);
    return it == m_generations.end() ? nullptr : it->second.get();
}

Generation *GenerationTable::findByAttempt(AttemptId id)
{
    auto it = m_byAttempt.find(id);
    return it == m_byAttempt.end() ? nullptr : it->second;
}

std::vector<Generation *> GenerationTable::all()
{
    std::vector<Generation *> out;
    out.reserve(m_generations.size());
    for (const auto &[id, generation] : m_generations)
        out.push_back(generation.get());
    return out;
}

Attempt &GenerationTable::addAttempt(Generation &generation, Attempt attempt)
{
    VERIFY(generation.attempts.size() < Generation::maxAttempts);
    attempt.id = AttemptId(++m_lastAttempt);
    m_byAttempt[attempt.id] = &generation;
    return generation.attempts.emplace_back(std::move(attempt));
}

Attempt GenerationTable::removeAttempt(Generation &generation, AttemptId id)
{
    auto it = std::ranges::find(generation.attempts, id, &Attempt::id);
    VERIFY(it != generation.attempts.end());
    Attempt attempt = std::move(*it);
    generation.attempts.erase(it);
    m_byAttempt.erase(id);
    if (generation.adopted == id)
        generation.adopted.reset();
    return attempt;
}

void GenerationTable::scheduleWakeUp(Generation &generation, absl::Time at)
{
    if (generation.wakeUpAt == at)
        return;
    if (generation.wakeUpAt != absl::InfiniteFuture())
        m_wakeUps.erase({generation.wakeUpAt, generation.id()});
    generation.wakeUpAt = at;
    if (at != absl::InfiniteFuture())
        m_wakeUps.insert({at, generation.id()});
}

absl::Time GenerationTable::nextWakeUp() const
{
    return m_wakeUps.empty() ? absl::InfiniteFuture() : m_wakeUps.begin()->first;
}

Generation *GenerationTable::popDue(absl::Time now)
{
    if (nextWakeUp() > now)
        return nullptr;
    Generation *generation = find(m_wakeUps.begin()->second);
    scheduleWakeUp(*generation, absl::InfiniteFuture());
    return generation;
}

} // namespace Wisteria
