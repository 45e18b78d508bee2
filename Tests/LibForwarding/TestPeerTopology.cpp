// Tests the groups of routers and the slices of targets that they prefer.

#include <LibCore/Random.h>
#include <LibForwarding/PeerReport.h>
#include <LibForwarding/PeerTopology.h>
#include <LibForwarding/TargetSlices.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace Wisteria {

class TestPeerTopology : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPeerTopology);
    CPPUNIT_TEST(smallFleetIsOneGroup);
    CPPUNIT_TEST(groupsStayWithinDomainAndSize);
    CPPUNIT_TEST(membersAgreeOnTheirGroup);
    CPPUNIT_TEST(eachRouterIsInTheOwnGroupOrInOneOtherGroup);
    CPPUNIT_TEST(addedRouterChangesFewGroups);
    CPPUNIT_TEST(briefPeersCoverAllOtherGroups);
    CPPUNIT_TEST(reportsStayWithinTheirLimit);
    CPPUNIT_TEST(slicesAreEqualAndCoverAllTargets);
    CPPUNIT_TEST(smallServiceIsNotDivided);
    CPPUNIT_TEST(removedTargetChangesFewSlices);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallFleetIsOneGroup()
    {
        const auto topology = topologyOf(0, makeRouters(89, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, topology.groupCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{88}, topology.ownGroup().size());
        CPPUNIT_ASSERT(topology.selectBriefPeers(m_random).empty());
        constexpr auto interval = absl::Milliseconds(60);
        CPPUNIT_ASSERT(topology.loadReportInterval(interval) == interval);
    }

    void groupsStayWithinDomainAndSize()
    {
        for (const int count : {101, 295, 410, 1000}) {
            const auto routers = makeRouters(count, 5);
            for (std::size_t n = 0; n < routers.size(); n += 17) {
                const auto topology = topologyOf(n, routers);
                CPPUNIT_ASSERT(topology.groupCount() > 1);
                // Groups are drawn by hashes, so some are larger than expected.
                CPPUNIT_ASSERT(topology.ownGroup().size() < 2 * PeerTopologyLimits{}.maxGroupSize);
                for (const auto &it : topology.ownGroup())
                    CPPUNIT_ASSERT(domainOf(it, routers) == routers[n].domain);
            }
        }
    }

    void membersAgreeOnTheirGroup()
    {
        const auto routers = makeRouters(295, 5);
        std::vector<PeerTopology> topologies;
        for (std::size_t n = 0; n < routers.size(); ++n)
            topologies.push_back(topologyOf(n, routers));
        for (std::size_t a = 0; a < routers.size(); ++a) {
            for (std::size_t b = 0; b < routers.size(); ++b) {
                const bool aHasB = topologies[a].isInOwnGroup(routers[b].id);
                CPPUNIT_ASSERT_EQUAL(aHasB, topologies[b].isInOwnGroup(routers[a].id));
                if (aHasB)
                    CPPUNIT_ASSERT_EQUAL(topologies[a].ownGroupIndex(), topologies[b].ownGroupIndex());
            }
        }
    }

    // A router that asks for a permit finds the group that issues it.
    void eachRouterIsInTheOwnGroupOrInOneOtherGroup()
    {
        const auto routers = makeRouters(295, 5);
        const auto topology = topologyOf(3, routers);
        for (const auto &it : routers) {
            const auto *group = topology.otherGroupOf(it.id);
            const bool isInOwnGroup = it.id == routers[3].id || topology.isInOwnGroup(it.id);
            CPPUNIT_ASSERT_EQUAL(isInOwnGroup, group == nullptr);
            if (group)
                CPPUNIT_ASSERT(std::find(group->begin(), group->end(), it.id) != group->end());
        }
    }

    // Of two routers that start together, one may not know the other yet.
    void addedRouterChangesFewGroups()
    {
        auto routers = makeRouters(295, 5);
        const auto before = topologyOf(0, routers);
        routers.push_back({RouterId("added"), routers[1].domain});
        const auto after = topologyOf(0, routers);
        CPPUNIT_ASSERT_EQUAL(before.groupCount(), after.groupCount());
        CPPUNIT_ASSERT_EQUAL(before.ownGroupIndex(), after.ownGroupIndex());
        CPPUNIT_ASSERT(before.ownGroup() == after.ownGroup());
    }

    void briefPeersCoverAllOtherGroups()
    {
        const auto routers = makeRouters(295, 5);
        const auto topology = topologyOf(0, routers);
        std::map<std::size_t, int> groups;
        for (const auto &it : topology.selectBriefPeers(m_random)) {
            CPPUNIT_ASSERT(!topology.isInOwnGroup(it));
            ++groups[topologyOf(indexOf(it, routers), routers).ownGroupIndex()];
        }
        CPPUNIT_ASSERT_EQUAL(topology.groupCount() - 1, groups.size());
    }

    // A router spends at most 25 KB/s on control at 410 routers, the size to design for.
    void reportsStayWithinTheirLimit()
    {
        constexpr double limitBytesPerSecond = 25000;
        const auto routers = makeRouters(410, 6);
        // A router of that fleet has about a dozen generations and copies on targets.
        const auto report = makeReport(12);
        const auto fullBytes = static_cast<double>(encodePeerReport(report).size());
        const auto briefBytes = static_cast<double>(encodePeerReport(report.brief()).size());
        constexpr auto minInterval = absl::Milliseconds(60);
        constexpr auto maxInterval = absl::Milliseconds(500);
        double sum = 0;
        for (std::size_t n = 0; n < routers.size(); ++n) {
            const auto topology = topologyOf(n, routers);
            const double fullPerSecond = static_cast<double>(topology.ownGroup().size())
                / absl::ToDoubleSeconds(topology.loadReportInterval(minInterval));
            const double briefPerSecond =
                static_cast<double>(topology.groupCount() - 1) / absl::ToDoubleSeconds(maxInterval);
            sum += fullPerSecond * fullBytes + briefPerSecond * briefBytes;
        }
        CPPUNIT_ASSERT(sum / static_cast<double>(routers.size()) <= limitBytesPerSecond);
    }

    void slicesAreEqualAndCoverAllTargets()
    {
        constexpr std::size_t groups = 10;
        constexpr int domains = 5;
        const auto targets = makeTargets(480, domains);
        std::map<TargetId, int> covered;
        for (std::size_t group = 0; group < groups; ++group) {
            const auto slice = TargetSlices::select(group, groups, targets);
            std::map<FailureDomain, int> byDomain;
            for (const auto &it : targets) {
                if (!slice.contains(it.id))
                    continue;
                ++covered[it.id];
                ++byDomain[it.domain];
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{domains}, byDomain.size());
            for (const auto &[domain, n] : byDomain)
                CPPUNIT_ASSERT(n == 9 || n == 10);
        }
        CPPUNIT_ASSERT_EQUAL(targets.size(), covered.size());
        for (const auto &[id, n] : covered)
            CPPUNIT_ASSERT_EQUAL(1, n);
    }

    void smallServiceIsNotDivided()
    {
        CPPUNIT_ASSERT(TargetSlices::select(3, 10, makeTargets(6, 5)).empty());
        CPPUNIT_ASSERT(
            TargetSlices::select(0, 10, makeTargets(2 * TargetSlices::minTargetsPerSlice - 1, 5)).empty());
        // Groups share slices when there are fewer slices than groups.
        const auto targets = makeTargets(2 * TargetSlices::minTargetsPerSlice, 5);
        CPPUNIT_ASSERT(TargetSlices::select(1, 10, targets) == TargetSlices::select(3, 10, targets));
        CPPUNIT_ASSERT_EQUAL(TargetSlices::minTargetsPerSlice, TargetSlices::select(1, 10, targets).size());
        CPPUNIT_ASSERT(TargetSlices::select(0, 1, targets).empty());
    }

    void removedTargetChangesFewSlices()
    {
        constexpr std::size_t groups = 10;
        auto targets = makeTargets(480, 5);
        const auto before = TargetSlices::select(4, groups, targets);
        targets.erase(targets.begin() + 100);
        const auto after = TargetSlices::select(4, groups, targets);
        std::size_t kept = 0;
        for (const auto &it : after)
            kept += before.contains(it) ? 1 : 0;
        constexpr std::size_t maxChanges = 3;
        CPPUNIT_ASSERT(kept + maxChanges >= before.size());
    }

private:
    static std::vector<PeerTopology::Router> makeRouters(int count, int domains)
    {
        std::vector<PeerTopology::Router> out;
        for (int n = 0; n < count; ++n) {
            const auto domain = absl::StrCat("zone-", n % domains);
            out.push_back(
                {RouterId(absl::StrCat("front-", domain, "-", n / domains + 1)), FailureDomain(domain)});
        }
        return out;
    }

    static std::vector<TargetSlices::Target> makeTargets(std::size_t count, int domains)
    {
        std::vector<TargetSlices::Target> out;
        for (std::size_t n = 0; n < count; ++n) {
            out.push_back({TargetId(absl::StrCat("i-", 7919 * n)),
                           FailureDomain(absl::StrCat("zone-", n % static_cast<std::size_t>(domains)))});
        }
        return out;
    }

    static PeerTopology topologyOf(std::size_t self, const std::vector<PeerTopology::Router> &routers)
    {
        auto others = routers;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
        PeerTopology topology;
        topology.update(routers[self], others);
        return topology;
    }

    static std::size_t indexOf(const RouterId &id, const std::vector<PeerTopology::Router> &routers)
    {
        std::size_t n = 0;
        while (routers.at(n).id != id)
            ++n;
        return n;
    }

    static FailureDomain domainOf(const RouterId &id, const std::vector<PeerTopology::Router> &routers)
    {
        return routers[indexOf(id, routers)].domain;
    }

    static PeerReport makeReport(int loads)
    {
        PeerReport report;
        report.router = {.id = RouterId("front-zone-3-41"),
                         .domain = FailureDomain("zone-3"),
                         .callerAddress = "10.200.31.141:8227",
                         .peerAddress = "10.200.31.141:7340",
                         .incarnation = Incarnation(1764834450123456),
                         .reportSequence = 5000};
        report.configurationPosition = {StoreEra(2), ObjectVersion(90000)};
        report.targetsPosition = {StoreEra(2), ObjectVersion(90000)};
        for (int n = 0; n < loads; ++n) {
            report.loads[TargetId(absl::StrCat("i-0cdaa4c5", 10 + n))] = {
                .requests = 1, .pendingPrefillTokens = 8000, .memoryTokens = 9000};
        }
        report.counts[ServiceName("huvo11a")] = {.requests = 100000, .retries = 20000};
        report.counts[ServiceName("wuno96b")] = {.requests = 100000, .retries = 20000};
        return report;
    }

    SeededRandom m_random{5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerTopology);

} // namespace Wisteria
