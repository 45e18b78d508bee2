// Hands each event to the part that owns the call: claims or tickets.

#include <LibLedger/CallLedger.h>

#include <LibLedger/ClaimedCalls.h>
#include <LibLedger/TicketedCalls.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

class LedgerImplementation final : public CallLedger
{
public:
    LedgerImplementation(const RouterId &self, Incarnation incarnation, RandomSource &random)
        : m_claimed(self, incarnation, random), m_ticketed(self, incarnation, random)
    {
    }

    LedgerActions handle(const LedgerEvent &event, absl::Time now) override
    {
        LedgerActions out;
        std::visit([&](const auto &it) { take(it, now, out); }, event);
        return out;
    }

    absl::Time nextWakeUp() const override
    {
        return std::min(m_claimed.nextWakeUp(), m_ticketed.nextWakeUp());
    }
    IdempotencyKey issueTicket(absl::Time now) override { return m_ticketed.issue(now); }
    bool isIdle() const override { return m_claimed.isIdle() && m_ticketed.isIdle(); }

private:
    void take(const CallReceived &event, absl::Time now, LedgerActions &out)
    {
        if (looksLikeTicket(event.key))
            m_ticketed.receive(event, now, out);
        else
            m_claimed.receive(event, now, out);
    }

    void take(const ClaimWritten &event, absl::Time now, LedgerActions &out)
    {
        m_claimed.handleWritten(event, now, out);
    }

    void take(const ClaimRead &event, absl::Time now, LedgerActions &out)
    {
        m_claimed.handleRead(event, now, out);
    }

    void take(const TargetAnswered &event, absl::Time now, LedgerActions &out)
    {
        if (m_claimed.knows(event.call))
            m_claimed.handleTargetAnswer(event, out);
        else
            m_ticketed.handleTargetAnswer(event, now, out);
    }

    void take(const DispatchFailed &event, absl::Time now, LedgerActions &out)
    {
        if (m_claimed.knows(event.call))
            m_claimed.handleDispatchFailure(event, now, out);
        else
            m_ticketed.handleDispatchFailure(event, now, out);
    }

    void take(const OwnerAnswered &event, absl::Time, LedgerActions &out)
    {
        if (m_claimed.knows(event.call))
            m_claimed.handleOwnerAnswer(event, out);
        else
            m_ticketed.handleOwnerAnswer(event, out);
    }

    void take(const LedgerFreshnessChanged &event, absl::Time, LedgerActions &)
    {
        m_freshness = event.fresh ? NewCalls::Dispatched : NewCalls::RefusedAsStale;
        setNewCalls();
    }

    void take(const LedgerDrainStarted &, absl::Time, LedgerActions &)
    {
        m_isDraining = true;
        setNewCalls();
    }

    // A stale configuration goes before a drain, since it also holds back calls that were claimed already.
    void setNewCalls()
    {
        const bool isOpen = m_freshness == NewCalls::Dispatched;
        const NewCalls newCalls = isOpen && m_isDraining ? NewCalls::RefusedAsDraining : m_freshness;
        m_claimed.setNewCalls(newCalls);
        m_ticketed.setNewCalls(newCalls);
    }

    void take(const LedgerTick &, absl::Time now, LedgerActions &out)
    {
        m_claimed.tick(now, out);
        m_ticketed.tick(now, out);
    }

    NewCalls m_freshness{NewCalls::Dispatched};
    bool m_isDraining{false};
    ClaimedCalls m_claimed;
    TicketedCalls m_ticketed;
};

} // namespace detail

std::unique_ptr<CallLedger> CallLedger::create(const RouterId &self, Incarnation incarnation,
                                               RandomSource &random)
{
    return std::make_unique<detail::LedgerImplementation>(self, incarnation, random);
}

} // namespace Wisteria
