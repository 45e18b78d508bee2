// Settings are refused with file, line and key; the example files are complete.

#include <LibConfig/Settings.h>
#include <LibConfig/SettingsReader.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace Wisteria {

class TestSettings : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSettings);
    CPPUNIT_TEST(readsExampleFiles);
    CPPUNIT_TEST(namesFileLineAndKey);
    CPPUNIT_TEST(countsEdits);
    CPPUNIT_TEST_SUITE_END();

    static std::string readExample(const std::string &name)
    {
        std::ifstream file(std::string(WISTERIA_EXAMPLES) + "/" + name);
        std::ostringstream text;
        text << file.rdbuf();
        CPPUNIT_ASSERT_MESSAGE(name, !text.str().empty());
        return text.str();
    }

    static void assertRefused(const std::string &text, const std::string &detail)
    {
        const auto settings = routerSettingsFromToml(text, "r.toml");
        CPPUNIT_ASSERT_MESSAGE(detail, !settings);
        CPPUNIT_ASSERT(settings.error().code == ErrorCode::InvalidSettings);
        CPPUNIT_ASSERT_EQUAL(detail, settings.error().detail.substr(0, detail.size()));
    }

public:
    void readsExampleFiles()
    {
        const auto router = routerSettingsFromToml(readExample("router.toml"), "router.toml").value();
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), router.id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9001"), router.peerAdvertised);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), router.seeds.size());
        const auto placer = placerSettingsFromToml(readExample("placer.toml"), "placer.toml").value();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), placer.downloadsAtOnce);
        const auto caller = callerSettingsFromToml(readExample("caller.toml"), "caller.toml").value();
        CPPUNIT_ASSERT(caller.timeout == absl::Minutes(10));
        const auto operators =
            operatorSettingsFromToml(readExample("operator.toml"), "operator.toml").value();
        CPPUNIT_ASSERT_EQUAL(std::string("asha"), operators.operatorName);
    }

    void namesFileLineAndKey()
    {
        const std::string head = "id = \"r1\"\ndomain = \"kochi\"\n";
        const std::string listen = "[listen]\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\n";
        const std::string platform = "[platform]\nobject_api = \"127.0.0.1:3\"\n";
        CPPUNIT_ASSERT(routerSettingsFromToml(head + listen + platform, "r.toml"));
        const std::string all = head + listen + platform;
        assertRefused("id = \"r1\"\ndomian = \"kochi\"\n",
                      "r.toml:2: domian is unknown; the nearest key is domain");
        assertRefused(all + "[limits]\nstream_treads = 4\n",
                      "r.toml:9: limits.stream_treads is unknown; the nearest key is stream_threads");
        assertRefused(all + "[limits]\nstream_threads = 0\n",
                      "r.toml:9: limits.stream_threads must be from 1");
        assertRefused(all + "[limits]\nstream_threads = -99999999999\n",
                      "r.toml:9: limits.stream_threads must");
        assertRefused(all + "[limits]\nstream_threads = \"4\"\n",
                      "r.toml:9: limits.stream_threads must be a whole");
        assertRefused(all + "[log]\nlevel = \"loud\"\n", "r.toml:9: log.level must be one of info, warning");
        assertRefused(all + "[timeouts]\nconnect_ms = 1\n", "r.toml:9: timeouts.connect_ms must be from 10");
        assertRefused("seeds = [\"kochi:1\"]\n" + all, "r.toml:1: seeds \"kochi:1\" is not \"IP:port\"");
        assertRefused("seeds = 4\n" + all, "r.toml:1: seeds must be an array");
        assertRefused("limits = 4\n" + all, "r.toml:1: limits must be a table");
        assertRefused("id = \"r 1\"\n", "r.toml:1: id must be 1 to 64");
        assertRefused(head + platform, "r.toml:1: listen.callers is missing");
        assertRefused("id = \n", "r.toml:1: ");
        CPPUNIT_ASSERT(!callerSettingsFromToml("entry_points = []", "c.toml"));
        CPPUNIT_ASSERT(!operatorSettingsFromToml("", "o.toml"));
    }

    void countsEdits()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), detail::editDistance("same", "same"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), detail::editDistance("domian", "domain"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), detail::editDistance("", "abc"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), detail::editDistance("limit", "limsts"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSettings);

} // namespace Wisteria
