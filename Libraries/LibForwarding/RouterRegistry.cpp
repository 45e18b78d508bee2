// Registry of routers, keyed by id.

#include <LibForwarding/RouterRegistry.h>

namespace Wisteria {

void RouterRegistry::upsertRecord(const Member &record)
{
    auto &member = m_members[record.id];
    // The router's own reports are newer than its entry in the store.
    if (member.lastReportAt != absl::InfinitePast())
        return;
    member.id = record.id;
    member.domain = record.domain;
    member.callerAddress = record.callerAddress;
    member.peerAddress = record.peerAddress;
}

ReportOrder RouterRegistry::recordReport(const Member &report, absl::Time now)
{
    auto &member = m_members[report.id];
    const bool isKnownAlive = isAlive(report.id, now);
    // A smaller incarnation is accepted once the router has timed out, since the clock that incarnations are
    // derived from may have been set back.
    if (report.incarnation < member.incarnation && isKnownAlive)
        return ReportOrder::Outdated;
    const bool isSameIncarnation =
        report.incarnation == member.incarnation && member.lastReportAt != absl::InfinitePast();
    if (isSameIncarnation && report.reportSequence <= member.reportSequence)
        return ReportOrder::Outdated;
    member = report;
    member.lastReportAt = now;
    return isKnownAlive && isSameIncarnation ? ReportOrder::Next : ReportOrder::First;
}

bool RouterRegistry::isAlive(const RouterId &id, absl::Time now) const
{
    const auto it = m_members.find(id);
    return it != m_members.end() && now - it->second.lastReportAt <= livenessTimeout;
}

std::vector<RouterRegistry::Member> RouterRegistry::members() const
{
    std::vector<Member> out;
    for (const auto &[id, member] : m_members)
        out.push_back(member);
    return out;
}

std::size_t RouterRegistry::aliveCount(absl::Time now) const
{
    std::size_t n = 0;
    for (const auto &[id, member] : m_members)
        n += isAlive(id, now) ? 1 : 0;
    return n;
}

bool RouterRegistry::isStoreTrustedByOthers(absl::Time now) const
{
    for (const auto &[id, member] : m_members) {
        if (member.isStoreTrusted && isAlive(id, now))
            return true;
    }
    return false;
}

bool RouterRegistry::shouldWatchStore(const Member &self, std::size_t perDomain, absl::Time now) const
{
    std::size_t earlierCandidates = 0;
    for (const auto &[id, member] : m_members) {
        const bool isCandidate =
            member.isStoreTrusted && member.phase == RouterPhase::Serving && isAlive(id, now);
        if (isCandidate && member.domain == self.domain && id < self.id)
            ++earlierCandidates;
    }
    return earlierCandidates < perDomain;
}

std::vector<std::string> RouterRegistry::entryPoints(const FailureDomain &domain, absl::Time now) const
{
    std::vector<std::string> sameDomain;
    std::vector<std::string> otherDomains;
    for (const auto &[id, member] : m_members) {
        if (!isAlive(id, now) || member.phase != RouterPhase::Serving)
            continue;
        (member.domain == domain ? sameDomain : otherDomains).push_back(member.callerAddress);
    }
    sameDomain.insert(sameDomain.end(), otherDomains.begin(), otherDomains.end());
    if (sameDomain.size() > maxEntryPoints)
        sameDomain.resize(maxEntryPoints);
    return sameDomain;
}

} // namespace Wisteria
