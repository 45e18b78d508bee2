// Conversions between the gossip messages and their wire form.

#include <LibPeer/PeerMessages.h>

#include <Peer.pb.h>

namespace Wisteria {

namespace detail {

constexpr std::uint32_t lastMemberPhase = static_cast<std::uint32_t>(MemberPhase::Dead);
constexpr std::uint32_t lastTargetHealth = static_cast<std::uint32_t>(TargetHealth::Gone);

void writeRouter(const RouterRecord &record, wisteria::RouterRecordProto &out)
{
    out.set_id(record.id.value());
    out.set_incarnation(record.incarnation.value());
    out.set_sequence(record.sequence);
    out.set_phase(static_cast<std::uint32_t>(record.phase));
    out.set_caller_address(record.callerAddress);
    out.set_peer_address(record.peerAddress);
    out.set_domain(record.domain.value());
    out.set_load_per_mille(record.loadPerMille);
}

RouterRecord readRouter(const wisteria::RouterRecordProto &in)
{
    RouterRecord record;
    record.id = RouterId(in.id());
    record.incarnation = Incarnation(in.incarnation());
    record.sequence = in.sequence();
    record.phase = static_cast<MemberPhase>(std::min(in.phase(), lastMemberPhase));
    record.callerAddress = in.caller_address();
    record.peerAddress = in.peer_address();
    record.domain = FailureDomain(in.domain());
    record.loadPerMille = in.load_per_mille();
    return record;
}

void writeTarget(const TargetRecord &record, wisteria::TargetRecordProto &out)
{
    out.set_id(record.id.value());
    out.set_health(static_cast<std::uint32_t>(record.health));
    out.set_round(record.round);
    out.set_observed_by(record.observedBy.value());
}

TargetRecord readTarget(const wisteria::TargetRecordProto &in)
{
    TargetRecord record;
    record.id = TargetId(in.id());
    record.health = static_cast<TargetHealth>(std::min(in.health(), lastTargetHealth));
    record.round = in.round();
    record.observedBy = RouterId(in.observed_by());
    return record;
}

void writeDigest(const ConfigurationDigest &digest, wisteria::GossipProto &out)
{
    out.set_config_held(digest.held.value());
    out.set_config_confirmed(digest.confirmedSinceStart);
    if (!digest.confirmation)
        return;
    out.set_confirmed_version(digest.confirmation->version.value());
    // Rounded up: a confirmation must never look younger than it is.
    out.set_confirmation_age_ms(absl::ToInt64Milliseconds(digest.confirmation->age) + 1);
}

ConfigurationDigest readDigest(const wisteria::GossipProto &in)
{
    ConfigurationDigest digest;
    digest.held = ConfigVersion(in.config_held());
    digest.confirmedSinceStart = in.config_confirmed();
    // The age is never zero on the wire, so zero means that there is no confirmation.
    if (in.confirmation_age_ms() > 0) {
        auto age = absl::Milliseconds(static_cast<std::int64_t>(in.confirmation_age_ms()));
        digest.confirmation = Confirmation{ConfigVersion(in.confirmed_version()), age};
    }
    return digest;
}

} // namespace detail

wisteria::GossipProto toProto(const PeerGossip &gossip)
{
    wisteria::GossipProto out;
    detail::writeRouter(gossip.message.sender, *out.mutable_sender());
    for (const auto &it : gossip.message.routers)
        detail::writeRouter(it, *out.add_routers());
    for (const auto &it : gossip.message.targets)
        detail::writeTarget(it, *out.add_targets());
    for (const auto &it : gossip.message.demand) {
        auto &demand = *out.add_demand();
        demand.set_workspace(it.workspace.value());
        demand.set_generations(it.generations);
    }
    out.set_digest(gossip.message.digest);
    out.set_full(gossip.message.full);
    detail::writeDigest(gossip.digest, out);
    return out;
}

PeerGossip fromProto(const wisteria::GossipProto &in)
{
    PeerGossip gossip;
    gossip.message.sender = detail::readRouter(in.sender());
    for (const auto &it : in.routers())
        gossip.message.routers.push_back(detail::readRouter(it));
    for (const auto &it : in.targets())
        gossip.message.targets.push_back(detail::readTarget(it));
    for (const auto &it : in.demand())
        gossip.message.demand.push_back(WorkspaceDemand{WorkspaceName(it.workspace()), it.generations()});
    gossip.message.digest = in.digest();
    gossip.message.full = in.full();
    gossip.digest = detail::readDigest(in);
    return gossip;
}

} // namespace Wisteria
