// Tickets: idempotency keys that name the router incarnation that may dispatch the call.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string_view>

namespace Wisteria {

// Sequence number of a ticket within its incarnation, from 1.
using TicketNumber = StrongId<struct TicketNumberTag, std::uint64_t>;
// Secret of the issuing incarnation that seeds the hash in its tickets.
using TicketSecret = StrongId<struct TicketSecretTag, std::uint64_t>;

struct Ticket
{
    RouterId router;
    Incarnation incarnation;
    TicketNumber number;
    // XXH64 over the other members, seeded with the secret; not a cryptographic MAC.
    std::uint64_t keyedHash{0};

    bool operator==(const Ticket &) const = default;
};

// True for keys with the prefix reserved for tickets.
[[nodiscard]] bool hasTicketPrefix(const IdempotencyKey &);
[[nodiscard]] std::uint64_t ticketHash(const Ticket &, TicketSecret);
// Text form "wt1.ROUTER.INCARNATION.NUMBER.HASH", with the keyed hash in hexadecimal.
[[nodiscard]] IdempotencyKey toKey(const Ticket &);
// Fails with ErrorCode::InvalidRequest on a malformed key. Does not verify the keyed hash.
[[nodiscard]] ErrorOr<Ticket> ticketFromKey(const IdempotencyKey &);

} // namespace Wisteria
