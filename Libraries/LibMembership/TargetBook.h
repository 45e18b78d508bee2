// The health of all targets: own observations, those of other routers, the VM list and the configuration.
//
// The lagging VM list alone does not make a target gone at once. A leaving target stays leaving, however well
// it answers.

#pragma once

#include <LibMembership/Events.h>
#include <LibMembership/Rumors.h>

#include <map>

namespace Wisteria::detail {

class TargetBook
{
public:
    explicit TargetBook(RouterId self) : m_self(std::move(self)), m_rumors(saltOf(m_self.value())) { }

    void configure(const FleetConfiguration &, absl::Time now);
    void merge(const TargetRecord &, absl::Time now);
    void observe(const TargetObserved &, absl::Time now);
    void readVmList(const VmListRead &, absl::Time now);
    // Reports each configured target whose health changed.
    void report(absl::Time now, MembershipActions &);

    [[nodiscard]] std::vector<TargetRecord> health(absl::Time now) const;
    [[nodiscard]] std::vector<TargetRecord> records() const;
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] std::vector<TargetRecord> takeRumors(std::size_t most, std::size_t members);
    [[nodiscard]] bool hasRumors() const { return !m_rumors.isEmpty(); }

private:
    struct Entry
    {
        // What the routers agree on.
        TargetRecord record;
        absl::Time recordSince{absl::InfinitePast()};
        // Own observations.
        unsigned failures{0};
        absl::Time lastGood{absl::InfinitePast()};
        absl::Time lastBad{absl::InfinitePast()};
        // An own suspicion that another router refuted is not announced again before then.
        absl::Time quietUntil{absl::InfinitePast()};
        // The VM list: listed and not leaving since, missing since. Invariant: missing implies listed before.
        absl::Time listedSince{absl::InfiniteFuture()};
        absl::Time missingSince{absl::InfiniteFuture()};
        bool listedLeaving{false};
        // The configuration.
        bool configured{false};
        bool retiring{false};
        TargetHealth reported{TargetHealth::Up};
    };

    Entry &entryOf(const TargetId &);
    void announce(Entry &, TargetHealth, absl::Time now);
    void assertLeaving(Entry &, absl::Time now);
    void checkMissing(Entry &, absl::Time now);
    void checkReturned(Entry &, absl::Time now);
    void readListed(Entry &, bool leaving, absl::Time now);
    [[nodiscard]] static bool isSuspectHere(const Entry &, absl::Time now);
    [[nodiscard]] static TargetHealth effective(const Entry &, absl::Time now);
    [[nodiscard]] static std::string reasonOf(const Entry &, TargetHealth);

    RouterId m_self;
    std::map<TargetId, Entry> m_entries;
    Rumors<TargetId> m_rumors;
};

} // namespace Wisteria::detail
