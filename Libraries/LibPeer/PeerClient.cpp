// gRPC client of the peers' interface.

#include <LibPeer/PeerClient.h>

#include <Peer.grpc.pb.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <grpcpp/grpcpp.h>

namespace Wisteria {

namespace detail {

constexpr int maxReplyBytes = 2 * 1024 * 1024;

// A peer that was down is tried again soon: a gossip round waits for it anyhow.
constexpr int maxReconnectBackoffMs = 1000;

Error toError(const grpc::Status &status)
{
    return Error{ErrorCode::ConnectionFailed, status.error_message()};
}

HeldConfiguration readHeld(const wisteria::HeldReply &reply)
{
    ConfigurationDigest digest;
    digest.held = ConfigVersion(reply.held());
    digest.confirmedSinceStart = reply.confirmed_since_start();
    return {RouterId(reply.router()), digest};
}

ErrorOr<CallAnswer> readAnswer(const wisteria::ForwardCallReply &reply)
{
    if (!reply.is_owner())
        return makeError(ErrorCode::LeaseLost);
    if (reply.outcome() > static_cast<std::uint32_t>(CallOutcome::Unknown))
        return makeError(ErrorCode::ProtocolViolation, "unknown outcome");
    CallAnswer answer;
    answer.outcome = static_cast<CallOutcome>(reply.outcome());
    answer.status = static_cast<int>(reply.status());
    answer.body = reply.body();
    if (!reply.error().empty()) {
        answer.error = Error{errorFromName(reply.error()), reply.detail()};
        if (reply.has_retry_after())
            answer.error->retryAfter = absl::Milliseconds(static_cast<std::int64_t>(reply.retry_after_ms()));
    }
    return answer;
}

class GrpcPeerClient final : public PeerClient
{
public:
    ErrorOr<PeerGossip> gossip(const std::string &address, const PeerGossip &gossip,
                               absl::Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        wisteria::GossipProto reply;
        auto status = stub(address)->Gossip(&context, toProto(gossip), &reply);
        if (!status.ok())
            return tl::unexpected(toError(status));
        return fromProto(reply);
    }

    ErrorOr<FleetConfiguration> fetchConfiguration(const std::string &address,
                                                   absl::Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        wisteria::ConfigurationReply reply;
        auto status = stub(address)->FetchConfiguration(&context, {}, &reply);
        if (!status.ok())
            return tl::unexpected(toError(status));
        return fleetConfigurationFromJson(reply.json());
    }

    ErrorOr<HeldConfiguration> pushConfiguration(const std::string &address,
                                                 const FleetConfiguration &configuration,
                                                 absl::Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        wisteria::PushConfigurationRequest request;
        request.set_json(toJson(configuration));
        wisteria::HeldReply reply;
        auto status = stub(address)->PushConfiguration(&context, request, &reply);
        if (!status.ok())
            return tl::unexpected(toError(status));
        return readHeld(reply);
    }

    ErrorOr<HeldConfiguration> poll(const std::string &address, absl::Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        wisteria::HeldReply reply;
        auto status = stub(address)->Poll(&context, {}, &reply);
        if (!status.ok())
            return tl::unexpected(toError(status));
        return readHeld(reply);
    }

    ErrorOr<CallAnswer> forwardCall(const std::string &address, const ForwardedCall &call) override
    {
        grpc::ClientContext context;
        setDeadline(context, call.remaining);
        wisteria::ForwardCallRequest request;
        request.set_incarnation(call.incarnation.value());
        request.set_workspace(call.workspace.value());
        request.set_service(call.service.value());
        request.set_key(call.key.value());
        request.set_body(call.body);
        request.set_attempt(call.attempt);
        request.set_remaining_ms(absl::ToInt64Milliseconds(call.remaining));
        wisteria::ForwardCallReply reply;
        auto status = stub(address)->ForwardCall(&context, request, &reply);
        if (!status.ok())
            return tl::unexpected(toError(status));
        return readAnswer(reply);
    }

private:
    static void setDeadline(grpc::ClientContext &context, absl::Duration timeout)
    {
        context.set_deadline(absl::ToChronoTime(absl::Now() + timeout));
    }

    std::shared_ptr<wisteria::PeerService::Stub> stub(const std::string &address)
    {
        absl::MutexLock lock(&m_mutex);
        auto &stub = m_stubs[address];
        if (!stub) {
            grpc::ChannelArguments arguments;
            arguments.SetMaxReceiveMessageSize(maxReplyBytes);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            stub = wisteria::PeerService::NewStub(
                grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return stub;
    }

    absl::Mutex m_mutex;
    // FIXME: Channels of routers that are gone stay until the process ends; 65 replacements a day make this
    // small.
    absl::flat_hash_map<std::string, std::shared_ptr<wisteria::PeerService::Stub>>
        m_stubs ABSL_GUARDED_BY(m_mutex);
};

} // namespace detail

std::unique_ptr<PeerClient> PeerClient::create()
{
    return std::make_unique<detail::GrpcPeerClient>();
}

} // namespace Wisteria
