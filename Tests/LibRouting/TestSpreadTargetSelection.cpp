// Tests target selection for resumed generations: it spreads them over the targets and avoids full targets
// and the lost failure domain.

#include <LibRouting/SpreadTargetSelection.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace Wisteria {

namespace detail {

constexpr int generationCount = 200;

std::vector<TargetCandidate> sixTargets()
{
    constexpr int targetCount = 6;
    std::vector<TargetCandidate> out;
    out.reserve(targetCount);
    for (int n = 0; n < targetCount; ++n)
        out.push_back(TargetCandidate{.id = TargetId(absl::StrCat("e", n)),
                                      .domain = FailureDomain(absl::StrCat("d", n % 3)),
                                      .load = 2,
                                      .slots = 8});
    return out;
}

std::map<std::size_t, int> countChoices(const std::vector<TargetCandidate> &targets,
                                        const std::optional<FailureDomain> &lostDomain)
{
    std::map<std::size_t, int> out;
    for (int n = 0; n < generationCount; ++n)
        ++out[selectSpreadTarget(targets, GenerationId(absl::StrCat("g", n)), lostDomain)];
    return out;
}

} // namespace detail

class TestSpreadTargetSelection : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSpreadTargetSelection);
    CPPUNIT_TEST(targetWithCachedPrefixDoesNotTakeAll);
    CPPUNIT_TEST(avoidsLostDomain);
    CPPUNIT_TEST(usesLostDomainWhenNoOtherIsLeft);
    CPPUNIT_TEST(avoidsFullTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    void targetWithCachedPrefixDoesNotTakeAll()
    {
        auto targets = detail::sixTargets();
        targets[1].hasCachedPrefix = true;
        const auto counts = detail::countChoices(targets, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, counts.size());
        CPPUNIT_ASSERT(counts.at(1) < detail::generationCount / 2);
    }

    void avoidsLostDomain()
    {
        const auto counts = detail::countChoices(detail::sixTargets(), FailureDomain("d0"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, counts.size());
        CPPUNIT_ASSERT(!counts.contains(0) && !counts.contains(3));
    }

    void usesLostDomainWhenNoOtherIsLeft()
    {
        std::vector<TargetCandidate> targets{detail::sixTargets()[0]};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             selectSpreadTarget(targets, GenerationId("g"), FailureDomain("d0")));
    }

    void avoidsFullTargets()
    {
        auto targets = detail::sixTargets();
        for (auto &it : targets)
            it.load = it.slots;
        targets[2].load = 0;
        const auto counts = detail::countChoices(targets, std::nullopt);
        CPPUNIT_ASSERT(counts.at(2) > detail::generationCount / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSpreadTargetSelection);

} // namespace Wisteria
