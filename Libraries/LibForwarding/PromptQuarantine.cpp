// Merges evidence and derives verdicts from it.

#include <LibForwarding/PromptQuarantine.h>

#include <LibForwarding/StableHash.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace Wisteria {

namespace detail {

// Ages are rounded and delayed on their way. Without a tolerance, a time that routers send back and forth
// would grow with each report.
constexpr absl::Duration ageTolerance = absl::Milliseconds(500);
// Evidence about to expire is not taken from others, which would keep it alive among them.
constexpr absl::Duration expiryMargin = absl::Seconds(10);
// Ends that are further apart come from separate requests, which only a trial lets through.
constexpr absl::Duration trialGap = absl::Seconds(30);

TargetEndId targetEndId(const TargetProcess &process)
{
    return TargetEndId(stableHash(absl::StrCat(process.id.value(), "/", process.startedAtMs)));
}

bool hasPart(const PromptParts &parts, PromptPartId part)
{
    return std::binary_search(parts.begin(), parts.end(), part);
}

// Returns whether that adds anything.
bool addEndsBefore(SuspectRun &run, const std::vector<TargetEndId> &after)
{
    std::vector<TargetEndId> merged;
    std::set_union(run.after.begin(), run.after.end(), after.begin(), after.end(),
                   std::back_inserter(merged));
    merged.resize(std::min(merged.size(), PromptQuarantine::maxEndsBeforeRun));
    return std::exchange(run.after, merged) != merged;
}

// Returns whether that adds anything.
bool addRun(std::vector<SuspectRun> &runs, const SuspectRun &run)
{
    if (run.parts.empty())
        return false;
    const auto known = std::find_if(runs.begin(), runs.end(),
                                    [&run](const SuspectRun &it) { return it.parts == run.parts; });
    if (known != runs.end())
        return addEndsBefore(*known, run.after);
    if (runs.size() >= PromptQuarantine::maxRunsPerEnd)
        return false;
    runs.push_back(run);
    return true;
}

} // namespace detail

void PromptQuarantine::recordLostRun(const TargetProcess &process, const PromptParts &parts,
                                     absl::Time startedAt, absl::Time now)
{
    if (parts.empty())
        return;
    absl::erase_if(m_lostRuns, [now](const auto &it) { return now - it.second.at > confirmationTime; });
    auto &lost = m_lostRuns.try_emplace(process.id, LostRuns{process, {}, now}).first->second;
    if (lost.process.startedAtMs > process.startedAtMs)
        return;
    if (process.isLaterThan(lost.process))
        lost = LostRuns{process, {}, now};
    if (lost.startedAt.size() < maxRunsPerEnd || lost.startedAt.contains(parts)) {
        auto &start = lost.startedAt.try_emplace(parts, startedAt).first->second;
        start = std::max(start, startedAt);
    }
    lost.at = now;
}

bool PromptQuarantine::addLostRuns(TargetEndId id, absl::Time now)
{
    const auto it = std::find_if(m_lostRuns.begin(), m_lostRuns.end(), [id](const auto &lost) {
        return detail::targetEndId(lost.second.process) == id;
    });
    if (it == m_lostRuns.end())
        return false;
    const auto lost = std::move(it->second);
    m_lostRuns.erase(it);
    std::vector<SuspectRun> runs;
    for (const auto &[parts, startedAt] : lost.startedAt) {
        runs.push_back({parts, {}});
        if (const auto before = lastEndBefore(startedAt, parts))
            runs.back().after.push_back(*before);
    }
    return now - lost.at <= confirmationTime && addEnd(id, lost.at, runs, newsReports, now);
}

QuarantineChange PromptQuarantine::confirmEnd(const TargetId &id, absl::Time now)
{
    QuarantineChange change;
    const auto it = m_lostRuns.find(id);
    if (it == m_lostRuns.end())
        return change;
    change.isNews = addLostRuns(detail::targetEndId(it->second.process), now);
    if (change.isNews)
        judge(change);
    return change;
}

QuarantineChange PromptQuarantine::confirmEarlierEnds(const TargetProcess &current, absl::Time now)
{
    for (const auto &[id, lost] : m_lostRuns) {
        const bool isEarlier = id == current.id
            ? current.isLaterThan(lost.process)
            : current.address == lost.process.address && current.isLaterStart(lost.process);
        // An address has one earlier process at most.
        if (isEarlier)
            return confirmEnd(TargetId(id), now);
    }
    return {};
}

QuarantineChange PromptQuarantine::recordSurvival(const PromptParts &parts, absl::Time now)
{
    QuarantineChange change;
    for (const auto &it : parts)
        change.isNews = addSurvival(it, now, newsReports, now) || change.isNews;
    limitSurvivals();
    if (change.isNews)
        judge(change);
    return change;
}

bool PromptQuarantine::isCleared(PromptPartId part, absl::Time endAt) const
{
    const auto it = m_survivals.find(part);
    return it != m_survivals.end() && it->second.at + trustTime >= endAt;
}

bool PromptQuarantine::End::hasPart(PromptPartId part) const
{
    return std::any_of(runs.begin(), runs.end(),
                       [part](const SuspectRun &it) { return detail::hasPart(it.parts, part); });
}

std::optional<TargetEndId> PromptQuarantine::End::endBeforeRun(const std::vector<TargetEndId> &ends,
                                                               PromptPartId part) const
{
    for (const auto &it : runs) {
        const auto found = std::find_first_of(it.after.begin(), it.after.end(), ends.begin(), ends.end());
        if (found != it.after.end() && detail::hasPart(it.parts, part))
            return *found;
    }
    return std::nullopt;
}

bool PromptQuarantine::End::hasRunWith(const PromptParts &parts) const
{
    return std::any_of(runs.begin(), runs.end(), [&parts](const SuspectRun &it) {
        return std::includes(it.parts.begin(), it.parts.end(), parts.begin(), parts.end());
    });
}

PromptParts PromptQuarantine::suspectParts(const PromptParts &parts, absl::Time endAt, absl::Time now)
{
    PromptParts out;
    for (const auto &it : parts) {
        if (!isCleared(it, endAt))
            out.push_back(it);
        else
            announceSurvival(m_survivals[it], 1, now);
    }
    out.resize(std::min(out.size(), maxPartsPerRun));
    return out;
}

std::optional<TargetEndId> PromptQuarantine::lastEndBefore(absl::Time startedAt,
                                                           const PromptParts &parts) const
{
    std::optional<TargetEndId> out;
    auto lastAt = startedAt - maxEventSpread;
    for (const auto &[id, end] : m_ends) {
        if (end.at < lastAt || end.at > startedAt)
            continue;
        if (std::any_of(parts.begin(), parts.end(),
                        [&it = end](const auto &part) { return it.hasPart(part); })) {
            lastAt = end.at;
            out = id;
        }
    }
    return out;
}

bool PromptQuarantine::addEnd(TargetEndId id, absl::Time at, const std::vector<SuspectRun> &runs,
                              int newsReports, absl::Time now)
{
    const auto known = m_ends.find(id);
    End end = known == m_ends.end() ? End{.at = at} : known->second;
    bool isChanged = false;
    // A router whose connections to the target were idle notices the end later than others. With different
    // times, routers would order the ends differently, and find different ones to be independent.
    if (at + detail::ageTolerance < end.at) {
        end.at = at;
        isChanged = true;
    }
    for (const auto &it : runs)
        isChanged = detail::addRun(end.runs, {suspectParts(it.parts, end.at, now), it.after}) || isChanged;
    if (!isChanged)
        return false;
    end.newsReportsLeft = std::max(end.newsReportsLeft, newsReports);
    m_ends.insert_or_assign(id, std::move(end));
    limitEnds();
    return true;
}

void PromptQuarantine::announceSurvival(Survival &survival, int newsReports, absl::Time now)
{
    survival.reportUntil = now + reportTime;
    survival.newsReportsLeft = std::max(survival.newsReportsLeft, newsReports);
}

bool PromptQuarantine::addSurvival(PromptPartId part, absl::Time at, int newsReports, absl::Time now)
{
    auto &survival = m_survivals.try_emplace(part, Survival{.at = at}).first->second;
    survival.at = std::max(survival.at, at);
    bool wasSuspect = false;
    for (auto it = m_ends.begin(); it != m_ends.end();) {
        auto &end = it->second;
        if (end.hasPart(part) && isCleared(part, end.at)) {
            wasSuspect = true;
            for (auto &run : std::exchange(end.runs, {})) {
                std::erase(run.parts, part);
                detail::addRun(end.runs, run);
            }
        }
        it = end.runs.empty() ? m_ends.erase(it) : std::next(it);
    }
    if (wasSuspect)
        announceSurvival(survival, newsReports, now);
    return wasSuspect;
}

PromptEvidence PromptQuarantine::takeNews(absl::Time now)
{
    PromptEvidence out;
    for (auto &[id, end] : m_ends) {
        if (end.newsReportsLeft > 0 && out.ends.size() < maxReportedEnds) {
            --end.newsReportsLeft;
            out.ends.push_back({id, now - end.at, end.runs});
        }
    }
    for (auto &[part, survival] : m_survivals) {
        if (survival.newsReportsLeft > 0 && out.survivals.size() < maxReportedSurvivals) {
            --survival.newsReportsLeft;
            out.survivals.push_back({part, now - survival.at});
        }
    }
    return out;
}

PromptEvidence PromptQuarantine::evidence(EvidenceScope scope, absl::Time now) const
{
    PromptEvidence out;
    std::vector<std::pair<absl::Time, TargetEndId>> chosen;
    for (const auto &verdict : m_verdicts) {
        for (const auto &it : endsSupporting(verdict))
            chosen.emplace_back(m_ends.at(it).at, it);
    }
    for (const auto &[id, end] : m_ends) {
        if (scope == EvidenceScope::Recent && now - end.at <= reportTime)
            chosen.emplace_back(end.at, id);
    }
    std::sort(chosen.rbegin(), chosen.rend());
    chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
    chosen.resize(std::min(chosen.size(), maxReportedEnds));
    for (const auto &[at, id] : chosen)
        out.ends.push_back({id, now - at, m_ends.at(id).runs});
    for (const auto &[part, survival] : m_survivals) {
        if (scope == EvidenceScope::Recent && now < survival.reportUntil
            && out.survivals.size() < maxReportedSurvivals)
            out.survivals.push_back({part, now - survival.at});
    }
    return out;
}

QuarantineChange PromptQuarantine::merge(const PromptEvidence &evidence, EvidenceSource source,
                                         absl::Time now)
{
    QuarantineChange change;
    const int relays = source == EvidenceSource::OtherGroup ? newsReports : 0;
    for (const auto &it : evidence.survivals) {
        const auto at = now - it.age;
        const auto known = m_survivals.find(it.part);
        if (known == m_survivals.end() || at > known->second.at + detail::ageTolerance)
            change.isNews = addSurvival(it.part, at, relays, now) || change.isNews;
        // The group has just heard it.
        if (source == EvidenceSource::OwnGroup)
            m_survivals[it.part].newsReportsLeft = 0;
    }
    for (const auto &it : evidence.ends) {
        if (it.age < verdictLifetime - detail::expiryMargin)
            change.isNews = addEnd(it.id, now - it.age, it.runs, relays, now) || change.isNews;
        change.isNews = addLostRuns(it.id, now) || change.isNews;
    }
    limitSurvivals();
    if (change.isNews)
        judge(change);
    return change;
}

const PromptQuarantine::Verdict *PromptQuarantine::verdictOn(const PromptParts &parts) const
{
    for (const auto &it : m_verdicts) {
        if (std::includes(parts.begin(), parts.end(), it.parts.begin(), it.parts.end()))
            return &it;
    }
    return nullptr;
}

bool PromptQuarantine::isTrialOwner(const Verdict &verdict, const RouterId &self,
                                    const std::vector<RouterId> &others, absl::Time now)
{
    const auto turn = (now - verdict.nextTrialAt) / trialTime;
    const auto rank = [&verdict, turn](const RouterId &id) {
        return stableHash(absl::StrCat(verdict.parts.front().value(), "/", turn, "/", id.value()));
    };
    return std::none_of(others.begin(), others.end(),
                        [&](const RouterId &it) { return rank(it) < rank(self); });
}

bool PromptQuarantine::tryStartTrial(const Verdict &verdict, absl::Time now)
{
    const bool isDue = now >= verdict.nextTrialAt && (now - verdict.nextTrialAt) % trialTime < trialTime / 2;
    auto &until = m_trialUntil.try_emplace(verdict.parts.front(), absl::InfinitePast()).first->second;
    if (!isDue || now < until)
        return false;
    until = now + trialTime;
    return true;
}

QuarantineChange PromptQuarantine::expire(absl::Time now)
{
    QuarantineChange change;
    const auto n = m_ends.size();
    for (auto it = m_ends.begin(); it != m_ends.end();) {
        const auto lifetime = it->second.isExplained ? verdictLifetime : evidenceLifetime;
        it = now - it->second.at > lifetime ? m_ends.erase(it) : std::next(it);
    }
    absl::erase_if(m_trialUntil, [now](const auto &it) { return now >= it.second; });
    if (m_ends.size() != n)
        judge(change);
    return change;
}

void PromptQuarantine::limitEnds()
{
    if (m_ends.size() <= maxEnds)
        return;
    // Ends that support a verdict are dropped last.
    const auto oldest = std::min_element(m_ends.begin(), m_ends.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.isExplained, a.second.at) < std::pair(b.second.isExplained, b.second.at);
    });
    m_ends.erase(oldest);
}

void PromptQuarantine::limitSurvivals()
{
    if (m_survivals.size() <= maxSurvivals)
        return;
    // Half of them, so that this is not done for each new part.
    std::vector<absl::Time> times;
    for (const auto &[part, survival] : m_survivals)
        times.push_back(survival.at);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    absl::erase_if(m_survivals, [at = *middle](const auto &it) { return it.second.at <= at; });
}

PromptQuarantine::EndsByPart PromptQuarantine::unexplainedEndsByPart() const
{
    EndsByPart out;
    for (const auto &[id, end] : m_ends) {
        if (end.isExplained)
            continue;
        PromptParts parts;
        for (const auto &it : end.runs)
            parts.insert(parts.end(), it.parts.begin(), it.parts.end());
        std::sort(parts.begin(), parts.end());
        parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
        for (const auto &it : parts)
            out[it].push_back(id);
    }
    return out;
}

std::vector<PromptQuarantine::IndependentEnd>
PromptQuarantine::independentEnds(PromptPartId part, std::vector<TargetEndId> ends) const
{
    std::sort(ends.begin(), ends.end(), [this](TargetEndId a, TargetEndId b) {
        return std::pair(m_ends.at(a).at, a) < std::pair(m_ends.at(b).at, b);
    });
    std::vector<IndependentEnd> out;
    // The ends that are one piece of evidence with the last one of `out`.
    std::vector<TargetEndId> event;
    for (const auto &id : ends) {
        const auto &end = m_ends.at(id);
        const auto before = end.endBeforeRun(event, part);
        if (out.empty() || end.at - m_ends.at(out.back().id).at > maxEventSpread || before) {
            event.clear();
            out.push_back({id, before});
        }
        event.push_back(id);
    }
    return out;
}

std::vector<TargetEndId> PromptQuarantine::endsSupporting(const Verdict &verdict) const
{
    std::vector<TargetEndId> ends;
    for (const auto &[id, end] : m_ends) {
        if (end.hasRunWith(verdict.parts))
            ends.push_back(id);
    }
    const auto independent = independentEnds(verdict.parts.front(), ends);
    std::vector<TargetEndId> out;
    const auto skipped = independent.size() - std::min(independent.size(), endsForVerdict);
    for (auto it = independent.begin() + static_cast<std::ptrdiff_t>(skipped); it != independent.end();
         ++it) {
        // Without it, another router takes the end for a part of the event before.
        if (it->before && !out.empty() && out.back() != *it->before)
            out.push_back(*it->before);
        out.push_back(it->id);
    }
    // The next trial depends on the last end.
    const auto last = std::max_element(ends.begin(), ends.end(), [this](TargetEndId a, TargetEndId b) {
        return m_ends.at(a).at < m_ends.at(b).at;
    });
    if (last != ends.end() && m_ends.at(out.back()).at < m_ends.at(*last).at)
        out.push_back(*last);
    return out;
}

PromptParts PromptQuarantine::commonParts(PromptPartId part, const std::vector<TargetEndId> &ends) const
{
    std::optional<PromptParts> common;
    for (const auto &id : ends) {
        for (const auto &run : m_ends.at(id).runs) {
            if (!detail::hasPart(run.parts, part))
                continue;
            if (!common)
                common = run.parts;
            std::erase_if(*common, [&run](const auto &it) { return !detail::hasPart(run.parts, it); });
        }
    }
    return common.value_or(PromptParts());
}

PromptQuarantine::Verdict PromptQuarantine::makeVerdict(PromptParts parts,
                                                        const std::vector<TargetEndId> &ends) const
{
    std::vector<absl::Time> times;
    times.reserve(ends.size());
    for (const auto &it : ends)
        times.push_back(m_ends.at(it).at);
    std::sort(times.begin(), times.end());
    int trials = 0;
    for (std::size_t n = endsForVerdict; n < times.size(); ++n)
        trials += times[n] - times[n - 1] > detail::trialGap ? 1 : 0;
    const auto delay = std::min(firstTrialDelay * std::pow(trialDelayFactor, trials), maxTrialDelay);
    const auto independent = independentEnds(parts.front(), ends).size();
    return {std::move(parts), ends.size(), independent, times.back(), times.back() + delay};
}

std::optional<PromptQuarantine::Verdict> PromptQuarantine::nextVerdict()
{
    const auto endsByPart = unexplainedEndsByPart();
    // A part that targets have lived on before is rarely the cause: it is in many requests, so that it is on
    // each target that another part ends, and on those that end by themselves. Of parts with equal evidence,
    // the one whose runs have most in common is judged, so that as few other requests as possible are barred.
    using Weight = std::tuple<bool, std::size_t, std::size_t, std::size_t>;
    Weight most;
    PromptParts parts;
    const std::vector<TargetEndId> *judged = nullptr;
    for (const auto &[part, ends] : endsByPart) {
        const auto independent = ends.size() < endsForVerdict ? 0 : independentEnds(part, ends).size();
        if (independent < endsForVerdict)
            continue;
        auto common = commonParts(part, ends);
        const Weight weight{!m_survivals.contains(part), independent, ends.size(), common.size()};
        if (judged && weight <= most)
            continue;
        most = weight;
        parts = std::move(common);
        judged = &ends;
    }
    if (!judged)
        return std::nullopt;
    for (const auto &it : *judged)
        m_ends.at(it).isExplained = true;
    return makeVerdict(std::move(parts), *judged);
}

void PromptQuarantine::judge(QuarantineChange &change)
{
    const auto before = std::exchange(m_verdicts, {});
    for (auto &[id, end] : m_ends)
        end.isExplained = false;
    while (auto verdict = nextVerdict())
        m_verdicts.push_back(std::move(*verdict));
    const auto has = [](const std::vector<Verdict> &verdicts, const PromptParts &parts) {
        return std::any_of(verdicts.begin(), verdicts.end(),
                           [&](const Verdict &it) { return it.parts == parts; });
    };
    for (const auto &it : m_verdicts) {
        if (!has(before, it.parts))
            change.newVerdicts.push_back(it.parts);
    }
    for (const auto &it : before) {
        if (!has(m_verdicts, it.parts))
            change.liftedVerdicts.push_back(it.parts);
    }
}

} // namespace Wisteria
