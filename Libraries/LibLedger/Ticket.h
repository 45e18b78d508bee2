// Tickets: keys of at-most-once calls that name the one router incarnation which may dispatch them.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string_view>

namespace Wisteria {

// Counts the tickets of one incarnation, from 1.
using TicketNumber = StrongId<struct TicketNumberTag, std::uint64_t>;
// Known to the issuing incarnation only; tells its tickets from guessed ones.
using TicketSecret = StrongId<struct TicketSecretTag, std::uint64_t>;

struct Ticket
{
    RouterId router;
    Incarnation incarnation;
    TicketNumber number;
    // Keyed hash over the other members.
    std::uint64_t keyedHash{0};

    bool operator==(const Ticket &) const = default;
};

// True for keys of the form that is reserved for tickets.
[[nodiscard]] bool hasTicketPrefix(const IdempotencyKey &);
[[nodiscard]] std::uint64_t ticketHash(const Ticket &, TicketSecret);
// "wt1.ROUTER.INCARNATION.NUMBER.CHECK", the check in hexadecimal.
[[nodiscard]] IdempotencyKey toKey(const Ticket &);
// Fails with ErrorCode::InvalidRequest on a malformed key. The check is read, not verified.
[[nodiscard]] ErrorOr<Ticket> ticketFromKey(const IdempotencyKey &);

} // namespace Wisteria
