// Changes conflict by item, apply once, and keep their JSON forms.

#include <LibConfig/Change.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace Wisteria {

class TestChange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestChange);
    CPPUNIT_TEST(namesWhoseChangeWon);
    CPPUNIT_TEST(appliesChangeOnce);
    CPPUNIT_TEST(refusesUnknownItems);
    CPPUNIT_TEST(remembersListBefore);
    CPPUNIT_TEST(keepsJsonForms);
    CPPUNIT_TEST(refusesBadJson);
    CPPUNIT_TEST_SUITE_END();

    static ConfigurationChange change(const std::string &id, Edit edit, const std::string &who = "asha")
    {
        return {id, who, std::move(edit)};
    }

    static FleetConfiguration withPreset()
    {
        return applyChange({}, change("c1", PutPreset{PresetSpec{.name = PresetName("peak")}})).value();
    }

public:
    void namesWhoseChangeWon()
    {
        const auto base = withPreset();
        const PutInForce peak{PresetName("peak"), ConfigVersion(0)};
        const auto won = applyChange(base, change("c2", peak, "ben")).value();
        const auto lost = applyChange(won, change("c3", peak));
        CPPUNIT_ASSERT(!lost);
        CPPUNIT_ASSERT(lost.error().code == ErrorCode::Conflict);
        const auto conflict = changeConflictFromJson(lost.error().detail).value();
        CPPUNIT_ASSERT_EQUAL(std::string("preset_in_force"), conflict.item);
        CPPUNIT_ASSERT_EQUAL(std::string("ben"), conflict.winner.operatorName);
        CPPUNIT_ASSERT(conflict.winner.changedIn == won.version);
        // Another item does not conflict.
        CPPUNIT_ASSERT(applyChange(won, change("c4", PutWorkspace{{WorkspaceName("routes")}})));
    }

    void appliesChangeOnce()
    {
        const auto put = change("c2", PutWorkspace{{WorkspaceName("routes")}});
        const auto once = applyChange(withPreset(), put).value();
        const auto later = applyChange(once, change("c3", PutWorkspace{{WorkspaceName("scores")}})).value();
        CPPUNIT_ASSERT(applyChange(later, put).value() == later);
        CPPUNIT_ASSERT(later.versionOfChange("c2") == ConfigVersion(2));
        auto many = later;
        for (std::size_t i = 0; i < 2 * maxRecentChanges; ++i) {
            const CountedRouter router{RouterId("r1")};
            many = applyChange(many, change("m" + std::to_string(i), PutCountedRouter{router})).value();
        }
        CPPUNIT_ASSERT_EQUAL(maxRecentChanges, many.recentChanges.size());
    }

    void refusesUnknownItems()
    {
        const auto base = withPreset();
        for (const Edit &edit :
             {Edit(PutInForce{PresetName("none")}), Edit(RemoveTarget{TargetId("t9")}),
              Edit(RemoveCountedRouter{RouterId("r9")}),
              Edit(PutTarget{TargetSpec{.id = TargetId("t1"), .service = ServiceName("no")}})})
            CPPUNIT_ASSERT(applyChange(base, change("c2", edit)).error().code == ErrorCode::UnknownObject);
        CPPUNIT_ASSERT(applyChange(base, change("", PutInForce{PresetName("peak")})).error().code
                       == ErrorCode::InvalidRequest);
    }

    void remembersListBefore()
    {
        const CountedRouter r1{RouterId("r1"), "127.0.0.1:1"};
        const CountedRouter r2{RouterId("r2"), "127.0.0.1:2"};
        const CountedRouter moved{RouterId("r1"), "127.0.0.1:3"};
        const auto one = applyChange({}, change("c1", PutCountedRouter{r1})).value();
        const auto two = applyChange(one, change("c2", PutCountedRouter{r2})).value();
        const auto same = applyChange(two, change("c3", PutCountedRouter{moved})).value();
        CPPUNIT_ASSERT(two.countedBefore == std::vector{r1});
        CPPUNIT_ASSERT(same.countedBefore == std::vector{r1});
        CPPUNIT_ASSERT(same.countedRouters == (std::vector{moved, r2}));
        const auto less = applyChange(same, change("c4", RemoveCountedRouter{RouterId("r1")})).value();
        CPPUNIT_ASSERT(less.countedRouters == std::vector{r2});
        CPPUNIT_ASSERT(less.countedBefore == (std::vector{moved, r2}));
        CPPUNIT_ASSERT(fleetConfigurationFromJson(toJson(less)).value() == less);
    }

    void keepsJsonForms()
    {
        const std::vector<Edit> edits{
            PutService{ServiceSpec{.name = ServiceName("digest")}, ConfigVersion(3)},
            PutWorkspace{{WorkspaceName("routes")}},
            PutPreset{PresetSpec{.name = PresetName("peak")}},
            PutTarget{TargetSpec{.id = TargetId("t1"), .service = ServiceName("digest")}},
            PutInForce{PresetName("peak"), ConfigVersion(4)},
            RemoveTarget{TargetId("t1"), ConfigVersion(5)},
            PutCountedRouter{{RouterId("r1"), "127.0.0.1:1", FailureDomain("kochi")}},
            RemoveCountedRouter{RouterId("r1")}};
        for (const auto &edit : edits) {
            const auto text = toJson(change("c1", edit));
            const auto back = configurationChangeFromJson(text).value();
            CPPUNIT_ASSERT_EQUAL(edit.index(), back.edit.index());
            CPPUNIT_ASSERT_EQUAL(text, toJson(back));
        }
    }

    void refusesBadJson()
    {
        for (
            const char *text :
            {"", "[]", "{}", "{\"change_id\":1}", "\xff\xfe",
             R"({"change_id":"c","operator":"a","edit":{"kind":"put_all"}})",
             R"({"change_id":"c","operator":"a","edit":{"kind":"put_in_force"}})",
             R"({"change_id":"c","operator":"a","edit":{"kind":"put_in_force","preset":"p","expected":-1}})",
             R"({"change_id":"","operator":"a","edit":{"kind":"put_in_force","preset":"p"}})",
             R"({"change_id":"c","operator":"a","edit":{"kind":"put_target","spec":{"id":"t","service":"s","slots":-5}}})"})
            CPPUNIT_ASSERT_MESSAGE(
                text, configurationChangeFromJson(text).error().code == ErrorCode::InvalidRequest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChange);

} // namespace Wisteria
