// Slopes of the configuration and of the ledger, and the order of the tables.

#include "Slopes.h"

#include "Cost.h"

#include <LibLedger/CallLedger.h>
#include <LibMembership/MemberTable.h>
#include <LibRouting/Router.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <array>
#include <iostream>
#include <latch>
#include <thread>
#include <utility>
#include <vector>

namespace Wisteria::Measure {

namespace detail {

constexpr std::uint32_t slopeSlots = 128;

double configurationMicroseconds(const FleetConfiguration &configuration)
{
    SeededRandom random(1);
    auto router = Router::create(random);
    const absl::Time now = absl::UnixEpoch();
    return microsecondsOf([&] { (void)router->handle(ConfigurationChanged{configuration}, now); });
}

double membershipMicroseconds(const FleetConfiguration &configuration)
{
    SeededRandom random(1);
    auto table = MemberTable::create(RouterRecord{.id = RouterId("r0")}, {}, random);
    const absl::Time now = absl::UnixEpoch();
    return microsecondsOf([&] { (void)table->handle(MembersConfigured{configuration}, now); });
}

// One call under a ticket, up to its answer.
void runTicketedCall(CallLedger &ledger, std::uint64_t number, absl::Time now)
{
    CallReceived call;
    call.call = CallId(number);
    call.workspace = WorkspaceName("w0");
    call.service = ServiceName("bookings");
    call.key = ledger.issueTicket(now);
    call.digest = BodyDigest(number);
    (void)ledger.handle(call, now);
    (void)ledger.handle(TargetAnswered{call.call, 200, std::string(128, 'x')}, now);
}

} // namespace detail

FleetConfiguration sizedConfiguration(std::uint32_t workspaces, std::uint32_t targets, std::uint32_t routers)
{
    FleetConfiguration out;
    out.version = ConfigVersion(1);
    const ServiceName service("summariser");
    out.services[service] = ServiceSpec{.name = service, .model = ModelName("model"), .modelVersion = "1"};
    for (std::uint32_t n = 0; n < workspaces; ++n) {
        const WorkspaceName name(absl::StrCat("workspace-", n));
        out.workspaces[name] = WorkspaceSpec{.name = name, .maxGenerations = 100000};
    }
    for (std::uint32_t n = 0; n < targets; ++n) {
        const TargetId id(absl::StrCat("engine-", n));
        out.targets[id] = TargetSpec{.id = id,
                                     .service = service,
                                     .address = absl::StrCat("10.1.", n / 250, ".", n % 250, ":8000"),
                                     .domain = FailureDomain(absl::StrCat("d", n % 6)),
                                     .slots = detail::slopeSlots};
    }
    for (std::uint32_t n = 0; n < routers; ++n) {
        out.countedRouters.push_back(CountedRouter{RouterId(absl::StrCat("router-", n)),
                                                   absl::StrCat("10.2.", n / 250, ".", n % 250, ":7000"),
                                                   FailureDomain(absl::StrCat("d", n % 6))});
    }
    out.presetInForce = PresetName("ordinary");
    out.presets[out.presetInForce] = PresetSpec{.name = out.presetInForce};
    return out;
}

void printConfigurationSlopes()
{
    std::cout << "configuration by workspaces, targets and counted routers\n";
    std::cout << absl::StreamFormat("  %10s %8s %8s %12s %12s %12s %12s %12s %12s\n", "workspaces", "targets",
                                    "routers", "json bytes", "heap bytes", "write us", "parse us",
                                    "router us", "members us");
    constexpr std::array<std::array<std::uint32_t, 3>, 4> sizes{
        {{10, 30, 7}, {100, 150, 50}, {310, 300, 150}, {310, 600, 410}}};
    for (const auto &[workspaces, targets, routers] : sizes) {
        const double before = heapBytes();
        const auto configuration = sizedConfiguration(workspaces, targets, routers);
        const double heap = heapBytes() - before;
        std::string json;
        const double writing = microsecondsOf([&] { json = toJson(configuration); });
        const double parsing = microsecondsOf([&] { (void)fleetConfigurationFromJson(json); });
        std::cout << absl::StreamFormat("  %10d %8d %8d %12d %12.0f %12.0f %12.0f %12.0f %12.0f\n",
                                        workspaces, targets, routers, json.size(), heap, writing, parsing,
                                        detail::configurationMicroseconds(configuration),
                                        detail::membershipMicroseconds(configuration));
    }
}

void printLedgerSlopes()
{
    std::cout << "ticketed calls of one ledger, 128 bytes an answer\n";
    std::cout << absl::StreamFormat("  %10s %14s %18s\n", "calls", "us a call", "bytes kept a call");
    for (std::uint64_t calls : {1000, 10000, 50000}) {
        SeededRandom random(1);
        auto ledger = CallLedger::create(RouterId("router-0"), Incarnation(1), random);
        const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
        const double before = heapBytes();
        const double spent = microsecondsOf([&] {
            for (std::uint64_t n = 1; n <= calls; ++n)
                detail::runTicketedCall(*ledger, n, now);
        });
        const auto n = static_cast<double>(calls);
        std::cout << absl::StreamFormat("  %10d %14.2f %18.0f\n", calls, spent / n,
                                        (heapBytes() - before) / n);
    }
}

void printClaimCalls()
{
    SeededRandom random(1);
    auto ledger = CallLedger::create(RouterId("router-0"), Incarnation(1), random);
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    CallReceived call;
    call.call = CallId(1);
    call.workspace = WorkspaceName("w0");
    call.service = ServiceName("bookings");
    call.key = IdempotencyKey("a-caller's-own-key");
    call.digest = BodyDigest(1);
    call.attempt = 1;
    std::size_t writes = 0;
    std::size_t reads = 0;
    auto count = [&](const LedgerActions &actions) {
        for (const auto &it : actions) {
            writes += std::holds_alternative<WriteClaim>(it) ? 1 : 0;
            reads += std::holds_alternative<ReadClaim>(it) ? 1 : 0;
        }
    };
    count(ledger->handle(call, now));
    count(ledger->handle(ClaimWritten{call.call, ClaimWriteResult::Applied, ObjectVersion(1)}, now));
    count(ledger->handle(TargetAnswered{call.call, 200, "done"}, now));
    count(ledger->handle(ClaimWritten{call.call, ClaimWriteResult::Applied, ObjectVersion(2)}, now));
    std::cout << absl::StreamFormat("a claimed call without faults: %d store writes, %d store reads\n",
                                    writes, reads);
}

void printThreadCost()
{
    constexpr int threadCount = 300;
    std::latch allStarted(threadCount);
    std::latch stop(1);
    const double before = residentBytes();
    std::vector<std::jthread> threads;
    threads.reserve(threadCount);
    for (int n = 0; n < threadCount; ++n) {
        threads.emplace_back([&] {
            allStarted.count_down();
            stop.wait();
        });
    }
    allStarted.wait();
    const double grown = residentBytes() - before;
    stop.count_down();
    std::cout << absl::StreamFormat("a waiting thread: %.0f resident bytes\n", grown / threadCount);
}

int printSlopes()
{
    printRouterSlopes();
    printGossipSlopes();
    printConfigurationSlopes();
    printLedgerSlopes();
    printClaimCalls();
    printThreadCost();
    return 0;
}

} // namespace Wisteria::Measure
