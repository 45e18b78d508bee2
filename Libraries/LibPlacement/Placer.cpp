// Joins the lease and the orders: orders flow only while the lease is held.

#include <LibPlacement/Placer.h>

#include <LibPlacement/EngineOrders.h>
#include <LibPlacement/Lease.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

class PlacerImplementation final : public Placer
{
public:
    PlacerImplementation(std::string self, Incarnation incarnation, PlacerLimits limits)
        : m_lease(std::move(self), incarnation), m_orders(limits)
    {
    }

    PlacerActions handle(const PlacerEvent &event, absl::Time now) override
    {
        PlacerActions out;
        std::visit([&](const auto &it) { take(it, now, out); }, event);
        m_lease.tick(now, out);
        advanceOrders(now, out);
        return out;
    }

    absl::Time nextWakeUp() const override
    {
        // Without the lease nothing is due but the lease itself.
        return m_leads == Leads::Yes ? std::min(m_lease.nextWakeUp(), m_orders.nextWakeUp())
                                     : m_lease.nextWakeUp();
    }

    bool mayOrder(absl::Time now) const override { return m_lease.isHeld(now); }

private:
    enum class Leads { No, Yes };

    void take(const LeaseRead &event, absl::Time now, PlacerActions &out)
    {
        m_lease.handleRead(event, now, out);
    }

    void take(const LeaseReadFailed &, absl::Time now, PlacerActions &) { m_lease.handleReadFailed(now); }

    void take(const LeaseWritten &event, absl::Time now, PlacerActions &out)
    {
        m_lease.handleWritten(event, now, out);
    }

    void take(const WishesChanged &event, absl::Time now, PlacerActions &)
    {
        m_orders.setWishes(event.configuration, now);
    }

    void take(const EngineStateRead &event, absl::Time now, PlacerActions &out)
    {
        // A reading from before a lapse is not acted on.
        if (m_lease.isHeld(now) && m_leads == Leads::Yes)
            m_orders.handleState(event, now, out);
        else
            m_orders.handleStateReadFailed(EngineStateReadFailed{event.target}, now);
    }

    void take(const EngineStateReadFailed &event, absl::Time now, PlacerActions &)
    {
        m_orders.handleStateReadFailed(event, now);
    }

    void take(const OrderAnswered &event, absl::Time now, PlacerActions &)
    {
        if (m_orders.handleOrderAnswer(event, now))
            m_lease.handleFencedOff(now);
    }

    void take(const PlacerTick &, absl::Time, PlacerActions &) { }

    void advanceOrders(absl::Time now, PlacerActions &out)
    {
        const bool held = m_lease.isHeld(now);
        if (held && m_leads == Leads::No) {
            m_orders.startTerm(m_lease.fencing(), now);
            out.emplace_back(RecordPlacement{TargetId(), "lead", "the lease is held"});
        }
        if (!held && m_leads == Leads::Yes)
            out.emplace_back(RecordPlacement{TargetId(), "stop", "the lease has lapsed"});
        m_leads = held ? Leads::Yes : Leads::No;
        if (held)
            m_orders.advance(now, out);
    }

    Lease m_lease;
    EngineOrders m_orders;
    // Whether the last event found the lease held.
    Leads m_leads{Leads::No};
};

} // namespace detail

std::unique_ptr<Placer> Placer::create(std::string self, Incarnation incarnation, PlacerLimits limits)
{
    return std::make_unique<detail::PlacerImplementation>(std::move(self), incarnation, limits);
}

} // namespace Wisteria
