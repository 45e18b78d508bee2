// Slopes of the gossip over the number of routers: messages, bytes, processor time and memory of one router.

#include "Cost.h"
#include "Slopes.h"

#include <LibMembership/MemberTable.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

namespace Wisteria::Measure {

namespace detail {

// Sizes in the protocol buffer encoding of LibPeer/Peer.proto, without what gRPC and TCP add.
std::size_t varintBytes(std::uint64_t value)
{
    constexpr int bitsPerByte = 7;
    std::size_t n = 1;
    while (value >>= bitsPerByte)
        ++n;
    return n;
}

std::size_t fieldBytes(std::uint64_t value)
{
    return value == 0 ? 0 : 1 + varintBytes(value);
}

std::size_t fieldBytes(const std::string &text)
{
    return text.empty() ? 0 : 1 + varintBytes(text.size()) + text.size();
}

std::size_t nestedBytes(std::size_t size)
{
    return 1 + varintBytes(size) + size;
}

std::size_t wireBytes(const RouterRecord &it)
{
    return fieldBytes(it.id.value()) + fieldBytes(it.incarnation.value()) + fieldBytes(it.sequence)
        + fieldBytes(static_cast<std::uint64_t>(it.phase)) + fieldBytes(it.callerAddress)
        + fieldBytes(it.peerAddress) + fieldBytes(it.domain.value()) + fieldBytes(it.loadPerMille);
}

std::size_t wireBytes(const TargetRecord &it)
{
    return fieldBytes(it.id.value()) + fieldBytes(static_cast<std::uint64_t>(it.health))
        + fieldBytes(it.round) + fieldBytes(it.observedBy.value());
}

std::size_t wireBytes(const GossipMessage &message)
{
    std::size_t sum = nestedBytes(wireBytes(message.sender)) + fieldBytes(message.digest) + 2;
    for (const auto &it : message.routers)
        sum += nestedBytes(wireBytes(it));
    for (const auto &it : message.targets)
        sum += nestedBytes(wireBytes(it));
    for (const auto &it : message.demand)
        sum += nestedBytes(fieldBytes(it.workspace.value()) + fieldBytes(it.generations));
    return sum;
}

// Member tables that gossip without delay or loss.
class GossipFleet
{
public:
    GossipFleet(std::uint32_t routers, std::uint32_t workspaces, std::uint32_t targets)
    {
        const auto configuration = sizedConfiguration(workspaces, targets, 7);
        std::vector<std::string> seeds;
        for (std::uint32_t n = 0; n < std::min(routers, 3U); ++n)
            seeds.push_back(address(n));
        const double before = heapBytes();
        for (std::uint32_t n = 0; n < routers; ++n) {
            m_randoms.push_back(std::make_unique<SeededRandom>(n + 1));
            m_tables.push_back(MemberTable::create(recordOf(n), seeds, *m_randoms.back()));
            m_byAddress[address(n)] = n;
            perform(n, m_tables[n]->handle(MembersConfigured{configuration}, m_now));
        }
        m_heapBefore = before;
        for (std::uint32_t n = 0; n < workspaces; ++n)
            m_demand.push_back(WorkspaceDemand{WorkspaceName(absl::StrCat("workspace-", n)), 1 + n % 7});
    }

    void runFor(absl::Duration duration)
    {
        const absl::Time end = m_now + duration;
        while (m_now < end) {
            m_now += roundLength;
            for (std::uint32_t n = 0; n < m_tables.size(); ++n)
                tick(n);
        }
    }

    // The first router leaves; the time until all others know it.
    [[nodiscard]] absl::Duration spreadLeave()
    {
        const absl::Time began = m_now;
        constexpr absl::Duration longest = absl::Seconds(60);
        perform(0, m_tables[0]->handle(LeaveStarted{}, m_now));
        while (!isLeaveKnown() && m_now - began < longest)
            runFor(roundLength);
        return m_now - began;
    }

    void resetCounts() { m_messages = m_bytes = m_largest = 0; }
    // Gossip messages and their answers, sent by all routers together.
    [[nodiscard]] double messages() const { return static_cast<double>(m_messages); }
    [[nodiscard]] double bytes() const { return static_cast<double>(m_bytes); }
    [[nodiscard]] std::size_t largest() const { return m_largest; }
    [[nodiscard]] double bytesPerTable() const
    {
        return (heapBytes() - m_heapBefore) / static_cast<double>(m_tables.size());
    }

private:
    [[nodiscard]] bool isLeaveKnown() const
    {
        for (std::size_t n = 1; n < m_tables.size(); ++n) {
            const auto routers = m_tables[n]->routers();
            auto it = std::ranges::find(routers, RouterId("router-0"), &RouterRecord::id);
            if (it == routers.end() || it->phase != MemberPhase::Leaving)
                return false;
        }
        return true;
    }

    static constexpr absl::Duration roundLength = absl::Milliseconds(500);

    static std::string address(std::uint32_t n)
    {
        return absl::StrCat("10.2.", n / 250, ".", n % 250, ":7000");
    }

    static RouterRecord recordOf(std::uint32_t n)
    {
        return RouterRecord{.id = RouterId(absl::StrCat("router-", n)),
                            .incarnation = Incarnation(1700000000000 + n),
                            .callerAddress = absl::StrCat("10.2.", n / 250, ".", n % 250, ":8080"),
                            .peerAddress = address(n),
                            .domain = FailureDomain(absl::StrCat("d", n % 6))};
    }

    void tick(std::uint32_t n)
    {
        // Each router's own load and demand change a little all the time.
        const auto load = static_cast<std::uint32_t>(400 + m_randoms[n]->below(200));
        perform(n, m_tables[n]->handle(OwnStateChanged{load, m_demand}, m_now));
        perform(n, m_tables[n]->handle(MembershipTick{}, m_now));
    }

    void count(const GossipMessage &message)
    {
        const std::size_t size = wireBytes(message);
        ++m_messages;
        m_bytes += size;
        m_largest = std::max(m_largest, size);
    }

    void perform(std::uint32_t from, const MembershipActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<SendGossip>(&action))
                exchange(from, *send);
        }
    }

    void exchange(std::uint32_t from, const SendGossip &send)
    {
        auto it = m_byAddress.find(send.peerAddress);
        if (it == m_byAddress.end() || it->second >= m_tables.size())
            return;
        const std::uint32_t to = it->second;
        count(send.message);
        perform(to, m_tables[to]->handle(GossipReceived{send.message}, m_now));
        const GossipMessage answer = m_tables[to]->answerTo(send.message, m_now);
        count(answer);
        perform(from, m_tables[from]->handle(GossipReceived{answer}, m_now));
    }

    absl::Time m_now{absl::UnixEpoch() + absl::Hours(1)};
    double m_heapBefore{0};
    std::vector<std::unique_ptr<SeededRandom>> m_randoms;
    std::vector<std::unique_ptr<MemberTable>> m_tables;
    absl::flat_hash_map<std::string, std::uint32_t> m_byAddress;
    std::vector<WorkspaceDemand> m_demand;
    std::size_t m_messages{0};
    std::size_t m_bytes{0};
    std::size_t m_largest{0};
};

} // namespace detail

void printGossipSlopes()
{
    std::cout << "gossip of one router by routers and workspaces, 600 targets, after 30 s, over 20 s\n";
    std::cout << absl::StreamFormat("  %8s %10s %12s %12s %14s %12s %14s %14s\n", "routers", "workspaces",
                                    "messages/s", "bytes/s out", "largest bytes", "cpu us/s", "memory bytes",
                                    "leave known s");
    constexpr absl::Duration settling = absl::Seconds(30);
    constexpr absl::Duration measured = absl::Seconds(20);
    constexpr std::uint32_t targets = 600;
    for (std::uint32_t routers : {7, 50, 150, 410}) {
        for (std::uint32_t workspaces : {10, 310}) {
            detail::GossipFleet fleet(routers, workspaces, targets);
            fleet.runFor(settling);
            fleet.resetCounts();
            const double spent = microsecondsOf([&] { fleet.runFor(measured); });
            const double routerSeconds = absl::ToDoubleSeconds(measured) * routers;
            const double messages = fleet.messages() / routerSeconds;
            const double bytes = fleet.bytes() / routerSeconds;
            const std::size_t largest = fleet.largest();
            const double memory = fleet.bytesPerTable();
            const double leaveSeconds = absl::ToDoubleSeconds(fleet.spreadLeave());
            std::cout << absl::StreamFormat("  %8d %10d %12.2f %12.0f %14d %12.0f %14.0f %14.1f\n", routers,
                                            workspaces, messages, bytes, largest, spent / routerSeconds,
                                            memory, leaveSeconds);
        }
    }
}

} // namespace Wisteria::Measure
