// Members by id.

#include <LibForwarding/RouterRoster.h>

namespace Wisteria {

void RouterRoster::upsertRecord(const Member &record)
{
    auto &member = m_members[record.id];
    // What the router says of itself is newer.
    if (member.heardAt != absl::InfinitePast())
        return;
    member.id = record.id;
    member.domain = record.domain;
    member.callerAddress = record.callerAddress;
    member.peerAddress = record.peerAddress;
}

bool RouterRoster::noteReport(const Member &report, absl::Time now)
{
    auto &member = m_members[report.id];
    // After a long silence the order of incarnations counts less: the clock that numbers them may have been
    // set back.
    if (report.incarnation < member.incarnation && isAlive(report.id, now))
        return false;
    const bool wasAlive = isAlive(report.id, now) && report.incarnation == member.incarnation;
    member = report;
    member.heardAt = now;
    return !wasAlive;
}

bool RouterRoster::isAlive(const RouterId &id, absl::Time now) const
{
    const auto it = m_members.find(id);
    return it != m_members.end() && now - it->second.heardAt <= silenceLimit;
}

std::vector<RouterRoster::Member> RouterRoster::members() const
{
    std::vector<Member> out;
    for (const auto &[id, member] : m_members)
        out.push_back(member);
    return out;
}

std::size_t RouterRoster::aliveCount(absl::Time now) const
{
    std::size_t n = 0;
    for (const auto &[id, member] : m_members)
        n += isAlive(id, now) ? 1 : 0;
    return n;
}

bool RouterRoster::isStoreTrustedByOthers(absl::Time now) const
{
    for (const auto &[id, member] : m_members) {
        if (member.isStoreTrusted && isAlive(id, now))
            return true;
    }
    return false;
}

bool RouterRoster::shouldWatch(const Member &self, std::size_t perDomain, absl::Time now) const
{
    std::size_t before = 0;
    for (const auto &[id, member] : m_members) {
        const bool isCandidate =
            member.isStoreTrusted && member.phase == RouterPhase::Serving && isAlive(id, now);
        if (isCandidate && member.domain == self.domain && id < self.id)
            ++before;
    }
    return before < perDomain;
}

std::vector<std::string> RouterRoster::entryPoints(const FailureDomain &domain, absl::Time now) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[id, member] : m_members) {
        if (!isAlive(id, now) || member.phase != RouterPhase::Serving)
            continue;
        (member.domain == domain ? near : far).push_back(member.callerAddress);
    }
    near.insert(near.end(), far.begin(), far.end());
    if (near.size() > maxEntryPoints)
        near.resize(maxEntryPoints);
    return near;
}

} // namespace Wisteria
