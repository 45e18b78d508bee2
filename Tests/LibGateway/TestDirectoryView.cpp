// Tests DirectoryView with an in-memory store, and relays between two views.

#include "FakeDirectory.h"

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
    CPPUNIT_TEST_SUITE_END();

public:
    // The second change to an object in one batch used to be decoded from the moved-from content of the
    // first, and relays spread the wrong value to all routers.
    void repeatedChangesInBatchApplyOnlyLatest()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Configuration);
        first.store.completeList({{detail::makeObject("main", 1, 1U)}, ObjectVersion(1)});
        first.store.completeWatch({{detail::makeObject("main", 2, 2U), detail::makeObject("main", 3, 3U),
                                    detail::makeObject("main", 4, 4U)},
                                   ObjectVersion(4)});
        CPPUNIT_ASSERT((first.listener.versions == std::vector<std::uint64_t>{1, 4}));
        detail::DirectoryViewFixture second(DirectoryKind::Configuration);
        CPPUNIT_ASSERT(second.view.mergePeerView(first.view.changesAfter(ObjectVersion(0))));
        CPPUNIT_ASSERT((second.listener.versions == std::vector<std::uint64_t>{4}));
    }

    void olderConfigurationVersionIsIgnored()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Configuration);
        first.store.completeList({{detail::makeObject("main", 1, 7U)}, ObjectVersion(1)});
        first.store.completeWatch({{detail::makeObject("main", 2, 6U)}, ObjectVersion(2)});
        CPPUNIT_ASSERT((first.listener.versions == std::vector<std::uint64_t>{7}));
    }

    void undecodableObjectYieldsNoTarget()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        first.store.completeList(
            {{detail::makeObject("a", 1, "1.1.1.1:1"), detail::makeObject("b", 1, 5)}, ObjectVersion(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.listener.targets.size());
        // A target is removed when its object can no longer be decoded.
        first.store.completeWatch({{detail::makeObject("a", 2, nullptr)}, ObjectVersion(2)});
        CPPUNIT_ASSERT(first.listener.targets.empty());
    }

    void changesAreRelayed()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        detail::DirectoryViewFixture second(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        second.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        first.store.completeWatch({{detail::makeObject("b", 2, "1.1.1.1:2")}, ObjectVersion(2)});
        const auto changes = first.view.changesAfter(second.view.changeRevision());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes["objects"].size());
        CPPUNIT_ASSERT(second.view.mergePeerView(changes));
        CPPUNIT_ASSERT(second.listener.targets == first.listener.targets);
        CPPUNIT_ASSERT(second.view.changeRevision() == first.view.changeRevision());
    }

    void removalsAreRelayed()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        detail::DirectoryViewFixture second(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        second.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        DirectoryObject removal = detail::makeObject("a", 2, nullptr);
        removal.isRemoved = true;
        first.store.completeWatch({{removal}, ObjectVersion(2)});
        CPPUNIT_ASSERT(second.view.mergePeerView(first.view.changesAfter(second.view.changeRevision())));
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
             ObjectVersion(3)});
        fresh.store.completeList({{detail::makeObject("stays", 2, "1.1.1.1:2")}, ObjectVersion(5)});
        CPPUNIT_ASSERT(second.view.mergePeerView(fresh.view.changesAfter(second.view.changeRevision())));
        CPPUNIT_ASSERT(second.listener.targets == fresh.listener.targets);
    }

    void fullViewIsRelayedAfterLongGap()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        detail::DirectoryViewFixture second(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("keep", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        second.store.completeList({{detail::makeObject("old", 1, "1.1.1.1:9")}, ObjectVersion(1)});
        DirectoryBatch batch;
        constexpr std::uint64_t changeCount = 2 * DirectoryView::changeLogCapacity;
        for (std::uint64_t n = 0; n < changeCount; ++n)
            batch.objects.push_back(detail::makeObject("t" + std::to_string(n), 2 + n, "1.1.1.1:2"));
        batch.revision = ObjectVersion(2 + changeCount);
        first.store.completeWatch(std::move(batch));
        CPPUNIT_ASSERT(second.view.mergePeerView(first.view.changesAfter(second.view.changeRevision())));
        CPPUNIT_ASSERT(second.listener.targets == first.listener.targets);
    }

    void malformedRelaysAreRejected()
    {
        detail::DirectoryViewFixture first(DirectoryKind::Targets);
        first.store.completeList({{detail::makeObject("a", 1, "1.1.1.1:1")}, ObjectVersion(1)});
        for (const auto *text : {"[]", "{}", R"({"revision":9,"objects":[],"complete":1})",
                                 R"({"revision":-9,"objects":[],"complete":true})",
                                 R"({"revision":9,"objects":[{"name":4}],"complete":true})",
                                 R"({"revision":9,"objects":[{"name":"x"}],"complete":true})"}) {
            CPPUNIT_ASSERT(!first.view.mergePeerView(nlohmann::json::parse(text)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.listener.targets.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectoryView);

} // namespace Wisteria
