// The view of the platform's objects, against a store and a second view in memory.

#include "FakeViews.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestDirectoryView : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDirectoryView);
    CPPUNIT_TEST(objectThatChangesTwiceInABatchIsTakenOnce);
    CPPUNIT_TEST(versionsNeverGoBack);
    CPPUNIT_TEST(unusableEntryNamesNoTarget);
    CPPUNIT_TEST(changesAreRelayed);
    CPPUNIT_TEST(removalsAreRelayed);
    CPPUNIT_TEST(longGapIsRelayedWhole);
    CPPUNIT_TEST(viewThatHasJustBegunIsRelayedWhole);
    CPPUNIT_TEST(damagedRelaysAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    // Found by the small twin of kalpaka-hold-grown trouble-1 (CONFIG): the second change in a batch was read
    // from what the first had left, and relays carried that to all routers.
    void objectThatChangesTwiceInABatchIsTakenOnce()
    {
        detail::ViewHost one(DirectoryKind::Configuration);
        one.store.answerList({{detail::object("main", 1, 1U)}, ObjectVersion(1)});
        one.store.answerWatch(
            {{detail::object("main", 2, 2U), detail::object("main", 3, 3U), detail::object("main", 4, 4U)},
             ObjectVersion(4)});
        CPPUNIT_ASSERT((one.listener.versions == std::vector<std::uint64_t>{1, 4}));
        detail::ViewHost other(DirectoryKind::Configuration);
        CPPUNIT_ASSERT(other.view.mergePeerView(one.view.changesAfter(ObjectVersion(0))));
        CPPUNIT_ASSERT((other.listener.versions == std::vector<std::uint64_t>{4}));
    }

    void versionsNeverGoBack()
    {
        detail::ViewHost one(DirectoryKind::Configuration);
        one.store.answerList({{detail::object("main", 1, 7U)}, ObjectVersion(1)});
        one.store.answerWatch({{detail::object("main", 2, 6U)}, ObjectVersion(2)});
        CPPUNIT_ASSERT((one.listener.versions == std::vector<std::uint64_t>{7}));
    }

    void unusableEntryNamesNoTarget()
    {
        detail::ViewHost one(DirectoryKind::Targets);
        one.store.answerList(
            {{detail::object("a", 1, "1.1.1.1:1"), detail::object("b", 1, 5)}, ObjectVersion(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.listener.targets.size());
        // One that becomes unusable names no target any more; the others hold.
        one.store.answerWatch({{detail::object("a", 2, nullptr)}, ObjectVersion(2)});
        CPPUNIT_ASSERT(one.listener.targets.empty());
    }

    void changesAreRelayed()
    {
        detail::ViewHost one(DirectoryKind::Targets);
        detail::ViewHost other(DirectoryKind::Targets);
        one.store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        other.store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        one.store.answerWatch({{detail::object("b", 2, "1.1.1.1:2")}, ObjectVersion(2)});
        const auto changes = one.view.changesAfter(other.view.changeRevision());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes["objects"].size());
        CPPUNIT_ASSERT(other.view.mergePeerView(changes));
        CPPUNIT_ASSERT(other.listener.targets == one.listener.targets);
        CPPUNIT_ASSERT(other.view.changeRevision() == one.view.changeRevision());
    }

    void removalsAreRelayed()
    {
        detail::ViewHost one(DirectoryKind::Targets);
        detail::ViewHost other(DirectoryKind::Targets);
        one.store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        other.store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        DirectoryObject removal = detail::object("a", 2, nullptr);
        removal.isRemoved = true;
        one.store.answerWatch({{removal}, ObjectVersion(2)});
        CPPUNIT_ASSERT(other.view.mergePeerView(one.view.changesAfter(other.view.changeRevision())));
        CPPUNIT_ASSERT(other.listener.targets.empty());
    }

    // Found by kalpaka-hold-grown trouble-2 --seed 774936032524 (DRAIN): a router that had just started
    // relayed its first list as changes, without the targets that were removed before it.
    void viewThatHasJustBegunIsRelayedWhole()
    {
        detail::ViewHost fresh(DirectoryKind::Targets);
        detail::ViewHost other(DirectoryKind::Targets);
        other.store.answerList(
            {{detail::object("gone", 1, "1.1.1.1:1"), detail::object("stays", 2, "1.1.1.1:2")},
             ObjectVersion(3)});
        fresh.store.answerList({{detail::object("stays", 2, "1.1.1.1:2")}, ObjectVersion(5)});
        CPPUNIT_ASSERT(other.view.mergePeerView(fresh.view.changesAfter(other.view.changeRevision())));
        CPPUNIT_ASSERT(other.listener.targets == fresh.listener.targets);
    }

    void longGapIsRelayedWhole()
    {
        detail::ViewHost one(DirectoryKind::Targets);
        detail::ViewHost other(DirectoryKind::Targets);
        one.store.answerList({{detail::object("keep", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        other.store.answerList({{detail::object("old", 1, "1.1.1.1:9")}, ObjectVersion(1)});
        DirectoryBatch batch;
        constexpr std::uint64_t many = 2 * DirectoryView::changeLogCapacity;
        for (std::uint64_t n = 0; n < many; ++n)
            batch.objects.push_back(detail::object("t" + std::to_string(n), 2 + n, "1.1.1.1:2"));
        batch.revision = ObjectVersion(2 + many);
        one.store.answerWatch(std::move(batch));
        CPPUNIT_ASSERT(other.view.mergePeerView(one.view.changesAfter(other.view.changeRevision())));
        CPPUNIT_ASSERT(other.listener.targets == one.listener.targets);
    }

    void damagedRelaysAreErrors()
    {
        detail::ViewHost one(DirectoryKind::Targets);
        one.store.answerList({{detail::object("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        for (const auto *text : {"[]", "{}", R"({"revision":9,"objects":[],"complete":1})",
                                 R"({"revision":-9,"objects":[],"complete":true})",
                                 R"({"revision":9,"objects":[{"name":4}],"complete":true})",
                                 R"({"revision":9,"objects":[{"name":"x"}],"complete":true})"}) {
            CPPUNIT_ASSERT(!one.view.mergePeerView(nlohmann::json::parse(text)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.listener.targets.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectoryView);

} // namespace Wisteria
