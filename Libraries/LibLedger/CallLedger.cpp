// Routes each event to the claimed or the ticketed calls, depending on the key of its call.

#include <LibLedger/CallLedger.h>

#include <LibLedger/ClaimedCalls.h>
#include <LibLedger/TicketedCalls.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

class CallLedgerImplementation final : public CallLedger
{
public:
    CallLedgerImplementation(const RouterId &self, Incarnation incarnation, RandomSource &random)
        : m_claimed(self, incarnation, random), m_ticketed(self, incarnation, random)
    {
    }

    LedgerActions handle(const LedgerEvent &event, absl::Time now) override
    {
        LedgerActions out;
        std::visit([&](const auto &it) { handleEvent(it, now, out); }, event);
        return out;
    }

    absl::Time nextWakeUp() const override
    {
        return std::min(m_claimed.nextWakeUp(), m_ticketed.nextWakeUp());
    }
    IdempotencyKey issueTicket(absl::Time now) override { return m_ticketed.issue(now); }
    bool isIdle() const override { return m_claimed.isIdle() && m_ticketed.isIdle(); }

private:
    void handleEvent(const CallReceived &event, absl::Time now, LedgerActions &out)
    {
        if (hasTicketPrefix(event.key))
            m_ticketed.receive(event, now, out);
        else
            m_claimed.receive(event, now, out);
    }

    void handleEvent(const ClaimWritten &event, absl::Time now, LedgerActions &out)
    {
        m_claimed.handleWritten(event, now, out);
    }

    void handleEvent(const ClaimRead &event, absl::Time now, LedgerActions &out)
    {
        m_claimed.handleRead(event, now, out);
    }

    void handleEvent(const TargetAnswered &event, absl::Time now, LedgerActions &out)
    {
        if (m_claimed.containsCall(event.call))
            m_claimed.handleTargetAnswer(event, out);
        else
            m_ticketed.handleTargetAnswer(event, now, out);
    }

    void handleEvent(const DispatchFailed &event, absl::Time now, LedgerActions &out)
    {
        if (m_claimed.containsCall(event.call))
            m_claimed.handleDispatchFailure(event, now, out);
        else
            m_ticketed.handleDispatchFailure(event, now, out);
    }

    void handleEvent(const OwnerAnswered &event, absl::Time, LedgerActions &out)
    {
        if (m_claimed.containsCall(event.call))
            m_claimed.handleOwnerAnswer(event, out);
        else
            m_ticketed.handleOwnerAnswer(event, out);
    }

    void handleEvent(const LedgerConfigurationFreshnessChanged &event, absl::Time, LedgerActions &)
    {
        m_freshnessPolicy = event.fresh ? NewCallPolicy::Admit : NewCallPolicy::RejectAsStale;
        setNewCallPolicy();
    }

    void handleEvent(const LedgerDrainStarted &, absl::Time, LedgerActions &)
    {
        m_isDraining = true;
        setNewCallPolicy();
    }

    // A stale configuration takes precedence over a drain because it also blocks calls that are already
    // claimed.
    void setNewCallPolicy()
    {
        const bool isFresh = m_freshnessPolicy == NewCallPolicy::Admit;
        const NewCallPolicy newCallPolicy =
            isFresh && m_isDraining ? NewCallPolicy::RejectAsDraining : m_freshnessPolicy;
        m_claimed.setNewCallPolicy(newCallPolicy);
        m_ticketed.setNewCallPolicy(newCallPolicy);
    }

    void handleEvent(const LedgerTick &, absl::Time now, LedgerActions &out)
    {
        m_claimed.tick(now, out);
        m_ticketed.tick(now, out);
    }

    NewCallPolicy m_freshnessPolicy{NewCallPolicy::Admit};
    bool m_isDraining{false};
    ClaimedCalls m_claimed;
    TicketedCalls m_ticketed;
};

} // namespace detail

std::unique_ptr<CallLedger> CallLedger::create(const RouterId &self, Incarnation incarnation,
                                               RandomSource &random)
{
    return std::make_unique<detail::CallLedgerImplementation>(self, incarnation, random);
}

} // namespace Wisteria
