// The lease over the fleet's engines: one placer holds it, the others wait for it to lapse.
//
// A holder counts its lease from the moment at which it began the write that won it, a follower from the
// moment at which it first saw the record unchanged. So a follower that has waited leaseLength and
// leaseMargin and then wins the conditional write knows that the earlier holder has stopped by its own clock.
// A holder that is paused between its check and its order is the exception: engines that check the fencing
// number refuse that order, on others the next reading repairs it.

#pragma once

#include <LibPlacement/Placer.h>

namespace Wisteria {

class Lease
{
public:
    Lease(std::string self, Incarnation incarnation);

    void handleRead(const LeaseRead &, absl::Time now, PlacerActions &out);
    void handleReadFailed(absl::Time now);
    void handleWritten(const LeaseWritten &, absl::Time now, PlacerActions &out);
    void tick(absl::Time now, PlacerActions &out);
    // An engine has seen a greater fencing number, so another placer may hold the lease.
    // Nothing is held until a renewal confirms the lease.
    void handleFencedOff(absl::Time now);

    [[nodiscard]] bool isHeld(absl::Time now) const;
    [[nodiscard]] FencingNumber fencing() const { return m_record.fencing; }
    [[nodiscard]] absl::Time nextWakeUp() const { return m_wakeAt; }

private:
    enum class Access { None, Read, Write };
    enum class LastWrite { Known, Unsure };
    enum class Tenure {
        Follower,
        // The record named this incarnation when it was last known; the lease itself may have run out.
        Holder,
    };

    void read(PlacerActions &out);
    void write(LeaseRecord record, ObjectVersion expected, absl::Time now, PlacerActions &out);
    void renew(absl::Time now, PlacerActions &out);
    void follow(const std::optional<LeaseRecord> &, ObjectVersion, absl::Time now, PlacerActions &out);
    void takeOver(FencingNumber previous, ObjectVersion expected, absl::Time now, PlacerActions &out);
    void hold(ObjectVersion version, absl::Time now);
    void backOff(absl::Time now);

    std::string m_self;
    Incarnation m_incarnation;
    Tenure m_tenure{Tenure::Follower};
    // Invariant: at most one access to the store is under way.
    Access m_access{Access::None};
    absl::Time m_wakeAt{absl::InfinitePast()};
    absl::Duration m_backoff;
    LastWrite m_lastWrite{LastWrite::Known};
    // Counts this incarnation's writes; goes into each record.
    std::uint64_t m_writes{0};

    // The record and version that this incarnation knows to have written, while Holder.
    LeaseRecord m_record;
    ObjectVersion m_version;
    // When the write of m_record began.
    absl::Time m_heldFrom{absl::InfinitePast()};

    // The last write whose effect is not known, and when it began.
    LeaseRecord m_written;
    absl::Time m_writeBegan;

    // What a follower watches, and since when it has not changed by this process's clock.
    ObjectVersion m_seenVersion;
    absl::Time m_seenSince;
};

} // namespace Wisteria
