// Guards against taking the loss of targets for the effect of a prompt: streams that were resumed at sound
// targets after the crash of a failure domain were cut there. A prompt that ends targets must still be
// barred.

#include "../Support/VirtualTime.h"

#include <LibForwarding/PromptQuarantine.h>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <vector>

namespace Wisteria {

namespace detail {

constexpr int systemPart = 1;
constexpr int poisonedPart = 9;

// Targets that process prompts before one router, which resumes what is lost and obeys the verdicts.
class QuarantineWorld
{
public:
    QuarantineWorld(int targets, int domains, std::uint64_t seed)
        : m_targets(static_cast<std::size_t>(targets)), m_domains(domains), m_random(seed)
    {
    }

    // A request with the part that all share, sent to a target that is up. A request's own part is never
    // evidence.
    void send(bool isPoisoned)
    {
        auto request = std::make_shared<Request>();
        request->isPoisoned = isPoisoned;
        request->parts.emplace_back(systemPart);
        if (isPoisoned)
            request->parts.emplace_back(poisonedPart);
        route(request);
    }

    void sendBatch(int n, bool isPoisoned)
    {
        for (int it = 0; it < n; ++it)
            send(isPoisoned);
    }

    // Every target of the domain ends, or every one of all domains.
    void crashDomain(std::optional<int> domain, absl::Duration downTime)
    {
        for (std::size_t n = 0; n < m_targets.size(); ++n) {
            if (!domain || static_cast<int>(n) % m_domains == *domain)
                crash(n, downTime);
        }
    }
    void crashOne(absl::Duration downTime) { crash(m_random.below(m_targets.size()), downTime); }

    void runFor(absl::Duration duration)
    {
        bool isOver = false;
        m_time.after(duration, [&isOver] { isOver = true; });
        while (!isOver)
            (void)m_time.runNext(absl::InfiniteFuture());
    }

    void at(absl::Duration delay, VirtualTime::Step step) { m_time.after(delay, std::move(step)); }

    absl::Duration prefillTime{absl::Milliseconds(1000)};

    int soundBarred{0};
    int soundServed{0};
    int endsByPoison{0};
    // Ends by the poisoned part before the first verdict on it.
    std::optional<int> endsBeforeVerdict;
    // Poisoned requests that reached a target more than the time of contact after the fifth end.
    int lateArrivals{0};

    SeededRandom &random() { return m_random; }

private:
    struct Request
    {
        PromptParts parts;
        bool isPoisoned{false};
        bool isDone{false};
        // The target that works on it; identifies the run by its start.
        std::optional<std::size_t> target;
        absl::Time startedAt;
        std::optional<absl::Time> firstTokenAt;
    };
    struct Target
    {
        bool isUp{true};
        std::int64_t process{1};
        std::vector<std::shared_ptr<Request>> requests;
    };

    static constexpr absl::Duration contactTime = absl::Seconds(3);
    static constexpr int endsBeforeBound = 5;

    [[nodiscard]] TargetProcess process(std::size_t target) const
    {
        return {TargetId(absl::StrCat("t", target)), m_targets[target].process,
                absl::StrCat("10.0.0.", target, ":1")};
    }

    void route(const std::shared_ptr<Request> &request)
    {
        if (m_quarantine.verdictOn(request->parts)) {
            bar(*request);
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t n = 0; n < m_targets.size(); ++n) {
            if (m_targets[n].isUp)
                up.push_back(n);
        }
        if (up.empty()) {
            m_time.after(absl::Milliseconds(100), [this, request] { route(request); });
            return;
        }
        const auto target = *std::min_element(up.begin(), up.end(), [this](std::size_t a, std::size_t b) {
            return m_targets[a].requests.size() < m_targets[b].requests.size();
        });
        request->target = target;
        request->startedAt = m_time.now();
        request->firstTokenAt.reset();
        m_targets[target].requests.push_back(request);
        if (request->isPoisoned && m_fifthEndAt && m_time.now() > *m_fifthEndAt + contactTime)
            ++lateArrivals;
        m_time.after(prefillTime * (1 + 0.2 * m_random.fraction()),
                     [this, request, startedAt = request->startedAt] { firstToken(request, startedAt); });
    }

    void firstToken(const std::shared_ptr<Request> &request, absl::Time startedAt)
    {
        if (request->isDone || !request->target || request->startedAt != startedAt)
            return;
        if (request->isPoisoned) {
            ++endsByPoison;
            if (endsByPoison == endsBeforeBound)
                m_fifthEndAt = m_time.now();
            crash(*request->target, absl::Milliseconds(1500));
            return;
        }
        request->firstTokenAt = m_time.now();
        m_time.after(PromptQuarantine::survivalTime, [this, request, startedAt] {
            if (request->isDone || request->startedAt != startedAt || !request->target)
                return;
            (void)m_quarantine.recordSurvival(request->parts, m_time.now());
            request->isDone = true;
            ++soundServed;
            std::erase(m_targets[*request->target].requests, request);
        });
    }

    void crash(std::size_t target, absl::Duration downTime)
    {
        auto &it = m_targets[target];
        if (!it.isUp)
            return;
        it.isUp = false;
        const auto lost = std::exchange(it.requests, {});
        const auto ended = process(target);
        // Connections end at once or a little later.
        m_time.after(absl::Milliseconds(50) * m_random.fraction(), [this, lost, ended] {
            for (const auto &request : lost) {
                m_quarantine.recordLostRun(ended, request->parts, request->startedAt, m_time.now());
                request->target.reset();
            }
            const auto change = m_quarantine.confirmEnd(ended.id, m_time.now());
            if (!change.newVerdicts.empty())
                verdictsAdded();
            for (const auto &request : lost)
                route(request);
        });
        m_time.after(downTime, [this, target] {
            m_targets[target].isUp = true;
            ++m_targets[target].process;
        });
    }

    // Runs that have not written yet are cancelled.
    void verdictsAdded()
    {
        if (!endsBeforeVerdict
            && m_quarantine.verdictOn({PromptPartId(systemPart), PromptPartId(poisonedPart)}))
            endsBeforeVerdict = endsByPoison;
        for (auto &target : m_targets) {
            std::erase_if(target.requests, [this](const auto &request) {
                if (request->firstTokenAt || !m_quarantine.verdictOn(request->parts))
                    return false;
                bar(*request);
                return true;
            });
        }
    }

    void bar(Request &request)
    {
        request.isDone = true;
        request.target.reset();
        soundBarred += request.isPoisoned ? 0 : 1;
    }

    VirtualTime m_time;
    std::vector<Target> m_targets;
    int m_domains;
    SeededRandom m_random;
    PromptQuarantine m_quarantine;
    std::optional<absl::Time> m_fifthEndAt;
};

} // namespace detail

class TestLostTargetsAndPoisonedPrompts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLostTargetsAndPoisonedPrompts);
    CPPUNIT_TEST(crashOfDomainBarsNothing);
    CPPUNIT_TEST(crashOfAllTargetsBarsNothing);
    CPPUNIT_TEST(twoDomainsOneAfterTheOtherBarNothing);
    CPPUNIT_TEST(replacementOfTargetsDuringBatchBarsNothing);
    CPPUNIT_TEST(drawnCrashesBarNothing);
    CPPUNIT_TEST(poisonedPromptIsBarred);
    CPPUNIT_TEST(poisonedPromptIsBarredBesideDrawnCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashOfDomainBarsNothing()
    {
        for (const int targets : sizes) {
            detail::QuarantineWorld world(targets, 3, 1);
            world.sendBatch(2 * targets, false);
            world.at(absl::Milliseconds(900), [&] { world.crashDomain(0, downTime); });
            world.runFor(absl::Seconds(10));
            checkAllServed(world, 2 * targets, absl::StrCat(targets, " targets"));
        }
    }

    void crashOfAllTargetsBarsNothing()
    {
        for (const int targets : sizes) {
            detail::QuarantineWorld world(targets, 3, 1);
            world.sendBatch(targets, false);
            world.at(absl::Milliseconds(900), [&] { world.crashDomain(std::nullopt, downTime); });
            world.runFor(absl::Seconds(10));
            checkAllServed(world, targets, absl::StrCat(targets, " targets"));
        }
    }

    void twoDomainsOneAfterTheOtherBarNothing()
    {
        detail::QuarantineWorld world(12, 3, 1);
        world.sendBatch(24, false);
        world.at(absl::Milliseconds(900), [&] { world.crashDomain(0, downTime); });
        world.at(absl::Milliseconds(1700), [&] { world.crashDomain(1, downTime); });
        world.runFor(absl::Seconds(10));
        checkAllServed(world, 24, "two domains");
    }

    // Each stream runs on one target that is replaced while it reads the prompt.
    void replacementOfTargetsDuringBatchBarsNothing()
    {
        detail::QuarantineWorld world(12, 3, 1);
        world.sendBatch(12, false);
        for (int n = 0; n < 6; ++n)
            world.at(absl::Milliseconds(100 + 150 * n), [&] { world.crashOne(downTime); });
        world.runFor(absl::Seconds(12));
        checkAllServed(world, 12, "replacement");
    }

    // Crashes of a domain, of single targets and of all, up to two at any times; batches and single requests.
    void drawnCrashesBarNothing()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            SeededRandom random(seed);
            const int targets = sizes[random.below(std::size(sizes))];
            detail::QuarantineWorld world(targets, 3, seed);
            world.prefillTime = absl::Milliseconds(200 + static_cast<std::int64_t>(random.below(1800)));
            const int requests = drawRequests(world, random, targets);
            const auto crashes = 1 + random.below(2);
            for (std::uint64_t n = 0; n < crashes; ++n)
                drawCrash(world, random);
            world.runFor(absl::Seconds(30));
            checkAllServed(world, requests, absl::StrCat("seed ", seed));
        }
    }

    // One at a time, in batches, or many a second.
    void poisonedPromptIsBarred()
    {
        for (const int targets : sizes) {
            for (const int batch : {1, 4, 12}) {
                for (const auto interval :
                     {absl::Milliseconds(100), absl::Milliseconds(500), absl::Seconds(3)}) {
                    detail::QuarantineWorld world(targets, 3, 1);
                    for (int n = 0; n < 20; ++n)
                        world.at(n * interval, [&world, batch] { world.sendBatch(batch, true); });
                    world.runFor(absl::Seconds(90));
                    checkPoisonBarred(
                        world,
                        absl::StrCat(targets, " targets, ", batch, " each ", absl::FormatDuration(interval)));
                    if (batch == 1 && interval >= absl::Seconds(3))
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(targets, " targets"),
                                                     static_cast<int>(PromptQuarantine::endsForVerdict),
                                                     world.endsBeforeVerdict.value());
                }
            }
        }
    }

    void poisonedPromptIsBarredBesideDrawnCrashes()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            SeededRandom random(seed);
            const int targets = sizes[random.below(std::size(sizes))];
            detail::QuarantineWorld world(targets, 3, seed);
            world.prefillTime = absl::Milliseconds(200 + static_cast<std::int64_t>(random.below(800)));
            for (int n = 0; n < 10; ++n)
                world.at(absl::Milliseconds(static_cast<std::int64_t>(random.below(5000))),
                         [&world] { world.send(true); });
            for (int n = 0; n < 100; ++n)
                world.at(absl::Milliseconds(100 * n), [&world] { world.send(false); });
            drawCrash(world, random);
            world.runFor(absl::Seconds(50));
            checkPoisonBarred(world, absl::StrCat("seed ", seed));
        }
    }

private:
    static constexpr int sizes[] = {4, 12, 24};
    static constexpr absl::Duration downTime = absl::Milliseconds(1200);
    // The users' rule: at most this many requests after the fifth end and the time of contact.
    static constexpr int mostLateArrivals = 3;

    static int drawRequests(detail::QuarantineWorld &world, SeededRandom &random, int targets)
    {
        if (random.below(2) == 0) {
            const int n = targets + static_cast<int>(random.below(2 * static_cast<std::uint64_t>(targets)));
            world.sendBatch(n, false);
            return n;
        }
        constexpr int requests = 20;
        for (int n = 0; n < requests; ++n)
            world.at(absl::Milliseconds(static_cast<std::int64_t>(random.below(6000))),
                     [&world] { world.send(false); });
        return requests;
    }

    static void drawCrash(detail::QuarantineWorld &world, SeededRandom &random)
    {
        const auto at = absl::Milliseconds(static_cast<std::int64_t>(random.below(4000)));
        const auto down = absl::Milliseconds(static_cast<std::int64_t>(100 + random.below(2000)));
        const auto kind = random.below(3);
        world.at(at, [&world, kind, down] {
            if (kind == 0)
                world.crashOne(down);
            else if (kind == 1)
                world.crashDomain(static_cast<int>(world.random().below(3)), down);
            else
                world.crashDomain(std::nullopt, down);
        });
    }

    static void checkAllServed(const detail::QuarantineWorld &world, int requests, const std::string &name)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, world.soundBarred);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, requests, world.soundServed);
    }

    static void checkPoisonBarred(const detail::QuarantineWorld &world, const std::string &name)
    {
        CPPUNIT_ASSERT_MESSAGE(name, world.endsBeforeVerdict.has_value());
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(name, ": ", world.lateArrivals, " late"),
                               world.lateArrivals <= mostLateArrivals);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLostTargetsAndPoisonedPrompts);

} // namespace Wisteria
