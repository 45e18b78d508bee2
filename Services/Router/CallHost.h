// Carries out the ledger's actions: claims in the object API, dispatches, forwarding to the owner of a key.
// Runs on the decision thread only.

#pragma once

#include <LibLedger/CallLedger.h>
#include <LibPeer/PeerClient.h>
#include <LibPlatform/ObjectStore.h>
#include <Router/DecisionLog.h>
#include <Router/Metrics.h>
#include <Router/TargetCalls.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>

namespace Wisteria {

// A call as it came from a caller or from a peer.
struct CallRequest
{
    WorkspaceName workspace;
    ServiceName service;
    IdempotencyKey key;
    std::string body;
    absl::Time deadline;
    // The caller's count of its requests under the key; zero when it does not say.
    std::uint32_t attempt{0};
    CallSource source{CallSource::Caller};
    // Called once, on the decision thread.
    std::function<void(CallAnswer)> answer;
};

class CallHost
{
public:
    using PeerAddressLookup = std::function<std::optional<std::string>(const RouterId &)>;

    // All references must outlive the host.
    CallHost(const RouterId &self, Incarnation incarnation, RandomSource &random, EventSink &sink,
             ObjectStore &store, PeerClient &peers, TargetCalls &calls, DecisionLog &log, Metrics &metrics,
             PeerAddressLookup peerAddress);

    void submit(CallRequest &&request, absl::Time now);
    void handle(const LedgerEvent &event, absl::Time now);

    [[nodiscard]] CallLedger &ledger() { return *m_ledger; }

private:
    void carryOut(const LedgerAction &action, absl::Time now);
    void act(const WriteClaim &action);
    void act(const ReadClaim &action);
    void act(const Dispatch &action, absl::Time now);
    void act(const ForwardToOwner &action, absl::Time now);
    void act(const AnswerCall &action);

    std::unique_ptr<CallLedger> m_ledger;
    EventSink &m_sink;
    ObjectStore &m_store;
    PeerClient &m_peers;
    TargetCalls &m_calls;
    DecisionLog &m_log;
    Metrics &m_metrics;
    PeerAddressLookup m_peerAddress;
    std::uint64_t m_lastCall{0};
    // Invariant: holds each call from submit() until the ledger answered it.
    absl::flat_hash_map<CallId, CallRequest> m_requests;
    // Declared last: its threads use everything above.
    ElasticPool m_pool;
};

} // namespace Wisteria
