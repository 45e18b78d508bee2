// Server-Sent Events arrive whole, in any cut of the bytes, and a cut event never counts.

#include <LibCore/EventStream.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestEventStream : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEventStream);
    CPPUNIT_TEST(readsEventsInAnyCut);
    CPPUNIT_TEST(dropsEventCutShort);
    CPPUNIT_TEST(refusesOversizedEvent);
    CPPUNIT_TEST(formatsAndReadsLineBreaks);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsEventsInAnyCut()
    {
        const std::string bytes = ": comment\r\nid: g1.1.0\r\ndata: one\r\n\r\nid: g1.1.1\ndata: two\n\n";
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            EventStreamReader reader;
            auto events = reader.feed(std::string_view(bytes).substr(0, cut)).value();
            auto rest = reader.feed(std::string_view(bytes).substr(cut)).value();
            events.insert(events.end(), rest.begin(), rest.end());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), events.size());
            CPPUNIT_ASSERT_EQUAL(std::string("one"), events[0].data);
            CPPUNIT_ASSERT_EQUAL(std::string("g1.1.1"), events[1].id);
        }
    }

    void dropsEventCutShort()
    {
        EventStreamReader reader;
        CPPUNIT_ASSERT(reader.feed("data: half").value().empty());
        CPPUNIT_ASSERT(reader.feed("\n").value().empty());
    }

    void refusesOversizedEvent()
    {
        EventStreamReader reader;
        CPPUNIT_ASSERT(!reader.feed("data: " + std::string(EventStreamReader::maxEventBytes + 1, 'x')));
    }

    void formatsAndReadsLineBreaks()
    {
        StreamEvent event{"7", "token", "a\n\nb"};
        EventStreamReader reader;
        auto events = reader.feed(formatEvent(event)).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), events.size());
        CPPUNIT_ASSERT(events[0] == event);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestEventStream);

} // namespace Wisteria
