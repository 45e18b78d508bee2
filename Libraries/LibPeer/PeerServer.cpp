// Serves the peers' interface by handing each request to the host.

#include <LibPeer/PeerServer.h>

#include <Peer.grpc.pb.h>

#include <grpcpp/grpcpp.h>

namespace Wisteria {

namespace detail {

// Configurations travel as one value of at most a megabyte, plus room for the message around it.
constexpr int maxMessageBytes = 2 * 1024 * 1024;

grpc::Status toStatus(const Error &error)
{
    return {grpc::StatusCode::UNAVAILABLE, std::string(errorName(error.code))};
}

class PeerServiceImplementation final : public wisteria::PeerService::Service
{
public:
    PeerServiceImplementation(RouterId self, PeerHandler &handler)
        : m_self(std::move(self)), m_handler(handler)
    {
    }

    grpc::Status Gossip(grpc::ServerContext *, const wisteria::GossipProto *in,
                        wisteria::GossipProto *out) override
    {
        auto answer = m_handler.onGossip(fromProto(*in));
        if (!answer)
            return toStatus(answer.error());
        *out = toProto(*answer);
        return grpc::Status::OK;
    }

    grpc::Status FetchConfiguration(grpc::ServerContext *, const wisteria::FetchConfigurationRequest *,
                                    wisteria::ConfigurationReply *out) override
    {
        auto configuration = m_handler.onFetchConfiguration();
        if (!configuration)
            return toStatus(configuration.error());
        out->set_version(configuration->version.value());
        out->set_json(toJson(*configuration));
        return grpc::Status::OK;
    }

    grpc::Status PushConfiguration(grpc::ServerContext *, const wisteria::PushConfigurationRequest *in,
                                   wisteria::HeldReply *out) override
    {
        auto configuration = fleetConfigurationFromJson(in->json());
        if (!configuration)
            return {grpc::StatusCode::INVALID_ARGUMENT, configuration.error().detail};
        return reply(m_handler.onPushConfiguration(*std::move(configuration)), *out);
    }

    grpc::Status Poll(grpc::ServerContext *, const wisteria::PollRequest *, wisteria::HeldReply *out) override
    {
        return reply(m_handler.onPoll(), *out);
    }

    grpc::Status ForwardCall(grpc::ServerContext *, const wisteria::ForwardCallRequest *in,
                             wisteria::ForwardCallReply *out) override
    {
        ForwardedCall call{Incarnation(in->incarnation()),
                           WorkspaceName(in->workspace()),
                           ServiceName(in->service()),
                           IdempotencyKey(in->key()),
                           in->body(),
                           absl::Milliseconds(static_cast<std::int64_t>(in->remaining_ms())),
                           in->attempt()};
        auto answer = m_handler.onForwardedCall(call);
        if (!answer && answer.error().code != ErrorCode::LeaseLost)
            return toStatus(answer.error());
        out->set_is_owner(answer.has_value());
        if (answer)
            writeAnswer(*answer, *out);
        return grpc::Status::OK;
    }

private:
    grpc::Status reply(const ErrorOr<ConfigurationDigest> &digest, wisteria::HeldReply &out)
    {
        if (!digest)
            return toStatus(digest.error());
        out.set_router(m_self.value());
        out.set_held(digest->held.value());
        out.set_confirmed_since_start(digest->confirmedSinceStart);
        return grpc::Status::OK;
    }

    static void writeAnswer(const CallAnswer &answer, wisteria::ForwardCallReply &out)
    {
        out.set_outcome(static_cast<std::uint32_t>(answer.outcome));
        out.set_status(static_cast<std::uint32_t>(answer.status));
        out.set_body(answer.body);
        if (!answer.error)
            return;
        out.set_error(std::string(errorName(answer.error->code)));
        out.set_detail(answer.error->detail);
        if (answer.error->retryAfter) {
            out.set_has_retry_after(true);
            out.set_retry_after_ms(absl::ToInt64Milliseconds(*answer.error->retryAfter));
        }
    }

    const RouterId m_self;
    PeerHandler &m_handler;
};

class GrpcPeerServer final : public PeerServer
{
public:
    GrpcPeerServer(RouterId self, PeerHandler &handler) : m_service(std::move(self), handler) { }

    ErrorOr<void> start(const std::string &address)
    {
        grpc::ServerBuilder builder;
        builder.SetMaxReceiveMessageSize(maxMessageBytes);
        // Without this two processes could share a port and split each other's requests.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        int port = 0;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        if (!m_server || port == 0)
            return makeError(ErrorCode::ConnectionFailed, "cannot listen on " + address);
        return {};
    }

    void stop(absl::Duration grace) override { m_server->Shutdown(absl::ToChronoTime(absl::Now() + grace)); }

private:
    PeerServiceImplementation m_service;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace detail

ErrorOr<std::unique_ptr<PeerServer>> PeerServer::create(const std::string &address, RouterId self,
                                                        PeerHandler &handler)
{
    auto server = std::make_unique<detail::GrpcPeerServer>(std::move(self), handler);
    TRY_VOID(server->start(address));
    return server;
}

} // namespace Wisteria
