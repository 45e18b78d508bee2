// Tests which requests the router starts, queues or refuses.

#include "FakeRouterHost.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace Wisteria {

class TestAdmission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAdmission);
    CPPUNIT_TEST(refusesUnknownWorkspaceOrService);
    CPPUNIT_TEST(staleRouterRefusesNewWorkButReattaches);
    CPPUNIT_TEST(keepsReservedSlotsForUrgentRequests);
    CPPUNIT_TEST(reservesWholeTargetsForUrgentRequests);
    CPPUNIT_TEST(patientRequestUsesReservedTargetWhenNoOtherIsLive);
    CPPUNIT_TEST(startsUrgentRequestsBeforePatientOnes);
    CPPUNIT_TEST(refusesAtOnceWhenQueueIsFull);
    CPPUNIT_TEST(sharesSlotsByWorkspaceWeight);
    CPPUNIT_TEST(enforcesWorkspaceLimitAcrossRouters);
    CPPUNIT_TEST(refusesQueuedRequestsWhenNoTargetIsLeft);
    CPPUNIT_TEST(refusesQueuedRequestAtDeadline);
    CPPUNIT_TEST(refusesAtOnceWhenEstimatedWaitExceedsDeadline);
    CPPUNIT_TEST(usesSuspectTargetOnlyWhenNoLiveOneIsLeft);
    CPPUNIT_TEST(ignoresOlderConfigurationVersion);
    CPPUNIT_TEST(handsOverQueuedRequestsOnDrain);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesUnknownWorkspaceOrService()
    {
        FakeRouterHost host;
        CPPUNIT_ASSERT(refusalCode(host.open("g")) == ErrorCode::NoTargetAvailable);
        host.configuration.workspaces.clear();
        host.applyConfiguration();
        CPPUNIT_ASSERT(refusalCode(host.open("g")) == ErrorCode::UnknownWorkspace);
        host.configuration.services.begin()->second.kind = ServiceKind::Plain;
        host.applyConfiguration();
        CPPUNIT_ASSERT(refusalCode(host.open("g")) == ErrorCode::UnknownService);
    }

    void staleRouterRefusesNewWorkButReattaches()
    {
        FakeRouterHost host;
        host.setTarget("t1");
        host.feed(FreshnessChanged{false});
        auto refused = actionsOfType<RefuseGeneration>(host.open("g")).at(0).error;
        CPPUNIT_ASSERT(refused.code == ErrorCode::ConfigurationStale && refused.retryAfter);
        const ResumePoint point{TargetId("t1"), EngineStreamId("s"), TokenOffset(0), TokenOffset(5)};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actionsOfType<ReattachAttempt>(host.reopen("h", point)).size());
    }

    void keepsReservedSlotsForUrgentRequests()
    {
        FakeRouterHost host({.urgentReserve = 0.5});
        host.setTarget("t1", 4);
        CPPUNIT_ASSERT(startsAttempt(host.open("p1")) && startsAttempt(host.open("p2")));
        CPPUNIT_ASSERT(!startsAttempt(host.open("p3")));
        CPPUNIT_ASSERT(startsAttempt(host.open("u1", Urgency::Urgent)));
        CPPUNIT_ASSERT(startsAttempt(host.open("u2", Urgency::Urgent)));
    }

    void reservesWholeTargetsForUrgentRequests()
    {
        FakeRouterHost host({.urgentReserve = 0.5});
        for (const char *id : {"t1", "t2", "t3", "t4"})
            host.setTarget(id, 2);
        std::set<TargetId> patient;
        for (const char *id : {"p1", "p2", "p3", "p4"})
            patient.insert(actionsOfType<StartAttempt>(host.open(id)).at(0).target);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), patient.size());
        CPPUNIT_ASSERT(!startsAttempt(host.open("p5")));
        // Reserved targets hold no patient requests, so this does not depend on other routers' load reports.
        for (const char *id : {"u1", "u2", "u3", "u4"})
            CPPUNIT_ASSERT(
                !patient.contains(actionsOfType<StartAttempt>(host.open(id, Urgency::Urgent)).at(0).target));
    }

    void patientRequestUsesReservedTargetWhenNoOtherIsLive()
    {
        FakeRouterHost host({.urgentReserve = 0.5});
        host.setTarget("t1", 2);
        host.setTarget("t2", 2);
        const auto unreserved = actionsOfType<StartAttempt>(host.open("p1")).at(0).target;
        host.setTarget(unreserved.value(), 2, TargetPhase::Leaving);
        const auto next = actionsOfType<StartAttempt>(host.open("p2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.size());
        CPPUNIT_ASSERT(next[0].target != unreserved);
    }

    void startsUrgentRequestsBeforePatientOnes()
    {
        FakeRouterHost host({.urgentReserve = 0});
        host.setTarget("t1", 1);
        const auto running = actionsOfType<StartAttempt>(host.open("p1")).at(0);
        CPPUNIT_ASSERT(!startsAttempt(host.open("p2")));
        CPPUNIT_ASSERT(startsAttempt(host.open("u1", Urgency::Urgent)));
        CPPUNIT_ASSERT(!startsAttempt(host.open("u2", Urgency::Urgent)));
        auto next = actionsOfType<StartAttempt>(host.feed(AttemptFinished{running.attempt, TokenOffset(0)}));
        CPPUNIT_ASSERT(next.at(0).generation == GenerationId("u2"));
    }

    void refusesAtOnceWhenQueueIsFull()
    {
        FakeRouterHost host({.urgentReserve = 0, .maxWaiting = 1});
        host.setTarget("t1", 1);
        host.open("p1");
        CPPUNIT_ASSERT(!refusalCode(host.open("p2")));
        CPPUNIT_ASSERT(refusalCode(host.open("p3")) == ErrorCode::Overloaded);
    }

    void sharesSlotsByWorkspaceWeight()
    {
        FakeRouterHost host({.urgentReserve = 0});
        host.configuration.workspaces[WorkspaceName("heavy")] = {.name = WorkspaceName("heavy"), .weight = 3};
        host.applyConfiguration();
        host.setTarget("t1", 1);
        auto running = actionsOfType<StartAttempt>(host.open("g")).at(0);
        for (int it = 0; it < 12; ++it) {
            host.open("light" + std::to_string(it));
            RequestOpened heavy{.generation = GenerationId("heavy" + std::to_string(it)),
                                .workspace = WorkspaceName("heavy"),
                                .service = ServiceName("digest")};
            host.feed(heavy);
        }
        int heavyStarts = 0;
        for (int it = 0; it < 12; ++it) {
            running = actionsOfType<StartAttempt>(host.feed(AttemptFinished{running.attempt, TokenOffset(0)}))
                          .at(0);
            heavyStarts += running.generation.value().starts_with("heavy") ? 1 : 0;
        }
        CPPUNIT_ASSERT(heavyStarts >= 8 && heavyStarts <= 10);
    }

    void enforcesWorkspaceLimitAcrossRouters()
    {
        FakeRouterHost host;
        host.configuration.workspaces.begin()->second.maxGenerations = 3;
        host.applyConfiguration();
        host.setTarget("t1", 16);
        host.feed(WorkspaceDemandReported{WorkspaceName("kochi"), 2, 2});
        CPPUNIT_ASSERT(startsAttempt(host.open("g1")));
        CPPUNIT_ASSERT(refusalCode(host.open("g2")) == ErrorCode::WorkspaceLimitReached);
        host.feed(CallerLeft{GenerationId("g1")});
        host.feed(WorkspaceDemandReported{WorkspaceName("kochi"), 2, 2});
        CPPUNIT_ASSERT(startsAttempt(host.open("g3")));
    }

    void refusesQueuedRequestsWhenNoTargetIsLeft()
    {
        FakeRouterHost host({.urgentReserve = 0});
        host.setTarget("t1", 1);
        host.open("g1");
        host.open("g2");
        host.setTarget("t1", 1, TargetPhase::Leaving);
        host.open("g3");
        CPPUNIT_ASSERT(host.router().demand().at(WorkspaceName("kochi")) == 1);
        CPPUNIT_ASSERT(refusalCode(host.open("g4")) == ErrorCode::NoTargetAvailable);
    }

    void refusesQueuedRequestAtDeadline()
    {
        FakeRouterHost host({.urgentReserve = 0});
        host.setTarget("t1", 1);
        const auto running = actionsOfType<StartAttempt>(host.open("g1")).at(0);
        host.feed(RequestOpened{.generation = GenerationId("g2"),
                                .workspace = WorkspaceName("kochi"),
                                .service = ServiceName("digest"),
                                .deadline = host.now + absl::Seconds(1)});
        CPPUNIT_ASSERT(refusalCode(host.advance(absl::Milliseconds(1010))) == ErrorCode::DeadlineExceeded);
        CPPUNIT_ASSERT(!startsAttempt(host.feed(AttemptFinished{running.attempt, TokenOffset(0)})));
    }

    void refusesAtOnceWhenEstimatedWaitExceedsDeadline()
    {
        FakeRouterHost host({.urgentReserve = 0});
        host.setTarget("t1", 1);
        // One generation ends every two seconds while six more are queued.
        auto running = actionsOfType<StartAttempt>(host.open("g0")).at(0);
        for (int it = 1; it <= 6; ++it)
            host.open("g" + std::to_string(it));
        for (int it = 7; it <= 14; ++it) {
            host.now += absl::Seconds(2);
            running = actionsOfType<StartAttempt>(host.feed(AttemptFinished{running.attempt, TokenOffset(0)}))
                          .at(0);
            host.open("g" + std::to_string(it));
        }
        RequestOpened request{.generation = GenerationId("short"),
                              .workspace = WorkspaceName("kochi"),
                              .service = ServiceName("digest"),
                              .deadline = host.now + absl::Seconds(5)};
        const Error error = actionsOfType<RefuseGeneration>(host.feed(request)).at(0).error;
        CPPUNIT_ASSERT(error.code == ErrorCode::Overloaded);
        CPPUNIT_ASSERT(error.retryAfter > absl::Seconds(3) && error.retryAfter < absl::Seconds(20));
        request.deadline = host.now + absl::Seconds(60);
        CPPUNIT_ASSERT(actionsOfType<RefuseGeneration>(host.feed(request)).empty());
    }

    void usesSuspectTargetOnlyWhenNoLiveOneIsLeft()
    {
        FakeRouterHost host({.urgentReserve = 0});
        host.setTarget("t1", 2, TargetPhase::Suspect);
        host.setTarget("t2", 1);
        CPPUNIT_ASSERT(actionsOfType<StartAttempt>(host.open("g1")).at(0).target == TargetId("t2"));
        CPPUNIT_ASSERT(!startsAttempt(host.open("g2")));
        auto started = actionsOfType<StartAttempt>(
            host.feed(TargetChanged{TargetId("t2"), ServiceName("digest"), {}, 1, TargetPhase::Leaving}));
        CPPUNIT_ASSERT(started.at(0).target == TargetId("t1"));
    }

    void ignoresOlderConfigurationVersion()
    {
        FakeRouterHost host;
        host.setTarget("t1");
        FleetConfiguration older = host.configuration;
        older.services.clear();
        host.applyConfiguration();
        host.feed(ConfigurationChanged{older});
        CPPUNIT_ASSERT(startsAttempt(host.open("g")));
    }

    void handsOverQueuedRequestsOnDrain()
    {
        FakeRouterHost host({.urgentReserve = 0});
        host.setTarget("t1", 1);
        host.open("g1");
        host.open("g2");
        auto handedOver = actionsOfType<HandOverGeneration>(host.feed(DrainStarted{}));
        CPPUNIT_ASSERT(handedOver.size() == 1 && handedOver[0].generation == GenerationId("g2"));
        CPPUNIT_ASSERT(!host.router().isIdle());
    }

private:
    static bool startsAttempt(const RoutingActions &actions)
    {
        return !actionsOfType<StartAttempt>(actions).empty();
    }
    static std::optional<ErrorCode> refusalCode(const RoutingActions &actions)
    {
        auto refused = actionsOfType<RefuseGeneration>(actions);
        return refused.empty() ? std::nullopt : std::optional(refused[0].error.code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmission);

} // namespace Wisteria
