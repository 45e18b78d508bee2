// Creation, renewal and take-over of the lease.

#include <LibPlacement/Lease.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// A holder renews when this much of its lease has passed.
constexpr absl::Duration renewAfter = absl::Seconds(3);
// A follower reads the record this often.
constexpr absl::Duration followInterval = absl::Seconds(2);
// After a store access that failed.
constexpr absl::Duration firstBackoff = absl::Milliseconds(250);
constexpr absl::Duration maxBackoff = absl::Seconds(2);

} // namespace detail

Lease::Lease(std::string self, Incarnation incarnation) : m_self(std::move(self)), m_incarnation(incarnation)
{
}

bool Lease::isHeld(absl::Time now) const
{
    return m_tenure == Tenure::Holder && now < m_heldFrom + leaseLength - leaseMargin;
}

void Lease::tick(absl::Time now, PlacerActions &out)
{
    if (m_access != Access::None || now < m_wakeAt)
        return;
    if (m_tenure == Tenure::Holder && m_lastWrite == LastWrite::Known)
        return renew(now, out);
    read(out);
}

void Lease::handleRead(const LeaseRead &event, absl::Time now, PlacerActions &out)
{
    if (m_access != Access::Read)
        return;
    m_access = Access::None;
    m_lastWrite = LastWrite::Known;
    const bool isOwn =
        event.record && event.record->holder == m_self && event.record->incarnation == m_incarnation;
    if (!isOwn)
        return follow(event.record, event.version, now, out);
    // A write whose reply was lost has taken effect; the lease still counts from when it began.
    if (*event.record == m_written)
        return hold(event.version, now);
    // An earlier write of this incarnation is there. When it began is known of the last confirmed one only;
    // otherwise nothing is held until the next renewal.
    if (*event.record != m_record)
        m_heldFrom = absl::InfinitePast();
    m_tenure = Tenure::Holder;
    m_record = *event.record;
    m_version = event.version;
    m_writes = std::max(m_writes, m_record.renewals);
    renew(now, out);
}

void Lease::handleReadFailed(absl::Time now)
{
    if (m_access != Access::Read)
        return;
    m_access = Access::None;
    backOff(now);
}

void Lease::handleWritten(const LeaseWritten &event, absl::Time now, PlacerActions &out)
{
    if (m_access != Access::Write)
        return;
    m_access = Access::None;
    if (!event.error)
        return hold(event.version, now);
    if (event.error->code == ErrorCode::Conflict)
        return read(out);
    // After a lost reply the record says who holds the lease.
    if (event.error->code != ErrorCode::StoreUnavailable)
        m_lastWrite = LastWrite::Unsure;
    backOff(now);
}

void Lease::handleFencedOff(absl::Time now)
{
    // A renewal that succeeds proves that this engine alone saw a greater number.
    m_heldFrom = absl::InfinitePast();
    m_wakeAt = std::min(m_wakeAt, now);
}

void Lease::read(PlacerActions &out)
{
    m_access = Access::Read;
    m_wakeAt = absl::InfiniteFuture();
    out.emplace_back(ReadLease{});
}

void Lease::write(LeaseRecord record, ObjectVersion expected, absl::Time now, PlacerActions &out)
{
    m_access = Access::Write;
    m_wakeAt = absl::InfiniteFuture();
    m_written = std::move(record);
    // No two writes of this incarnation are alike, so that a record read back names the write it came from.
    m_written.renewals = ++m_writes;
    m_writeBegan = now;
    out.emplace_back(WriteLease{m_written, expected});
}

void Lease::renew(absl::Time now, PlacerActions &out)
{
    // The fencing number stays: the conditional write fails if anyone held the lease in between.
    write(m_record, m_version, now, out);
}

// The record is another's, or there is none.
void Lease::follow(const std::optional<LeaseRecord> &record, ObjectVersion version, absl::Time now,
                   PlacerActions &out)
{
    m_tenure = Tenure::Follower;
    m_backoff = absl::ZeroDuration();
    if (!record)
        return takeOver(FencingNumber(), ObjectVersion(), now, out);
    if (version != m_seenVersion) {
        m_seenVersion = version;
        m_seenSince = now;
    }
    const absl::Time lapsesAt = m_seenSince + leaseLength + leaseMargin;
    if (now >= lapsesAt)
        return takeOver(record->fencing, version, now, out);
    m_wakeAt = std::min(now + detail::followInterval, lapsesAt);
}

void Lease::takeOver(FencingNumber previous, ObjectVersion expected, absl::Time now, PlacerActions &out)
{
    LeaseRecord record{m_self, m_incarnation, FencingNumber(previous.value() + 1)};
    write(std::move(record), expected, now, out);
}

void Lease::hold(ObjectVersion version, absl::Time now)
{
    m_tenure = Tenure::Holder;
    m_backoff = absl::ZeroDuration();
    m_record = m_written;
    m_version = version;
    m_heldFrom = m_writeBegan;
    m_wakeAt = std::max(now, m_heldFrom + detail::renewAfter);
}

void Lease::backOff(absl::Time now)
{
    m_backoff = std::clamp(m_backoff * 2, detail::firstBackoff, detail::maxBackoff);
    m_wakeAt = now + m_backoff;
}

} // namespace Wisteria
