// Single steps of the lease and of the orders.

#include <LibPlacement/Placer.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestPlacer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlacer);
    CPPUNIT_TEST(countsLeaseFromBeginOfWrite);
    CPPUNIT_TEST(waitsOutLeaseAndMargin);
    CPPUNIT_TEST(readsBackLostReply);
    CPPUNIT_TEST(ordersAfterReadingOnly);
    CPPUNIT_TEST(ignoresReadingFromBeforeLapse);
    CPPUNIT_TEST(limitsDownloads);
    CPPUNIT_TEST(stopsWhenFencedOff);
    CPPUNIT_TEST(leavesRetiringEnginesAlone);
    CPPUNIT_TEST(readsRecordsBack);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Placer> m_placer;
    absl::Time m_now{absl::UnixEpoch()};
    PlacerActions m_out;

    void handle(const PlacerEvent &event) { m_out = m_placer->handle(event, m_now); }

    template <typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const auto &it : m_out) {
            if (const auto *action = std::get_if<Action>(&it))
                found.push_back(*action);
        }
        return found;
    }

    static FleetConfiguration fleet(int engines)
    {
        FleetConfiguration configuration;
        configuration.services[ServiceName("s")] =
            ServiceSpec{ServiceName("s"), ServiceKind::Generation, ModelName("m"), "2"};
        for (int n = 0; n < engines; ++n) {
            const TargetId id("e" + std::to_string(n));
            configuration.targets[id] = TargetSpec{id, ServiceName("s")};
        }
        return configuration;
    }

    void lead()
    {
        handle(PlacerTick{});
        handle(LeaseRead{std::nullopt, ObjectVersion()});
        handle(LeaseWritten{std::nullopt, ObjectVersion(1)});
        CPPUNIT_ASSERT(m_placer->mayOrder(m_now));
    }

public:
    void setUp() override { m_placer = Placer::create("p", Incarnation(1), PlacerLimits{2}); }

    void countsLeaseFromBeginOfWrite()
    {
        handle(PlacerTick{});
        handle(LeaseRead{std::nullopt, ObjectVersion()});
        m_now += leaseLength - leaseMargin;
        handle(LeaseWritten{std::nullopt, ObjectVersion(1)});
        CPPUNIT_ASSERT(!m_placer->mayOrder(m_now));
        CPPUNIT_ASSERT(m_placer->mayOrder(m_now - absl::Milliseconds(1)));
    }

    void waitsOutLeaseAndMargin()
    {
        const LeaseRecord other{"q", Incarnation(3), FencingNumber(7), 4};
        handle(PlacerTick{});
        const absl::Time seen = m_now;
        handle(LeaseRead{other, ObjectVersion(9)});
        while (all<WriteLease>().empty()) {
            m_now = m_placer->nextWakeUp();
            handle(PlacerTick{});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), all<ReadLease>().size());
            handle(LeaseRead{other, ObjectVersion(9)});
        }
        CPPUNIT_ASSERT(m_now == seen + leaseLength + leaseMargin);
        CPPUNIT_ASSERT(all<WriteLease>().front().record.fencing == FencingNumber(8));
        CPPUNIT_ASSERT(all<WriteLease>().front().expected == ObjectVersion(9));
        handle(LeaseWritten{Error{ErrorCode::Conflict}});
        CPPUNIT_ASSERT(!m_placer->mayOrder(m_now));
    }

    void readsBackLostReply()
    {
        handle(PlacerTick{});
        handle(LeaseRead{std::nullopt, ObjectVersion()});
        const LeaseRecord written = all<WriteLease>().front().record;
        handle(LeaseWritten{Error{ErrorCode::StoreOutcomeUnknown}});
        m_now = m_placer->nextWakeUp();
        handle(PlacerTick{});
        handle(LeaseRead{written, ObjectVersion(1)});
        CPPUNIT_ASSERT(m_placer->mayOrder(m_now));
        CPPUNIT_ASSERT(!m_placer->mayOrder(absl::UnixEpoch() + leaseLength - leaseMargin));
    }

    void ordersAfterReadingOnly()
    {
        handle(WishesChanged{fleet(1)});
        lead();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all<ReadEngineState>().size());
        handle(EngineStateRead{TargetId("e0"), EngineState{ModelName("m"), "1", {"x"}, "decode"}});
        const SendOrder order = all<SendOrder>().at(0);
        CPPUNIT_ASSERT(order.wish == (EngineState{ModelName("m"), "2", {"x"}, "decode"}));
        CPPUNIT_ASSERT(order.fencing == FencingNumber(1));
        handle(OrderAnswered{TargetId("e0")});
        m_now += absl::Seconds(5);
        handle(PlacerTick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all<ReadEngineState>().size());
        handle(EngineStateRead{TargetId("e0"), order.wish});
        CPPUNIT_ASSERT(all<SendOrder>().empty());
    }

    void ignoresReadingFromBeforeLapse()
    {
        handle(WishesChanged{fleet(1)});
        lead();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all<ReadEngineState>().size());
        m_now += leaseLength;
        handle(EngineStateRead{TargetId("e0"), EngineState{ModelName("m"), "1"}});
        CPPUNIT_ASSERT(all<SendOrder>().empty());
    }

    void limitsDownloads()
    {
        handle(WishesChanged{fleet(3)});
        lead();
        std::size_t orders = 0;
        for (const auto *it : {"e0", "e1", "e2"}) {
            handle(EngineStateRead{TargetId(it), EngineState{ModelName("m"), "1"}});
            orders += all<SendOrder>().size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), orders);
        handle(OrderAnswered{TargetId("e0")});
        m_now += absl::Seconds(5);
        handle(PlacerTick{});
        // The end of a download lets the next engine be read again, then ordered.
        handle(EngineStateRead{TargetId("e0"), EngineState{ModelName("m"), "2"}});
        CPPUNIT_ASSERT(all<ReadEngineState>().at(0).target == TargetId("e2"));
        handle(EngineStateRead{TargetId("e2"), EngineState{ModelName("m"), "1"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all<SendOrder>().size());
    }

    void stopsWhenFencedOff()
    {
        handle(WishesChanged{fleet(1)});
        lead();
        handle(EngineStateRead{TargetId("e0"), EngineState{ModelName("m"), "1"}});
        handle(OrderAnswered{TargetId("e0"), Error{ErrorCode::FencedOff}});
        CPPUNIT_ASSERT(!m_placer->mayOrder(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all<WriteLease>().size());
    }

    void leavesRetiringEnginesAlone()
    {
        FleetConfiguration configuration = fleet(2);
        configuration.targets.at(TargetId("e0")).retiring = true;
        handle(WishesChanged{configuration});
        lead();
        CPPUNIT_ASSERT(all<ReadEngineState>().at(0).target == TargetId("e1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all<ReadEngineState>().size());
    }

    void readsRecordsBack()
    {
        const LeaseRecord record{"p", Incarnation(~0ull), FencingNumber(3), 4};
        CPPUNIT_ASSERT(leaseRecordFromJson(toJson(record)).value() == record);
        CPPUNIT_ASSERT(leaseRecordFromJson("{}").error().code == ErrorCode::ProtocolViolation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacer);

} // namespace Wisteria
