// How the sources of a target's health are weighed.

#include <LibMembership/TargetBook.h>

#include <xxhash.h>

namespace Wisteria::detail {

namespace {

// Failures in a row that make a target suspect; one is enough when another router suspects it already.
constexpr unsigned failuresToSuspect = 2;
// A suspect that nobody reported again is tried once more after this long.
constexpr absl::Duration suspicionLifetime = absl::Seconds(10);
// A good answer this recent refutes another router's suspicion.
constexpr absl::Duration recentGood = absl::Seconds(3);
constexpr absl::Duration quietAfterRefutation = absl::Seconds(30);
// A target that left the VM list is gone after this long, or as soon as it does not answer either.
constexpr absl::Duration goneAfter = absl::Seconds(60);
// The VM list lags: a leaving target is back only when the list has said so for this long.
constexpr absl::Duration returnAfter = absl::Seconds(30);
// A target outside the configuration is forgotten after this long without news.
constexpr absl::Duration unconfiguredRetention = absl::Minutes(10);

bool isNewer(const TargetRecord &a, const TargetRecord &b)
{
    return std::pair(a.round, a.health) > std::pair(b.round, b.health);
}

} // namespace

TargetBook::Entry &TargetBook::entryOf(const TargetId &id)
{
    auto &entry = m_entries[id];
    entry.record.id = id;
    return entry;
}

void TargetBook::announce(Entry &entry, TargetHealth health, absl::Time now)
{
    entry.record = {entry.record.id, health, entry.record.round + 1, m_self};
    entry.recordSince = now;
    m_rumors.add(entry.record.id);
}

void TargetBook::configure(const FleetConfiguration &configuration, absl::Time now)
{
    for (auto &[id, entry] : m_entries)
        entry.configured = configuration.targets.contains(id);
    for (const auto &[id, spec] : configuration.targets) {
        auto &entry = entryOf(id);
        entry.configured = true;
        const bool isReturning = entry.retiring && !spec.retiring && !entry.listedLeaving;
        entry.retiring = spec.retiring;
        if (isReturning && entry.record.health == TargetHealth::Leaving)
            announce(entry, TargetHealth::Up, now);
        assertLeaving(entry, now);
    }
}

void TargetBook::assertLeaving(Entry &entry, absl::Time now)
{
    if ((entry.retiring || entry.listedLeaving) && entry.record.health < TargetHealth::Leaving)
        announce(entry, TargetHealth::Leaving, now);
}

void TargetBook::merge(const TargetRecord &record, absl::Time now)
{
    auto &entry = entryOf(record.id);
    if (!isNewer(record, entry.record))
        return;
    const bool wasRefuted = record.health == TargetHealth::Up && isSuspectHere(entry, now);
    if (wasRefuted)
        entry.quietUntil = now + quietAfterRefutation;
    entry.record = record;
    entry.recordSince = now;
    m_rumors.add(record.id);
    // Another router may have raised the round without knowing that the target is leaving.
    assertLeaving(entry, now);
    if (entry.record.health == TargetHealth::Suspect && now - entry.lastGood < recentGood)
        announce(entry, TargetHealth::Up, now);
}

void TargetBook::observe(const TargetObserved &event, absl::Time now)
{
    auto &entry = entryOf(event.target);
    if (event.reachable) {
        entry.failures = 0;
        entry.lastGood = now;
        if (entry.record.health == TargetHealth::Suspect)
            announce(entry, TargetHealth::Up, now);
        return;
    }
    ++entry.failures;
    entry.lastBad = now;
    const bool mayAnnounce = entry.record.health == TargetHealth::Up && now >= entry.quietUntil;
    if (isSuspectHere(entry, now) && mayAnnounce)
        announce(entry, TargetHealth::Suspect, now);
    checkMissing(entry, now);
}

void TargetBook::readVmList(const VmListRead &event, absl::Time now)
{
    // An empty list is a fault of the list, not the end of the fleet.
    if (event.vms.empty())
        return;
    std::map<TargetId, bool> leaving;
    for (const auto &it : event.vms)
        leaving[it.target] = it.leaving;
    for (auto &[id, entry] : m_entries) {
        auto it = leaving.find(id);
        if (it != leaving.end()) {
            readListed(entry, it->second, now);
            continue;
        }
        // A target that never was on the list may not have reached it yet.
        if (entry.listedSince == absl::InfiniteFuture())
            continue;
        if (entry.missingSince == absl::InfiniteFuture())
            entry.missingSince = now;
        checkMissing(entry, now);
    }
}

void TargetBook::readListed(Entry &entry, bool leaving, absl::Time now)
{
    entry.missingSince = absl::InfiniteFuture();
    if (leaving || entry.listedLeaving || entry.listedSince == absl::InfiniteFuture())
        entry.listedSince = now;
    entry.listedLeaving = leaving;
    assertLeaving(entry, now);
    checkReturned(entry, now);
}

void TargetBook::checkReturned(Entry &entry, absl::Time now)
{
    if (entry.retiring || entry.listedLeaving || entry.record.health < TargetHealth::Leaving)
        return;
    if (now - std::max(entry.listedSince, entry.recordSince) >= returnAfter)
        announce(entry, TargetHealth::Up, now);
}

void TargetBook::checkMissing(Entry &entry, absl::Time now)
{
    if (entry.missingSince == absl::InfiniteFuture() || entry.record.health == TargetHealth::Gone)
        return;
    const bool isSilent = entry.failures > 0 && entry.lastBad >= entry.missingSince;
    if (isSilent || now - entry.missingSince >= goneAfter)
        announce(entry, TargetHealth::Gone, now);
}

bool TargetBook::isSuspectHere(const Entry &entry, absl::Time now)
{
    const unsigned needed = entry.record.health == TargetHealth::Suspect ? 1 : failuresToSuspect;
    return entry.failures >= needed && now - entry.lastBad < suspicionLifetime;
}

TargetHealth TargetBook::effective(const Entry &entry, absl::Time now)
{
    if (entry.record.health >= TargetHealth::Leaving)
        return entry.record.health;
    if (entry.retiring || entry.listedLeaving)
        return TargetHealth::Leaving;
    const bool isSuspectElsewhere = entry.record.health == TargetHealth::Suspect
        && now - entry.recordSince < suspicionLifetime && entry.lastGood < entry.recordSince;
    return isSuspectElsewhere || isSuspectHere(entry, now) ? TargetHealth::Suspect : TargetHealth::Up;
}

std::string TargetBook::reasonOf(const Entry &entry, TargetHealth health)
{
    if (health == TargetHealth::Leaving && entry.retiring)
        return "retiring in the configuration";
    if (health == TargetHealth::Leaving && entry.listedLeaving)
        return "leaving in the VM list";
    return "reported by router " + entry.record.observedBy.value();
}

void TargetBook::report(absl::Time now, MembershipActions &actions)
{
    std::erase_if(m_entries, [&](const auto &it) {
        const auto lastNews =
            std::max(it.second.recordSince, std::max(it.second.lastGood, it.second.lastBad));
        const bool isForgotten = !it.second.configured && now - lastNews >= unconfiguredRetention;
        if (isForgotten)
            m_rumors.remove(it.first);
        return isForgotten;
    });
    for (auto &[id, entry] : m_entries) {
        const auto health = effective(entry, now);
        if (!entry.configured || health == entry.reported)
            continue;
        entry.reported = health;
        actions.emplace_back(TargetHealthChanged{id, health, reasonOf(entry, health)});
    }
}

std::vector<TargetRecord> TargetBook::health(absl::Time now) const
{
    std::vector<TargetRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.configured)
            continue;
        records.push_back(entry.record);
        records.back().health = effective(entry, now);
    }
    return records;
}

std::vector<TargetRecord> TargetBook::records() const
{
    std::vector<TargetRecord> records;
    for (const auto &[id, entry] : m_entries) {
        // Round zero is what every router assumes of a target that it never heard of.
        if (entry.record.round > 0)
            records.push_back(entry.record);
    }
    return records;
}

std::uint64_t TargetBook::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &record : records()) {
        const auto &id = record.id.value();
        const auto seed = record.round * 4 + static_cast<std::uint64_t>(record.health);
        digest ^= XXH64(id.data(), id.size(), seed);
    }
    return digest;
}

std::vector<TargetRecord> TargetBook::takeRumors(std::size_t most, std::size_t members)
{
    std::vector<TargetRecord> records;
    for (const auto &id : m_rumors.take(most, sendLimit(members)))
        records.push_back(m_entries.at(id).record);
    return records;
}

} // namespace Wisteria::detail
