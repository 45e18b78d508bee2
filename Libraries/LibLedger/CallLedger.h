// At-most-once calls of one router incarnation: claims in the object API, tickets without it.

#pragma once

#include <LibCore/Random.h>
#include <LibLedger/Events.h>

#include <memory>

namespace Wisteria {

// A single-threaded state machine. It lives as long as the incarnation: it survives a pause, not a restart.
class CallLedger
{
public:
    // The random source must outlive the ledger; it also makes the secret that tells issued tickets from
    // guessed ones.
    [[nodiscard]] static std::unique_ptr<CallLedger> create(const RouterId &self, Incarnation incarnation,
                                                            RandomSource &random);
    virtual ~CallLedger() = default;

    // Takes one event at the given monotonic time, which never goes back.
    [[nodiscard]] virtual LedgerActions handle(const LedgerEvent &event, absl::Time now) = 0;
    // When the next LedgerTick is due; absl::InfiniteFuture() when none is.
    [[nodiscard]] virtual absl::Time nextWakeUp() const = 0;

    // A key that this incarnation alone may dispatch. Valid for ticketLifetime from now.
    [[nodiscard]] virtual IdempotencyKey issueTicket(absl::Time now) = 0;
    // True when no call is between its claim and its recorded outcome.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

// How long a ticket may be used, and its outcome asked for.
inline constexpr absl::Duration ticketLifetime = absl::Minutes(10);

// The JSON form that the object API keeps.
[[nodiscard]] std::string toJson(const ClaimRecord &);
// Fails with ErrorCode::ProtocolViolation on a malformed record.
[[nodiscard]] ErrorOr<ClaimRecord> claimRecordFromJson(std::string_view);

} // namespace Wisteria
