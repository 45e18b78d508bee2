// Unit tests of the call ledger: claims, lost replies, voids, tickets and drains.

#include <LibLedger/CallLedger.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestCallLedger : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallLedger);
    CPPUNIT_TEST(claimsDispatchesAndRecordsOutcome);
    CPPUNIT_TEST(recognizesOwnClaimByNonceAfterLostReply);
    CPPUNIT_TEST(reportsNotRunWithoutStoreOnlyForFirstRequest);
    CPPUNIT_TEST(dispatchesOwnClaimOnceReadableAgain);
    CPPUNIT_TEST(voidsClaimAfterDeadlineAndAllowsTakeover);
    CPPUNIT_TEST(reportsNotRunWhenNoByteWasSent);
    CPPUNIT_TEST(neverRetriesAfterByteMayHaveBeenSent);
    CPPUNIT_TEST(forwardsToOwnerAndReturnsItsAnswer);
    CPPUNIT_TEST(reportsUnknownForClaimOfEarlierIncarnation);
    CPPUNIT_TEST(dispatchesConcurrentRequestsOnce);
    CPPUNIT_TEST(neverRedispatchesAfterRetentionExpired);
    CPPUNIT_TEST(laterRequestTakesOverVoidedClaim);
    CPPUNIT_TEST(rewritesClaimWhenDelayedVoidMayApply);
    CPPUNIT_TEST(rejectsDifferentBodyUnderSameKey);
    CPPUNIT_TEST(retriesOutcomeWriteInBackground);
    CPPUNIT_TEST(finishesRunningCallsOnDrain);
    CPPUNIT_TEST(dispatchesNothingWithStaleConfiguration);
    CPPUNIT_TEST(reportsThatLargeBodyWasNotKept);
    CPPUNIT_TEST(dispatchesTicketedCallOnceWithoutStore);
    CPPUNIT_TEST(rejectsForgedTickets);
    CPPUNIT_TEST(neverDispatchesTicketsOfOtherIncarnations);
    CPPUNIT_TEST(consumesTicketWhenNoTargetAcceptsCall);
    CPPUNIT_TEST(claimRecordRoundTripsThroughJson);
    CPPUNIT_TEST_SUITE_END();

    SeededRandom m_random{7};
    std::unique_ptr<CallLedger> m_ledger;
    absl::Time m_now{absl::UnixEpoch()};
    std::uint64_t m_lastCall{0};
    LedgerActions m_actions;

    template <typename Event>
    void handle(Event event)
    {
        m_actions = m_ledger->handle(event, m_now);
    }

    CallReceived request(std::uint32_t attempt = 0, const std::string &key = "k") const
    {
        return CallReceived{
            CallId(m_lastCall + 1), WorkspaceName("w"),       ServiceName("s"), IdempotencyKey(key),
            BodyDigest(1),          m_now + absl::Seconds(5), attempt};
    }

    CallId receive(const CallReceived &received)
    {
        ++m_lastCall;
        handle(received);
        return received.call;
    }

    // Returns the action of this type from the last step, and asserts that there is exactly one.
    template <typename Action>
    const Action &singleAction() const
    {
        const Action *found = nullptr;
        for (const auto &it : m_actions) {
            if (const auto *action = std::get_if<Action>(&it)) {
                CPPUNIT_ASSERT(!found);
                found = action;
            }
        }
        CPPUNIT_ASSERT(found);
        return *found;
    }

    template <typename Action>
    std::size_t actionCount() const
    {
        std::size_t n = 0;
        for (const auto &it : m_actions)
            n += std::holds_alternative<Action>(it);
        return n;
    }

    void assertAnswer(CallOutcome outcome, ErrorCode code) const
    {
        const CallAnswer &answer = singleAction<AnswerCall>().answer;
        CPPUNIT_ASSERT(outcome == answer.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string(errorName(code)), std::string(errorName(answer.error.value().code)));
    }

    // Drives a call up to its dispatch; returns the record of its claim.
    ClaimRecord claimAndDispatch(const CallReceived &received)
    {
        receive(received);
        ClaimRecord record = singleAction<WriteClaim>().record;
        handle(ClaimWritten{received.call, ClaimWriteResult::Applied, ObjectVersion(1)});
        CPPUNIT_ASSERT(singleAction<Dispatch>().call == received.call);
        return record;
    }

public:
    void setUp() override { m_ledger = CallLedger::create(RouterId("a"), Incarnation(2), m_random); }

    void claimsDispatchesAndRecordsOutcome()
    {
        claimAndDispatch(request());
        CPPUNIT_ASSERT(!m_ledger->isIdle());
        handle(TargetAnswered{CallId(1), 200, "seat 4"});
        CPPUNIT_ASSERT_EQUAL(std::string("seat 4"), singleAction<AnswerCall>().answer.body);
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Done);
        CPPUNIT_ASSERT(singleAction<WriteClaim>().expected == ObjectVersion(1));
        handle(ClaimWritten{CallId(1), ClaimWriteResult::Applied, ObjectVersion(2)});
        CPPUNIT_ASSERT(m_ledger->isIdle());
        receive(request());
        CPPUNIT_ASSERT_EQUAL(std::string("seat 4"), singleAction<AnswerCall>().answer.body);
    }

    void recognizesOwnClaimByNonceAfterLostReply()
    {
        const CallId call = receive(request());
        const ClaimRecord record = singleAction<WriteClaim>().record;
        handle(ClaimWritten{call, ClaimWriteResult::Indeterminate});
        CPPUNIT_ASSERT(singleAction<ReadClaim>().call == call);
        handle(ClaimRead{call, true, record, ObjectVersion(3)});
        CPPUNIT_ASSERT(singleAction<Dispatch>().call == call);
    }

    void reportsNotRunWithoutStoreOnlyForFirstRequest()
    {
        handle(ClaimWritten{receive(request(1)), ClaimWriteResult::NotApplied});
        assertAnswer(CallOutcome::NotRun, ErrorCode::StoreUnavailable);
        handle(ClaimWritten{receive(request(2, "other")), ClaimWriteResult::NotApplied});
        assertAnswer(CallOutcome::Unknown, ErrorCode::StoreUnavailable);
        handle(ClaimWritten{receive(request(0, "third")), ClaimWriteResult::NotApplied});
        assertAnswer(CallOutcome::Unknown, ErrorCode::StoreUnavailable);
    }

    void dispatchesOwnClaimOnceReadableAgain()
    {
        const CallId call = receive(request(1));
        const ClaimRecord record = singleAction<WriteClaim>().record;
        handle(ClaimWritten{call, ClaimWriteResult::Indeterminate});
        handle(ClaimRead{call, false});
        assertAnswer(CallOutcome::NotRun, ErrorCode::StoreOutcomeUnknown);
        receive(request(1));
        assertAnswer(CallOutcome::NotRun, ErrorCode::StoreOutcomeUnknown);
        const CallId retry = receive(request(2));
        handle(ClaimRead{retry, true, record, ObjectVersion(1)});
        CPPUNIT_ASSERT(singleAction<Dispatch>().call == retry);
    }

    void voidsClaimAfterDeadlineAndAllowsTakeover()
    {
        const CallId call = receive(request(1));
        m_now += absl::Seconds(6);
        handle(ClaimWritten{call, ClaimWriteResult::Applied, ObjectVersion(1)});
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Voided);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), actionCount<Dispatch>());
        const ClaimRecord voided = singleAction<WriteClaim>().record;
        handle(ClaimWritten{call, ClaimWriteResult::Applied, ObjectVersion(2)});
        assertAnswer(CallOutcome::NotRun, ErrorCode::DeadlineExceeded);
        // A request with a greater number takes over the claim at any router. Without a number the void is
        // final.
        auto other = CallLedger::create(RouterId("b"), Incarnation(1), m_random);
        m_ledger.swap(other);
        for (const std::uint32_t attempt : {0, 2}) {
            const CallId takeover = receive(request(attempt));
            handle(ClaimWritten{takeover, ClaimWriteResult::Conflict});
            handle(ClaimRead{takeover, true, voided, ObjectVersion(2)});
            if (attempt == 0)
                assertAnswer(CallOutcome::NotRun, ErrorCode::NoTargetAvailable);
        }
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Claimed);
        CPPUNIT_ASSERT(singleAction<WriteClaim>().expected == ObjectVersion(2));
    }

    void reportsNotRunWhenNoByteWasSent()
    {
        claimAndDispatch(request());
        handle(DispatchFailed{CallId(1), BytesSent::None});
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Voided);
        handle(ClaimWritten{CallId(1), ClaimWriteResult::Applied, ObjectVersion(2)});
        assertAnswer(CallOutcome::NotRun, ErrorCode::NoTargetAvailable);
    }

    void neverRetriesAfterByteMayHaveBeenSent()
    {
        claimAndDispatch(request());
        handle(DispatchFailed{CallId(1), BytesSent::Maybe});
        assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
        receive(request());
        assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
        // A late answer is still accepted.
        handle(TargetAnswered{CallId(1), 200, "late"});
        receive(request());
        CPPUNIT_ASSERT_EQUAL(std::string("late"), singleAction<AnswerCall>().answer.body);
    }

    void forwardsToOwnerAndReturnsItsAnswer()
    {
        const ClaimRecord foreign{RouterId("b"), Incarnation(9), 5, BodyDigest(1), ClaimState::Claimed};
        for (const bool reached : {true, false}) {
            const CallId call = receive(request());
            handle(ClaimWritten{call, ClaimWriteResult::Conflict});
            handle(ClaimRead{call, true, foreign, ObjectVersion(1)});
            CPPUNIT_ASSERT(singleAction<ForwardToOwner>().incarnation == Incarnation(9));
            if (reached) {
                handle(OwnerAnswered{call, CallAnswer{CallOutcome::Ran, 200, "x"}});
                CPPUNIT_ASSERT_EQUAL(std::string("x"), singleAction<AnswerCall>().answer.body);
                continue;
            }
            handle(OwnerAnswered{call, std::nullopt});
            assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
        }
    }

    void reportsUnknownForClaimOfEarlierIncarnation()
    {
        const CallId call = receive(request());
        handle(ClaimWritten{call, ClaimWriteResult::Conflict});
        const ClaimRecord earlier{RouterId("a"), Incarnation(1), 5, BodyDigest(1), ClaimState::Claimed};
        handle(ClaimRead{call, true, earlier, ObjectVersion(1)});
        assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
    }

    void dispatchesConcurrentRequestsOnce()
    {
        const CallId call = receive(request());
        receive(request());
        CPPUNIT_ASSERT(m_actions.empty());
        handle(ClaimWritten{call, ClaimWriteResult::Applied, ObjectVersion(1)});
        const CallId dispatched = singleAction<Dispatch>().call;
        receive(request());
        CPPUNIT_ASSERT(m_actions.empty());
        handle(TargetAnswered{dispatched, 200, "x"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), actionCount<AnswerCall>());
    }

    void neverRedispatchesAfterRetentionExpired()
    {
        const ClaimRecord record = claimAndDispatch(request());
        handle(DispatchFailed{CallId(1), BytesSent::Maybe});
        m_now += absl::Minutes(11);
        handle(LedgerTick{});
        const CallId retry = receive(request());
        handle(ClaimWritten{retry, ClaimWriteResult::Conflict});
        handle(ClaimRead{retry, true, record, ObjectVersion(1)});
        assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
    }

    void laterRequestTakesOverVoidedClaim()
    {
        claimAndDispatch(request(1));
        handle(DispatchFailed{CallId(1), BytesSent::None});
        const CallId laterCall = receive(request(2));
        handle(ClaimWritten{CallId(1), ClaimWriteResult::Applied, ObjectVersion(2)});
        CPPUNIT_ASSERT(singleAction<AnswerCall>().call == CallId(1));
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Claimed);
        handle(ClaimWritten{laterCall, ClaimWriteResult::Applied, ObjectVersion(3)});
        CPPUNIT_ASSERT(singleAction<Dispatch>().call == laterCall);
    }

    void rewritesClaimWhenDelayedVoidMayApply()
    {
        const ClaimRecord record = claimAndDispatch(request());
        handle(DispatchFailed{CallId(1), BytesSent::None});
        handle(ClaimWritten{CallId(1), ClaimWriteResult::Indeterminate});
        handle(ClaimRead{CallId(1), false});
        const CallId retry = receive(request());
        handle(ClaimRead{retry, true, record, ObjectVersion(1)});
        // After a dispatch under version 1, the delayed void could be applied and another router could
        // dispatch the call again.
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Claimed);
        CPPUNIT_ASSERT(singleAction<WriteClaim>().expected == ObjectVersion(1));
        handle(ClaimWritten{retry, ClaimWriteResult::Applied, ObjectVersion(2)});
        CPPUNIT_ASSERT(singleAction<Dispatch>().call == retry);
    }

    void rejectsDifferentBodyUnderSameKey()
    {
        claimAndDispatch(request());
        CallReceived other = request();
        other.digest = BodyDigest(2);
        receive(other);
        assertAnswer(CallOutcome::NotRun, ErrorCode::IdempotencyKeyReused);
    }

    void retriesOutcomeWriteInBackground()
    {
        claimAndDispatch(request());
        handle(TargetAnswered{CallId(1), 200, "x"});
        for (int tries = 0; tries < 5; ++tries) {
            handle(ClaimWritten{CallId(1),
                                tries % 2 ? ClaimWriteResult::Indeterminate : ClaimWriteResult::NotApplied});
            CPPUNIT_ASSERT(!m_ledger->isIdle());
            CPPUNIT_ASSERT(m_ledger->nextWakeUp() > m_now);
            m_now = m_ledger->nextWakeUp();
            handle(LedgerTick{});
            CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Done);
        }
        handle(ClaimWritten{CallId(1), ClaimWriteResult::Conflict});
        CPPUNIT_ASSERT(m_ledger->isIdle());
    }

    void finishesRunningCallsOnDrain()
    {
        claimAndDispatch(request());
        handle(LedgerDrainStarted{});
        receive(request(1, "first"));
        assertAnswer(CallOutcome::NotRun, ErrorCode::Draining);
        // A later request may have run elsewhere; only a void of its claim proves that it did not.
        const CallId call = receive(request(2, "second"));
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Voided);
        handle(ClaimWritten{call, ClaimWriteResult::Applied, ObjectVersion(1)});
        assertAnswer(CallOutcome::NotRun, ErrorCode::Draining);
        // A void would invalidate the key of a caller that does not number its requests.
        receive(request(0, "without a number"));
        assertAnswer(CallOutcome::Unknown, ErrorCode::Draining);
        handle(TargetAnswered{CallId(1), 200, "x"});
        CPPUNIT_ASSERT(singleAction<AnswerCall>().answer.outcome == CallOutcome::Ran);
    }

    void dispatchesNothingWithStaleConfiguration()
    {
        const CallReceived claimed = request(1, "claimed");
        receive(claimed);
        const IdempotencyKey ticket = m_ledger->issueTicket(m_now);
        handle(LedgerConfigurationFreshnessChanged{false});
        receive(request(1, "new"));
        assertAnswer(CallOutcome::NotRun, ErrorCode::ConfigurationStale);
        receive(request(1, ticket.value()));
        assertAnswer(CallOutcome::NotRun, ErrorCode::ConfigurationStale);
        // The configuration becomes stale between the claim and the dispatch, for example during a pause of
        // the process.
        handle(ClaimWritten{claimed.call, ClaimWriteResult::Applied, ObjectVersion(1)});
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.state == ClaimState::Voided);
        handle(ClaimWritten{claimed.call, ClaimWriteResult::Applied, ObjectVersion(2)});
        assertAnswer(CallOutcome::NotRun, ErrorCode::ConfigurationStale);
        handle(LedgerConfigurationFreshnessChanged{true});
        claimAndDispatch(request(1, "later"));
    }

    void reportsThatLargeBodyWasNotKept()
    {
        const std::string body(1 << 20, 'x');
        claimAndDispatch(request());
        handle(TargetAnswered{CallId(1), 200, body});
        CPPUNIT_ASSERT_EQUAL(body, singleAction<AnswerCall>().answer.body);
        CPPUNIT_ASSERT(singleAction<WriteClaim>().record.bodyKept == BodyKept::No);
        receive(request());
        assertAnswer(CallOutcome::Ran, ErrorCode::AnswerLost);
    }

    void dispatchesTicketedCallOnceWithoutStore()
    {
        const std::string key = m_ledger->issueTicket(m_now).value();
        const CallId call = receive(request(0, key));
        CPPUNIT_ASSERT(singleAction<Dispatch>().call == call);
        receive(request(0, key));
        CPPUNIT_ASSERT(m_actions.empty());
        handle(TargetAnswered{call, 200, "x"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), actionCount<AnswerCall>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), actionCount<WriteClaim>());
        // The outcome is retained while the ticket is valid; after that the answer is Unknown.
        for (int minutes = 0; minutes < 25; ++minutes) {
            receive(request(0, key));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), actionCount<Dispatch>());
            m_now += absl::Minutes(1);
            handle(LedgerTick{});
        }
        receive(request(0, key));
        assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
    }

    void rejectsForgedTickets()
    {
        const std::string key = m_ledger->issueTicket(m_now).value();
        std::string forged = key;
        forged.back() = forged.back() == '0' ? '1' : '0';
        for (const auto &it :
             {forged, std::string("wt1.a.2.1"), std::string("wt1.a.2.01.") + key.substr(10)}) {
            receive(request(0, it));
            assertAnswer(CallOutcome::NotRun, ErrorCode::InvalidRequest);
        }
    }

    void neverDispatchesTicketsOfOtherIncarnations()
    {
        auto other = CallLedger::create(RouterId("b.x"), Incarnation(4), m_random);
        const CallId call = receive(request(0, other->issueTicket(m_now).value()));
        CPPUNIT_ASSERT(singleAction<ForwardToOwner>().owner == RouterId("b.x"));
        CPPUNIT_ASSERT(singleAction<ForwardToOwner>().incarnation == Incarnation(4));
        handle(OwnerAnswered{call, std::nullopt});
        assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
        other = CallLedger::create(RouterId("a"), Incarnation(1), m_random);
        receive(request(0, other->issueTicket(m_now).value()));
        assertAnswer(CallOutcome::Unknown, ErrorCode::AnswerLost);
    }

    void consumesTicketWhenNoTargetAcceptsCall()
    {
        const std::string key = m_ledger->issueTicket(m_now).value();
        const CallId call = receive(request(0, key));
        handle(DispatchFailed{call, BytesSent::None});
        assertAnswer(CallOutcome::NotRun, ErrorCode::NoTargetAvailable);
        receive(request(0, key));
        assertAnswer(CallOutcome::NotRun, ErrorCode::NoTargetAvailable);
    }

    void claimRecordRoundTripsThroughJson()
    {
        ClaimRecord record{RouterId("a"), Incarnation(3), ~0ull, BodyDigest(~0ull), ClaimState::Done};
        record.status = 409;
        record.body = "{\"seat\": \"\\n\"}";
        CPPUNIT_ASSERT(claimRecordFromJson(toJson(record)).value() == record);
        ClaimRecord voided{RouterId("a"), Incarnation(3), 1, BodyDigest(2), ClaimState::Voided, 4};
        CPPUNIT_ASSERT(claimRecordFromJson(toJson(voided)).value() == voided);
        for (const auto *it : {"", "{}", R"({"owner":"a","incarnation":1,"nonce":1,"digest":1,"state":"x"})"})
            CPPUNIT_ASSERT(claimRecordFromJson(it).error().code == ErrorCode::ProtocolViolation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallLedger);

} // namespace Wisteria
