// Arrival rates from the service's capacity, and the draws of each request.

#include "Workload.h"

#include "Engine.h"

#include <LibCore/Random.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace Wisteria::Measure {

namespace detail {

// A number in (0, 1].
double uniform(RandomSource &random)
{
    constexpr int mantissaBits = 53;
    return (static_cast<double>(random.next() >> (64 - mantissaBits)) + 1) / std::exp2(mantissaBits);
}

// Requests of the class a second that would keep all slots of its service busy.
double capacity(const Scenario &scenario, const WorkClass &work)
{
    double sum = 0;
    for (const auto &lot : scenario.lots) {
        if (lot.service != work.service)
            continue;
        const absl::Duration decode = (stepBase + stepPerStream * lot.slots) * work.answerTokens;
        // A chunk of prefill holds up all streams of its engine; heads are cached for the most part.
        const absl::Duration prefill = prefillPerToken * (work.promptTokens - work.headTokens) * lot.slots;
        sum += lot.count * lot.speed * lot.slots / absl::ToDoubleSeconds(decode + prefill);
    }
    return sum;
}

// The workspaces' shares fall like 1/n, so that a few are large.
std::uint32_t drawWorkspace(const Scenario &scenario, RandomSource &random)
{
    double sum = 0;
    for (std::uint32_t n = 1; n <= scenario.workspaces; ++n)
        sum += 1.0 / n;
    double left = uniform(random) * sum;
    for (std::uint32_t n = 1; n < scenario.workspaces; ++n) {
        left -= 1.0 / n;
        if (left <= 0)
            return n - 1;
    }
    return scenario.workspaces - 1;
}

// Between half and one and a half times the mean.
std::uint32_t vary(std::uint32_t mean, RandomSource &random)
{
    return mean / 2 + static_cast<std::uint32_t>(random.below(mean + 1));
}

PlannedRequest draw(const Scenario &scenario, const WorkClass &work, std::size_t number, RandomSource &random)
{
    PlannedRequest out;
    const std::uint32_t workspace = drawWorkspace(scenario, random);
    const std::uint64_t head = random.below(scenario.headsPerWorkspace);
    constexpr std::uint64_t headsPerClass = 1000;
    const std::uint64_t classStart = work.urgency == Urgency::Urgent ? 500 : 0;
    out.opened.workspace = WorkspaceName(absl::StrCat("w", workspace));
    out.opened.service = ServiceName(work.service);
    out.opened.urgency = work.urgency;
    out.opened.prefixHash = PromptPrefixHash(1 + workspace * headsPerClass + classStart + head);
    out.headTokens = work.headTokens;
    out.opened.promptTokens = work.headTokens + vary(work.promptTokens - work.headTokens, random);
    out.answerTokens = vary(work.answerTokens, random);
    out.opened.maxTokens = out.answerTokens + 1;
    out.opened.generation = GenerationId(absl::StrCat(work.service, "-", classStart, "-", number));
    out.routerDraw = random.next();
    return out;
}

} // namespace detail

std::vector<PlannedRequest> planRequests(const Scenario &scenario, const FaultPlan &plan, std::uint64_t seed)
{
    std::vector<PlannedRequest> out;
    std::uint64_t classNumber = 0;
    for (const auto &work : scenario.classes) {
        // Each class has its own draws, so that more patient work leaves the urgent requests as they are.
        SeededRandom random(seed * 1000 + classNumber++);
        const bool isPatient = work.urgency == Urgency::Patient;
        const double load = isPatient && plan.patientLoad ? *plan.patientLoad : work.load;
        const double rate = detail::capacity(scenario, work) * load;
        absl::Time at = absl::UnixEpoch();
        for (std::size_t n = 0;; ++n) {
            at += absl::Seconds(-std::log(detail::uniform(random)) / rate);
            if (at > absl::UnixEpoch() + scenario.length)
                break;
            PlannedRequest request = detail::draw(scenario, work, n, random);
            request.at = at;
            request.opened.deadline = at + work.deadline;
            out.push_back(std::move(request));
        }
    }
    std::ranges::stable_sort(out, {}, &PlannedRequest::at);
    return out;
}

} // namespace Wisteria::Measure
