// Merging, suspicion and refutation of router records.

#include <LibMembership/RouterBook.h>

#include <xxhash.h>

#include <string>
#include <tuple>

namespace Wisteria::detail {

namespace {

// Gossip calls in a row without an answer that make a router suspect.
constexpr unsigned failuresToSuspect = 2;
constexpr absl::Duration baseSuspicion = absl::Seconds(3);
constexpr absl::Duration suspicionPerDoubling = absl::Milliseconds(500);
constexpr absl::Duration quietAfterRefutation = absl::Seconds(30);
// The dead are remembered and tried now and then, so that two halves find each other after a long partition.
constexpr absl::Duration deadRetention = absl::Hours(2);
// A change of load is announced to all only when it is this large and not more often than this.
constexpr std::uint32_t announcedLoadStep = 200;
constexpr absl::Duration loadAnnounceInterval = absl::Seconds(60);

auto rank(const RouterRecord &record)
{
    return std::make_tuple(record.incarnation, record.sequence, record.phase);
}

std::uint64_t recordHash(const RouterRecord &record)
{
    const auto &id = record.id.value();
    const auto seed = record.incarnation.value() * 4 + static_cast<std::uint64_t>(record.phase);
    return XXH64(id.data(), id.size(), seed);
}

} // namespace

RouterBook::RouterBook(RouterRecord self) : m_self(std::move(self)), m_rumors(saltOf(m_self.id.value()))
{
    m_announcedLoad = m_self.loadPerMille;
    m_rumors.add(m_self.id);
}

void RouterBook::merge(const RouterRecord &record, RecordSource source, absl::Time now,
                       MembershipActions &actions)
{
    if (record.id == m_self.id) {
        mergeSelf(record, actions);
        return;
    }
    auto [it, isNew] = m_entries.try_emplace(record.id, Entry{record, now});
    auto &entry = it->second;
    if (isNew) {
        m_memberCount += record.phase == MemberPhase::Dead ? 0 : 1;
        if (source != RecordSource::FullExchange)
            m_rumors.add(record.id);
        noteChange(record, actions);
        return;
    }
    if (rank(record) == rank(entry.record) && source == RecordSource::Direct)
        entry.record.loadPerMille = record.loadPerMille;
    if (rank(record) <= rank(entry.record))
        return;
    const bool isRefuted = entry.suspectedHere && record.incarnation == entry.record.incarnation
        && record.phase == MemberPhase::Live;
    if (isRefuted)
        entry.quietUntil = now + quietAfterRefutation;
    const auto phase = record.phase;
    const auto changed = record.incarnation != entry.record.incarnation || phase != entry.record.phase;
    const auto before = entry.record.phase;
    entry.record = record;
    entry.record.phase = before;
    m_rumors.add(record.id);
    if (changed)
        setPhase(entry, phase, now, actions);
}

void RouterBook::mergeSelf(const RouterRecord &record, MembershipActions &actions)
{
    if (record.incarnation > m_self.incarnation) {
        // Another process has taken this router's name; the host decides what to do.
        actions.emplace_back(RouterPhaseChanged{record});
        return;
    }
    if (rank(record) <= rank(m_self))
        return;
    m_self.sequence = record.sequence + 1;
    m_rumors.add(m_self.id);
}

void RouterBook::setPhase(Entry &entry, MemberPhase phase, absl::Time now, MembershipActions &actions)
{
    const bool wasDead = entry.record.phase == MemberPhase::Dead;
    const bool isDead = phase == MemberPhase::Dead;
    if (wasDead != isDead)
        m_memberCount += isDead ? -1 : 1;
    entry.record.phase = phase;
    entry.phaseSince = now;
    entry.failures = 0;
    entry.suspectedHere = false;
    m_rumors.add(entry.record.id);
    noteChange(entry.record, actions);
}

void RouterBook::noteChange(const RouterRecord &record, MembershipActions &actions)
{
    ++m_changes;
    actions.emplace_back(RouterPhaseChanged{record});
}

bool RouterBook::gossipFailed(const RouterId &peer, absl::Time now, MembershipActions &actions)
{
    auto it = m_entries.find(peer);
    if (it == m_entries.end())
        return false;
    auto &entry = it->second;
    ++entry.failures;
    const bool maySuspect = entry.record.phase == MemberPhase::Live && now >= entry.quietUntil;
    if (entry.failures < failuresToSuspect || !maySuspect)
        return entry.failures < failuresToSuspect;
    setPhase(entry, MemberPhase::Suspect, now, actions);
    entry.suspectedHere = true;
    return false;
}

void RouterBook::heardFrom(const RouterId &peer)
{
    if (auto it = m_entries.find(peer); it != m_entries.end())
        it->second.failures = 0;
}

void RouterBook::setOwnLoad(std::uint32_t loadPerMille, absl::Time now)
{
    m_self.loadPerMille = loadPerMille;
    const auto step = std::max(loadPerMille, m_announcedLoad) - std::min(loadPerMille, m_announcedLoad);
    if (step < announcedLoadStep || now - m_loadAnnouncedAt < loadAnnounceInterval)
        return;
    m_announcedLoad = loadPerMille;
    m_loadAnnouncedAt = now;
    ++m_self.sequence;
    m_rumors.add(m_self.id);
}

void RouterBook::leave(MembershipActions &actions)
{
    if (m_self.phase == MemberPhase::Leaving)
        return;
    m_self.phase = MemberPhase::Leaving;
    ++m_self.sequence;
    m_rumors.add(m_self.id);
    noteChange(m_self, actions);
}

absl::Duration RouterBook::suspicionTimeout() const
{
    return baseSuspicion + suspicionPerDoubling * absl::bit_width(m_memberCount);
}

void RouterBook::tick(absl::Time now, MembershipActions &actions)
{
    const auto timeout = suspicionTimeout();
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto &entry = it->second;
        const auto age = now - entry.phaseSince;
        const bool isSilentLeaver =
            entry.record.phase == MemberPhase::Leaving && entry.failures >= failuresToSuspect;
        if ((entry.record.phase == MemberPhase::Suspect || isSilentLeaver) && age >= timeout)
            setPhase(entry, MemberPhase::Dead, now, actions);
        if (entry.record.phase == MemberPhase::Dead && age >= deadRetention) {
            m_rumors.remove(it->first);
            it = m_entries.erase(it);
            continue;
        }
        ++it;
    }
}

void RouterBook::restartSuspicions(absl::Time now)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.record.phase == MemberPhase::Suspect)
            entry.phaseSince = now;
    }
}

const RouterRecord *RouterBook::find(const RouterId &id) const
{
    if (id == m_self.id)
        return &m_self;
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.record;
}

const RouterRecord *RouterBook::findByAddress(const std::string &peerAddress) const
{
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.peerAddress == peerAddress)
            return &entry.record;
    }
    return nullptr;
}

std::vector<RouterRecord> RouterBook::all() const
{
    auto records = peers(MemberPhase::Dead);
    records.push_back(m_self);
    return records;
}

std::vector<RouterRecord> RouterBook::peers(MemberPhase most) const
{
    std::vector<RouterRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.phase <= most)
            records.push_back(entry.record);
    }
    return records;
}

std::uint64_t RouterBook::digest() const
{
    std::uint64_t digest = recordHash(m_self);
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.phase != MemberPhase::Dead)
            digest ^= recordHash(entry.record);
    }
    return digest;
}

std::vector<RouterRecord> RouterBook::takeRumors(std::size_t most)
{
    std::vector<RouterRecord> records;
    for (const auto &id : m_rumors.take(most, sendLimit(m_memberCount))) {
        // The own record travels as the sender, too, but others relay it only from here.
        if (const auto *record = find(id))
            records.push_back(*record);
    }
    return records;
}

} // namespace Wisteria::detail
