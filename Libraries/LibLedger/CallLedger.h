// At-most-once calls of one router incarnation. A call is owned through a claim in the object API or through
// a ticket, which needs no store access.

#pragma once

#include <LibCore/Random.h>
#include <LibLedger/Events.h>

#include <memory>

namespace Wisteria {

// A single-threaded state machine without I/O. Its state lives as long as the incarnation: it survives a
// pause of the process, but not a restart.
class CallLedger
{
public:
    // The random source must outlive the ledger. It also generates the secret that seeds the hash in issued
    // tickets.
    [[nodiscard]] static std::unique_ptr<CallLedger> create(const RouterId &self, Incarnation incarnation,
                                                            RandomSource &random);
    virtual ~CallLedger() = default;

    // Processes one event. `now` is monotonic time and must never decrease.
    [[nodiscard]] virtual LedgerActions handle(const LedgerEvent &event, absl::Time now) = 0;
    // Time when the next LedgerTick is due; absl::InfiniteFuture() when none is.
    [[nodiscard]] virtual absl::Time nextWakeUp() const = 0;

    // Returns a new key under which only this incarnation may dispatch a call. It is valid for ticketLifetime
    // from `now`.
    [[nodiscard]] virtual IdempotencyKey issueTicket(absl::Time now) = 0;
    // True when no store access, dispatch or forward is in progress and no outcome remains to be written.
    // Calls whose answer was lost do not count.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

// Time after issue during which a ticket may be used and the outcome of its call can be queried.
inline constexpr absl::Duration ticketLifetime = absl::Minutes(10);

// Serializes a claim record to the JSON stored in the object API.
[[nodiscard]] std::string toJson(const ClaimRecord &);
// Fails with ErrorCode::ProtocolViolation on a malformed record.
[[nodiscard]] ErrorOr<ClaimRecord> claimRecordFromJson(std::string_view);

} // namespace Wisteria
