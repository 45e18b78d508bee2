// Spacing of permits, and the messages that ask for them.

#include <LibForwarding/LimitMessages.h>

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestPermitIssuer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPermitIssuer);
    CPPUNIT_TEST(permitsAreSpacedByTheLimit);
    CPPUNIT_TEST(requestThatCanWaitGetsALaterTime);
    CPPUNIT_TEST(permitsAreNotIssuedBeyondTheHorizon);
    CPPUNIT_TEST(newIssuerOfAnOldLimitWaitsForPermitsOfTheOneBefore);
    CPPUNIT_TEST(laterProcessOfATargetStartsAnew);
    CPPUNIT_TEST(limitOfZeroLeavesOneRequestInTenSeconds);
    CPPUNIT_TEST(messagesAreDecodedAsTheyWereEncoded);
    CPPUNIT_TEST(malformedMessagesAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void permitsAreSpacedByTheLimit()
    {
        const auto limit = limitOf(2, m_now);
        CPPUNIT_ASSERT(issue(limit, 0) == PermitOutcome({true, absl::ZeroDuration()}));
        CPPUNIT_ASSERT(issue(limit, 0) == PermitOutcome({false, absl::Milliseconds(500)}));
        m_now += absl::Milliseconds(500);
        CPPUNIT_ASSERT(issue(limit, 0).isGranted);
        CPPUNIT_ASSERT(!issue(limit, 0).isGranted);
        // Permits that nobody asked for are not saved up, but for a second's.
        m_now += absl::Minutes(1);
        CPPUNIT_ASSERT(issue(limit, 0).isGranted);
        CPPUNIT_ASSERT(issue(limit, 0).isGranted);
        CPPUNIT_ASSERT(!issue(limit, 0).isGranted);
        const auto fast = limitOf(40, m_now, "fast");
        CPPUNIT_ASSERT(issue(fast, 0).isGranted);
        CPPUNIT_ASSERT(!issue(fast, 0).isGranted);
        m_now += absl::Minutes(1);
        int burst = 0;
        while (issue(fast, 0).isGranted)
            ++burst;
        CPPUNIT_ASSERT_EQUAL(40, burst);
    }

    void requestThatCanWaitGetsALaterTime()
    {
        const auto limit = limitOf(4, m_now);
        (void)issue(limit, 0);
        CPPUNIT_ASSERT(issue(limit, 300) == PermitOutcome({true, absl::Milliseconds(250)}));
        CPPUNIT_ASSERT(issue(limit, 300) == PermitOutcome({false, absl::Milliseconds(500)}));
        CPPUNIT_ASSERT(issue(limit, 500) == PermitOutcome({true, absl::Milliseconds(500)}));
    }

    void permitsAreNotIssuedBeyondTheHorizon()
    {
        const auto limit = limitOf(0.5, m_now);
        (void)issue(limit, 0);
        CPPUNIT_ASSERT(issue(limit, 60000) == PermitOutcome({false, absl::Seconds(2)}));
    }

    void newIssuerOfAnOldLimitWaitsForPermitsOfTheOneBefore()
    {
        const auto limit = limitOf(2, m_now - absl::Seconds(30));
        CPPUNIT_ASSERT(issue(limit, 0) == PermitOutcome({false, PermitIssuer::horizon}));
        m_now += PermitIssuer::horizon;
        CPPUNIT_ASSERT(issue(limit, 0).isGranted);
        // It is a new issuer again after another one has issued.
        m_issuer.stopIssuing(limit.process.id);
        CPPUNIT_ASSERT(issue(limit, 0) == PermitOutcome({false, PermitIssuer::horizon}));
    }

    void laterProcessOfATargetStartsAnew()
    {
        auto limit = limitOf(0.5, m_now);
        (void)issue(limit, 0);
        limit.process.startedAtMs = 2;
        CPPUNIT_ASSERT(issue(limit, 0).isGranted);
    }

    void limitOfZeroLeavesOneRequestInTenSeconds()
    {
        const auto limit = limitOf(0, m_now);
        CPPUNIT_ASSERT(issue(limit, 0).isGranted);
        CPPUNIT_ASSERT(issue(limit, 0) == PermitOutcome({false, absl::Seconds(10)}));
    }

    void messagesAreDecodedAsTheyWereEncoded()
    {
        auto limit = limitOf(2.1, m_now - absl::Seconds(7));
        limit.statedAt = m_now - absl::Milliseconds(40);
        auto ended = limitOf(1, m_now, "u");
        ended.rate.reset();
        const auto news = decode<LimitNews>(LimitNews{RouterId("g1"), {limit, ended}});
        CPPUNIT_ASSERT(news.sender == RouterId("g1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, news.limits.size());
        CPPUNIT_ASSERT(news.limits[0].process == limit.process);
        CPPUNIT_ASSERT(news.limits[0].rate == limit.rate);
        CPPUNIT_ASSERT(news.limits[0].statedAt == limit.statedAt);
        CPPUNIT_ASSERT(news.limits[0].firstNamedAt == limit.firstNamedAt);
        CPPUNIT_ASSERT(!news.limits[1].rate);
        const auto request = decode<PermitRequest>(PermitRequest{.asker = RouterId("g2"),
                                                                 .id = PermitRequestId(7),
                                                                 .limit = limit,
                                                                 .maxWait = absl::Milliseconds(300),
                                                                 .isForwarded = true});
        CPPUNIT_ASSERT(request.asker == RouterId("g2") && request.id == PermitRequestId(7));
        CPPUNIT_ASSERT(request.maxWait == absl::Milliseconds(300) && request.isForwarded);
        CPPUNIT_ASSERT(request.limit.rate == limit.rate);
        const auto answer =
            decode<PermitAnswer>(PermitAnswer{PermitRequestId(7), {false, absl::Milliseconds(450)}});
        CPPUNIT_ASSERT(answer.id == PermitRequestId(7));
        CPPUNIT_ASSERT(answer.outcome == PermitOutcome({false, absl::Milliseconds(450)}));
    }

    void malformedMessagesAreErrors()
    {
        const auto bytes = encodeLimitMessage(LimitNews{RouterId("g1"), {limitOf(2, m_now)}}, m_now);
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CPPUNIT_ASSERT(!decodeLimitMessage(bytes.substr(0, n), m_now));
        for (const double rate :
             {-1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
            const auto news = encodeLimitMessage(LimitNews{RouterId("g1"), {limitOf(rate, m_now)}}, m_now);
            CPPUNIT_ASSERT(!decodeLimitMessage(news, m_now));
        }
        CPPUNIT_ASSERT(!isLimitMessage(""));
        CPPUNIT_ASSERT(!decodeLimitMessage("\xa0", m_now));
        CPPUNIT_ASSERT(!decodeLimitMessage("\xa1\x61x\x80", m_now));
    }

private:
    [[nodiscard]] static TargetLimit limitOf(double perSecond, absl::Time firstNamedAt,
                                             const std::string &target = "t")
    {
        return {{TargetId(target), 1, "127.0.0.1:1"},
                RequestRate::perSecond(perSecond),
                firstNamedAt,
                firstNamedAt};
    }

    PermitOutcome issue(const TargetLimit &limit, int maxWaitMs)
    {
        return m_issuer.issue(limit, absl::Milliseconds(maxWaitMs), m_now);
    }

    template <typename Message>
    Message decode(const LimitMessage &message)
    {
        const auto bytes = encodeLimitMessage(message, m_now);
        CPPUNIT_ASSERT(isLimitMessage(bytes));
        const auto decoded = decodeLimitMessage(bytes, m_now);
        CPPUNIT_ASSERT(decoded);
        return std::get<Message>(*decoded);
    }

    absl::Time m_now{absl::UnixEpoch() + absl::Hours(1)};
    PermitIssuer m_issuer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPermitIssuer);

} // namespace Wisteria
