// Carries out ledger actions; everything that blocks runs on a pool and comes back as a ledger event.

#include <Router/CallHost.h>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace Wisteria {

namespace detail {

constexpr const char *claimKind = "claims";
constexpr std::size_t maxStoreThreads = 32;

ClaimWriteResult writeResultOf(const ErrorOr<ObjectVersion> &result)
{
    if (result)
        return ClaimWriteResult::Applied;
    switch (result.error().code) {
    case ErrorCode::Conflict:
        return ClaimWriteResult::Conflict;
    case ErrorCode::StoreUnavailable:
        return ClaimWriteResult::NotApplied;
    default:
        return ClaimWriteResult::Indeterminate;
    }
}

ClaimRead readResultOf(CallId call, const ErrorOr<std::optional<StoredObject>> &object)
{
    ClaimRead read{call};
    if (!object)
        return read;
    read.answered = true;
    if (!*object)
        return read;
    auto record = claimRecordFromJson((*object)->body);
    if (!record) {
        read.answered = false;
        return read;
    }
    read.record = *std::move(record);
    read.version = (*object)->version;
    return read;
}

BodyDigest digestOf(const std::string &body)
{
    return BodyDigest(XXH64(body.data(), body.size(), 0));
}

} // namespace detail

CallHost::CallHost(const RouterId &self, Incarnation incarnation, RandomSource &random, EventSink &sink,
                   ObjectStore &store, PeerClient &peers, TargetCalls &calls, DecisionLog &log,
                   Metrics &metrics, PeerAddressLookup peerAddress)
    : m_ledger(CallLedger::create(self, incarnation, random)), m_sink(sink), m_store(store), m_peers(peers),
      m_calls(calls), m_log(log), m_metrics(metrics), m_peerAddress(std::move(peerAddress)),
      m_pool("claim-store", detail::maxStoreThreads)
{
}

void CallHost::submit(CallRequest &&request, absl::Time now)
{
    CallId call(++m_lastCall);
    CallReceived received;
    received.call = call;
    received.workspace = request.workspace;
    received.service = request.service;
    received.key = request.key;
    received.digest = detail::digestOf(request.body);
    received.deadline = request.deadline;
    received.attempt = request.attempt;
    received.source = request.source;
    m_requests.emplace(call, std::move(request));
    handle(received, now);
}

void CallHost::handle(const LedgerEvent &event, absl::Time now)
{
    for (const auto &it : m_ledger->handle(event, now))
        carryOut(it, now);
}

void CallHost::carryOut(const LedgerAction &action, absl::Time now)
{
    if (const auto *it = std::get_if<WriteClaim>(&action)) {
        act(*it);
    } else if (const auto *it = std::get_if<ReadClaim>(&action)) {
        act(*it);
    } else if (const auto *it = std::get_if<Dispatch>(&action)) {
        act(*it, now);
    } else if (const auto *it = std::get_if<ForwardToOwner>(&action)) {
        act(*it, now);
    } else if (const auto *it = std::get_if<AnswerCall>(&action)) {
        act(*it);
    } else if (const auto *it = std::get_if<RecordCallDecision>(&action)) {
        auto request = m_requests.find(it->call);
        m_log.recordCall(request == m_requests.end() ? "-" : request->second.key.value(), it->decision,
                         it->reason);
    }
}

void CallHost::act(const WriteClaim &action)
{
    m_pool.post([this, action] {
        auto result =
            m_store.put(detail::claimKind, action.name.value(), toJson(action.record), action.expected);
        auto version = result ? *result : ObjectVersion();
        m_sink.post(LedgerEvent(ClaimWritten{action.call, detail::writeResultOf(result), version}));
    });
}

void CallHost::act(const ReadClaim &action)
{
    m_pool.post([this, action] {
        auto object = m_store.get(detail::claimKind, action.name.value());
        m_sink.post(LedgerEvent(detail::readResultOf(action.call, object)));
    });
}

void CallHost::act(const Dispatch &action, absl::Time now)
{
    auto it = m_requests.find(action.call);
    if (it == m_requests.end()) {
        // The call was answered already, so nothing of it may be sent any more.
        handle(DispatchFailed{action.call, BytesSent::None}, now);
        return;
    }
    m_calls.dispatchOnce(action.call, action.service, it->second.key, it->second.body,
                         it->second.deadline - now);
}

void CallHost::act(const ForwardToOwner &action, absl::Time now)
{
    auto it = m_requests.find(action.call);
    if (it == m_requests.end())
        return;
    const auto &request = it->second;
    ForwardedCall call{action.incarnation, request.workspace, request.service,
                       request.key,        request.body,      request.deadline - now};
    auto address = m_peerAddress(action.owner);
    m_pool.post([this, id = action.call, address, call = std::move(call)] {
        OwnerAnswered answered{id};
        auto answer = address
            ? m_peers.forwardCall(*address, call)
            : ErrorOr<CallAnswer>(makeError(ErrorCode::ConnectionFailed, "address unknown"));
        if (answer)
            answered.answer = *std::move(answer);
        else
            m_log.recordCall(
                call.key.value(), "forward_failed",
                absl::StrCat(std::string(errorName(answer.error().code)), ": ", answer.error().detail));
        m_sink.post(LedgerEvent(answered));
    });
}

void CallHost::act(const AnswerCall &action)
{
    auto it = m_requests.find(action.call);
    if (it == m_requests.end())
        return;
    auto request = std::move(it->second);
    m_requests.erase(it);
    m_metrics.count(
        absl::StrCat("calls_total{outcome=\"", std::string(outcomeName(action.answer.outcome)), "\"}"));
    request.answer(action.answer);
}

} // namespace Wisteria
