// The records of all routers: which one wins, who is suspected, and when a suspect is dead.

#pragma once

#include <LibMembership/Events.h>
#include <LibMembership/Rumors.h>

#include <map>

namespace Wisteria::detail {

// Records of a full exchange are not passed on when they are new here: the members that sent them know them.
enum class RecordSource { Direct, Relayed, FullExchange };

class RouterBook
{
public:
    explicit RouterBook(RouterRecord self);

    [[nodiscard]] const RouterRecord &self() const { return m_self; }
    // Takes a record that is newer than the one held. A suspicion of this router itself is refuted.
    void merge(const RouterRecord &, RecordSource, absl::Time now, MembershipActions &);
    // True when the peer should be asked once more at once, before it is suspected.
    [[nodiscard]] bool gossipFailed(const RouterId &peer, absl::Time now, MembershipActions &);
    void heardFrom(const RouterId &peer);
    void setOwnLoad(std::uint32_t loadPerMille, absl::Time now);
    void leave(MembershipActions &);
    // Declares suspects dead whose time is over, and forgets the dead.
    void tick(absl::Time now, MembershipActions &);
    // Gives every suspect its full time again, after this router itself was paused.
    void restartSuspicions(absl::Time now);

    // The record, or null.
    [[nodiscard]] const RouterRecord *find(const RouterId &) const;
    // The peer behind the address, or null.
    [[nodiscard]] const RouterRecord *findByAddress(const std::string &peerAddress) const;
    // All routers with this one, the dead among them.
    [[nodiscard]] std::vector<RouterRecord> all() const;
    [[nodiscard]] std::vector<RouterRecord> peers(MemberPhase most) const;
    // Members that are not dead, this router included.
    [[nodiscard]] std::size_t memberCount() const { return m_memberCount; }
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] std::vector<RouterRecord> takeRumors(std::size_t most);
    [[nodiscard]] bool hasRumors() const { return !m_rumors.isEmpty(); }
    // Raised by each change of a phase, an incarnation or a member.
    [[nodiscard]] std::uint64_t changes() const { return m_changes; }

private:
    struct Entry
    {
        RouterRecord record;
        absl::Time phaseSince;
        // Gossip calls in a row that got no answer.
        unsigned failures{0};
        // A refuted suspicion by this router is not repeated before then: the fault may be the link between.
        absl::Time quietUntil{absl::InfinitePast()};
        bool suspectedHere{false};
    };

    void mergeSelf(const RouterRecord &, MembershipActions &);
    void setPhase(Entry &, MemberPhase, absl::Time now, MembershipActions &);
    void noteChange(const RouterRecord &, MembershipActions &);
    [[nodiscard]] absl::Duration suspicionTimeout() const;

    RouterRecord m_self;
    // Invariant: does not hold this router itself.
    std::map<RouterId, Entry> m_entries;
    // Invariant: the entries that are not dead, plus one.
    std::size_t m_memberCount{1};
    std::uint64_t m_changes{0};
    Rumors<RouterId> m_rumors;
    std::uint32_t m_announcedLoad{0};
    absl::Time m_loadAnnouncedAt{absl::InfinitePast()};
};

} // namespace Wisteria::detail
