// Registry of routers, keyed by id.

#include <LibForwarding/RouterRegistry.h>

#include <algorithm>
#include <tuple>

namespace Wisteria {

RouterRegistry::Member &RouterRegistry::memberFor(const RouterId &id, const FailureDomain &domain)
{
    const auto [it, isNew] = m_members.try_emplace(id);
    if (isNew || it->second.domain != domain)
        ++m_membershipVersion;
    return it->second;
}

void RouterRegistry::upsertRecord(const Member &record)
{
    auto &member = memberFor(record.id, record.domain);
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
    auto &member = memberFor(report.id, report.domain);
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
    return it != m_members.end() && isHeard(it->second, livenessTimeout, now);
}

bool RouterRegistry::isHeard(const Member &member, absl::Duration maxSilence, absl::Time now)
{
    return now - member.lastReportAt <= maxSilence;
}

std::vector<RouterRegistry::Member> RouterRegistry::members() const
{
    std::vector<Member> out;
    for (const auto &[id, member] : m_members)
        out.push_back(member);
    return out;
}

const RouterRegistry::Member *RouterRegistry::find(const RouterId &id) const
{
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

std::size_t RouterRegistry::aliveCountAmong(const std::vector<RouterId> &ids, absl::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(ids.begin(), ids.end(), [&](const RouterId &it) { return isAlive(it, now); }));
}

std::size_t RouterRegistry::aliveCount(absl::Time now) const
{
    std::size_t n = 0;
    for (const auto &[id, member] : m_members)
        n += isAlive(id, now) ? 1 : 0;
    return n;
}

std::vector<const RouterRegistry::Member *>
RouterRegistry::longestServing(std::size_t count, StoreTrust trust, absl::Time now) const
{
    std::vector<const Member *> found;
    for (const auto &[id, member] : m_members) {
        if (member.phase == RouterPhase::Serving && isHeard(member, livenessTimeout, now)
            && (member.isStoreTrusted || trust == StoreTrust::NotNeeded))
            found.push_back(&member);
    }
    count = std::min(count, found.size());
    const auto end = found.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(found.begin(), end, found.end(), [](const Member *one, const Member *other) {
        return std::tie(one->incarnation, one->id) < std::tie(other->incarnation, other->id);
    });
    found.resize(count);
    return found;
}

bool RouterRegistry::isStoreTrustedByOthers(absl::Time now) const
{
    for (const auto &[id, member] : m_members) {
        if (member.isStoreTrusted && isAlive(id, now))
            return true;
    }
    return false;
}

bool RouterRegistry::shouldWatchStore(const Member &self, const std::vector<RouterId> &group,
                                      std::size_t perDomain, absl::Duration maxSilence, absl::Time now) const
{
    std::size_t earlierServing = 0;
    std::size_t earlierTrusted = 0;
    for (const auto &id : group) {
        const auto *member = find(id);
        if (!member || member->domain != self.domain || !(id < self.id)
            || member->phase != RouterPhase::Serving || !isHeard(*member, maxSilence, now))
            continue;
        ++earlierServing;
        earlierTrusted += member->isStoreTrusted ? 1 : 0;
    }
    return earlierTrusted < perDomain && earlierServing < maxWatcherFactor * perDomain;
}

std::size_t RouterRegistry::countHeardBefore(const RouterId &self, const std::vector<RouterId> &group,
                                             absl::Duration maxSilence, absl::Time now) const
{
    return static_cast<std::size_t>(std::count_if(group.begin(), group.end(), [&](const RouterId &it) {
        const auto *member = find(it);
        return member && it < self && isHeard(*member, maxSilence, now);
    }));
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
