// Tests DirectoryView with an in-memory store, and relays between two views.

#include "FakeDirectory.h"

#include <LibPlatform/MonotonicClock.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestDirectoryView : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDirectoryView);
    CPPUNIT_TEST(repeatedChangesInBatchApplyOnlyLatest);
    CPPUNIT_TEST(olderConfigurationVersionIsIgnored);
    CPPUNIT_TEST(undecodableObjectYieldsNoTarget);
    CPPUNIT_TEST(changesAreRelayed);
    CPPUNIT_TEST(removalsAreRelayed);
    CPPUNIT_TEST(fullViewIsRelayedAfterLongGap);
    CPPUNIT_TEST(fullViewIsRelayedAfterStart);
    CPPUNIT_TEST(malformedRelaysAreRejected);
    CPPUNIT_TEST(configurationOfRestoredCopyIsIgnored);
    CPPUNIT_TEST(restoredStoreIsRelayedAsFullView);
    CPPUNIT_TEST(deferredRemovalIsRelayed);
    CPPUNIT_TEST(deferredRemovalTakesEffectAtFollowers);
    CPPUNIT_TEST(relayedDeferralEndsWhenTargetReturns);
    CPPUNIT_TEST(configurationOfRestoredCopyOutranksNewerOneOfPeer);
    CPPUNIT_TEST(targetThatRestartsWithinBatchIsKept);
    CPPUNIT_TEST(endOfOutageIsNoticedSoon);
    CPPUNIT_TEST_SUITE_END();

public:
    // A change, a removal and a new start under the same id lost the target until its entry changed again.
    void targetThatRestartsWithinBatchIsKept()
    {
        detail::DirectoryViewFixture view(DirectoryKind::Targets);
        view.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        auto removal = detail::makeObject("a", 3, nullptr);
        removal.isRemoved = true;
        view.store.completeWatch(
            {{detail::makeObject("a", 2, "1.1.1.1:2"), removal, detail::makeObject("a", 4, "1.1.1.1:3")},
             detail::makePosition(4)});
        CPPUNIT_ASSERT_EQUAL(std::string("1.1.1.1:3"), view.listener.targets["a"]);
    }

    // Removals after an outage were held back for too long, since a watch that had begun before its end hung
    // beyond it.
    void endOfOutageIsNoticedSoon()
    {
        detail::DirectoryViewFixture view(DirectoryKind::Targets);
        view.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        CPPUNIT_ASSERT(view.store.lastWait > absl::ZeroDuration());
        for (int n = 0; n < 3; ++n) {
            view.store.failWatch(ErrorCode::StoreUnavailable);
            view.context.restart();
            view.context.run_for(absl::ToChronoMilliseconds(DirectorySynchronizer::maxBackoff));
            CPPUNIT_ASSERT(view.store.hasPendingWatch());
            CPPUNIT_ASSERT(view.store.lastWait == absl::ZeroDuration());
        }
        view.store.completeWatch({{}, detail::makePosition(1)});
        CPPUNIT_ASSERT(view.store.lastWait > absl::ZeroDuration());
    }

    // The second change to an object in one batch used to be decoded from the moved-from content of the
    // first, and relays spread the wrong value to all routers.
    void repeatedChangesInBatchApplyOnlyLatest()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Configuration);
        first.store.completeList({{detail::makeObject("main", 1, 1U)}, detail::makePosition(1)});
        first.store.completeWatch({{detail::makeObject("main", 2, 2U), detail::makeObject("main", 3, 3U),
                                    detail::makeObject("main", 4, 4U)},
                                   detail::makePosition(4)});
        CPPUNIT_ASSERT((first.listener.versions == std::vector<std::uint64_t>{1, 4}));
        detail::DirectoryViewFixture second(DirectoryKind::Configuration);
        CPPUNIT_ASSERT(second.view.mergePeerView(first.view.changesAfter(StorePosition())));
        CPPUNIT_ASSERT((second.listener.versions == std::vector<std::uint64_t>{4}));
    }

    void olderConfigurationVersionIsIgnored()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Configuration);
        first.store.completeList({{detail::makeObject("main", 1, 7U)}, detail::makePosition(1)});
        first.store.completeWatch({{detail::makeObject("main", 2, 6U)}, detail::makePosition(2)});
        CPPUNIT_ASSERT((first.listener.versions == std::vector<std::uint64_t>{7}));
    }

    void undecodableObjectYieldsNoTarget()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1"), detail::makeObject("b", 1, 5)},
                                  detail::makePosition(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.listener.targets.size());
        // A target is removed when its object can no longer be decoded.
        first.store.completeWatch({{detail::makeObject("a", 2, nullptr)}, detail::makePosition(2)});
        CPPUNIT_ASSERT(first.listener.targets.empty());
    }

    void changesAreRelayed()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        detail::DirectoryViewFixture second(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        second.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        first.store.completeWatch({{detail::makeObject("b", 2, "1.1.1.1:2")}, detail::makePosition(2)});
        const auto changes = first.view.changesAfter(second.view.changePosition());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes["objects"].size());
        CPPUNIT_ASSERT(second.view.mergePeerView(changes));
        CPPUNIT_ASSERT(second.listener.targets == first.listener.targets);
        CPPUNIT_ASSERT(second.view.changePosition() == first.view.changePosition());
    }

    void removalsAreRelayed()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        detail::DirectoryViewFixture second(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        second.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        DirectoryObject removal = detail::makeObject("a", 2, nullptr);
        removal.isRemoved = true;
        first.store.completeWatch({{removal}, detail::makePosition(2)});
        CPPUNIT_ASSERT(second.view.mergePeerView(first.view.changesAfter(second.view.changePosition())));
        CPPUNIT_ASSERT(second.listener.targets.empty());
    }

    // A router that has just started must relay its first list as a full view. Relayed as changes, it would
    // omit targets that were removed before the list was read, and the receiver would keep them.
    void fullViewIsRelayedAfterStart()
    {
        detail::DirectoryViewFixture fresh(DirectoryKind::Targets);
        detail::DirectoryViewFixture second(DirectoryKind::Targets);
        second.store.completeList(
            {{detail::makeObject("gone", 1, "1.1.1.1:1"), detail::makeObject("stays", 2, "1.1.1.1:2")},
             detail::makePosition(3)});
        fresh.store.completeList({{detail::makeObject("stays", 2, "1.1.1.1:2")}, detail::makePosition(5)});
        CPPUNIT_ASSERT(second.view.mergePeerView(fresh.view.changesAfter(second.view.changePosition())));
        CPPUNIT_ASSERT(second.listener.targets == fresh.listener.targets);
    }

    void fullViewIsRelayedAfterLongGap()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        detail::DirectoryViewFixture second(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("keep", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        second.store.completeList({{detail::makeObject("old", 1, "1.1.1.1:9")}, detail::makePosition(1)});
        DirectoryBatch batch;
        constexpr std::uint64_t changeCount = 2 * DirectoryView::changeLogCapacity;
        for (std::uint64_t n = 0; n < changeCount; ++n)
            batch.objects.push_back(detail::makeObject("t" + std::to_string(n), 2 + n, "1.1.1.1:2"));
        batch.position = detail::makePosition(2 + changeCount);
        first.store.completeWatch(std::move(batch));
        CPPUNIT_ASSERT(second.view.mergePeerView(first.view.changesAfter(second.view.changePosition())));
        CPPUNIT_ASSERT(second.listener.targets == first.listener.targets);
    }

    void malformedRelaysAreRejected()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        for (const auto *text : {"[]", "{}", R"({"era":1,"revision":9,"objects":[],"complete":1})",
                                 R"({"era":1,"revision":-9,"objects":[],"complete":true})",
                                 R"({"revision":9,"objects":[],"complete":true})",
                                 R"({"era":1,"revision":9,"objects":[{"name":4}],"complete":true})",
                                 R"({"era":1,"revision":9,"objects":[{"name":"x"}],"complete":true})",
                                 R"({"era":1,"revision":9,"objects":[],"complete":true,"held_back":[]})",
                                 R"({"era":1,"revision":9,"objects":[],"complete":true,
                                     "held_back":{"era":1,"revision":9,"names":[4]}})"}) {
            CPPUNIT_ASSERT(!first.view.mergePeerView(nlohmann::json::parse(text)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.listener.targets.size());
    }

    // The copy that a store is restored from may hold an older configuration at a new position. It must not
    // take effect, here or at a router that has just started and receives this view.
    void configurationOfRestoredCopyIsIgnored()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Configuration);
        first.store.completeList({{detail::makeObject("main", 9, 7U)}, detail::makePosition(9)});
        first.store.failWatch(ErrorCode::Conflict);
        first.store.completeList({{detail::makeObject("main", 3, 5U, 2)}, detail::makePosition(4, 2)});
        CPPUNIT_ASSERT((first.listener.versions == std::vector<std::uint64_t>{7}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.listener.restorations.size());
        detail::DirectoryViewFixture fresh(DirectoryKind::Configuration);
        CPPUNIT_ASSERT(fresh.view.mergePeerView(first.view.changesAfter(StorePosition())));
        CPPUNIT_ASSERT((fresh.listener.versions == std::vector<std::uint64_t>{7}));
        // The operator writes a newer one.
        first.store.completeWatch({{detail::makeObject("main", 5, 8U, 2)}, detail::makePosition(5, 2)});
        CPPUNIT_ASSERT((first.listener.versions == std::vector<std::uint64_t>{7, 8}));
    }

    // A router that is cut off from the store holds a greater revision of the earlier era. The changes of the
    // new era cannot be applied to it one by one.
    void restoredStoreIsRelayedAsFullView()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        detail::DirectoryViewFixture cutOff(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(20)});
        cutOff.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(20)});
        first.store.failWatch(ErrorCode::Conflict);
        first.store.completeList(
            {{detail::makeObject("a", 1, "1.1.1.1:1", 2), detail::makeObject("b", 6, "1.1.1.1:2", 2)},
             detail::makePosition(6, 2)});
        CPPUNIT_ASSERT(first.view.changePosition() > cutOff.view.changePosition());
        const auto changes = first.view.changesAfter(cutOff.view.changePosition());
        CPPUNIT_ASSERT(changes["complete"].get<bool>());
        CPPUNIT_ASSERT(cutOff.view.mergePeerView(changes));
        CPPUNIT_ASSERT(cutOff.listener.targets == first.listener.targets);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cutOff.listener.restorations.size());
        // What the cut-off router knows is older, whatever its revision.
        const auto stale = nlohmann::json{
            {"era", 1U}, {"revision", 99U}, {"complete", true}, {"objects", nlohmann::json::array()}};
        CPPUNIT_ASSERT(first.view.mergePeerView(stale));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.listener.targets.size());
    }

    // Removals that were held back during an outage are applied without a new revision of the store. A
    // response that was encoded before must not be reused after them.
    void deferredRemovalIsRelayed()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        const auto before = first.view.changeCount();
        first.store.failWatch(ErrorCode::StoreUnavailable);
        DirectoryObject removal = detail::makeObject("a", 2, nullptr);
        removal.isRemoved = true;
        first.context.run_for(std::chrono::milliseconds(400));
        first.store.completeWatch({{removal}, detail::makePosition(2)});
        CPPUNIT_ASSERT_EQUAL(before, first.view.changeCount());
        // It stopped when the first timer had expired.
        first.context.restart();
        first.context.run_for(
            absl::ToChronoMilliseconds(DirectorySynchronizer::removalGracePeriod + absl::Milliseconds(300)));
        CPPUNIT_ASSERT(first.listener.targets.empty());
        CPPUNIT_ASSERT(first.view.changeCount() > before);
    }

    // A router that follows a watching one kept using a target that had left just after an outage: the other
    // applied the removal later, without a new position that would have told of it.
    void deferredRemovalTakesEffectAtFollowers()
    {
        detail::DirectoryViewFixture watching(DirectoryKind::Targets);
        detail::DirectoryViewFixture following(DirectoryKind::Targets);
        detail::DirectoryViewFixture followingIt(DirectoryKind::Targets);
        for (auto *it : {&following, &followingIt})
            it->store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        deferRemoval(watching);
        relay(watching, following);
        relay(following, followingIt);
        CPPUNIT_ASSERT(following.listener.targets.contains("a"));
        runThroughGracePeriod({&watching, &following, &followingIt});
        CPPUNIT_ASSERT(watching.listener.targets.empty());
        CPPUNIT_ASSERT(following.listener.targets.empty());
        CPPUNIT_ASSERT(followingIt.listener.targets.empty());
    }

    void relayedDeferralEndsWhenTargetReturns()
    {
        detail::DirectoryViewFixture watching(DirectoryKind::Targets);
        detail::DirectoryViewFixture following(DirectoryKind::Targets);
        following.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        deferRemoval(watching);
        relay(watching, following);
        watching.context.restart();
        watching.context.run_for(std::chrono::milliseconds(400));
        watching.store.completeWatch({{detail::makeObject("a", 3, "1.1.1.1:1")}, detail::makePosition(3)});
        relay(watching, following);
        runThroughGracePeriod({&watching, &following});
        CPPUNIT_ASSERT(following.listener.targets.contains("a"));
    }

    // The second view's router started after the restoration.
    void configurationOfRestoredCopyOutranksNewerOneOfPeer()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Configuration);
        first.store.completeList({{detail::makeObject("main", 9, 7U)}, detail::makePosition(9)});
        first.store.failWatch(ErrorCode::Conflict);
        const DirectoryBatch copy{{detail::makeObject("main", 4, 6U, 2)}, detail::makePosition(5, 2)};
        first.store.completeList(copy);
        detail::DirectoryViewFixture second(DirectoryKind::Configuration);
        second.store.completeList(copy);
        const auto before = second.view.changeCount();
        CPPUNIT_ASSERT(second.view.mergePeerView(first.view.changesAfter(StorePosition())));
        CPPUNIT_ASSERT((second.listener.versions == std::vector<std::uint64_t>{6, 7}));
        CPPUNIT_ASSERT(second.view.changeCount() > before);
        // It passes on what it took, and an older one changes nothing.
        detail::DirectoryViewFixture third(DirectoryKind::Configuration);
        CPPUNIT_ASSERT(third.view.mergePeerView(second.view.changesAfter(StorePosition())));
        CPPUNIT_ASSERT((third.listener.versions == std::vector<std::uint64_t>{7}));
        third.store.completeList(copy);
        CPPUNIT_ASSERT((third.listener.versions == std::vector<std::uint64_t>{7}));
    }

private:
    // Loads a target, loses the store, and reads the target's removal when the store is back.
    static void deferRemoval(detail::DirectoryViewFixture &fixture)
    {
        fixture.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, detail::makePosition(1)});
        fixture.store.failWatch(ErrorCode::StoreUnavailable);
        fixture.context.run_for(std::chrono::milliseconds(400));
        DirectoryObject removal = detail::makeObject("a", 2, nullptr);
        removal.isRemoved = true;
        fixture.store.completeWatch({{removal}, detail::makePosition(2)});
        CPPUNIT_ASSERT(fixture.listener.targets.contains("a"));
    }

    static void relay(const detail::DirectoryViewFixture &from, detail::DirectoryViewFixture &to)
    {
        CPPUNIT_ASSERT(to.view.mergePeerView(from.view.changesAfter(to.view.changePosition())));
        CPPUNIT_ASSERT(to.view.changePosition() == from.view.changePosition());
    }

    static void runThroughGracePeriod(std::initializer_list<detail::DirectoryViewFixture *> fixtures)
    {
        const auto end = monotonicNow() + DirectorySynchronizer::removalGracePeriod + absl::Milliseconds(300);
        while (monotonicNow() < end) {
            for (auto *it : fixtures) {
                it->context.restart();
                it->context.run_for(std::chrono::milliseconds(10));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectoryView);

} // namespace Wisteria
