// Logs verdicts and connects the quarantine with the reports of other routers.

#include <LibGateway/PromptGuard.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Wisteria {

nlohmann::json partNames(const PromptParts &parts)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto &it : parts)
        out.push_back(std::string(absl::StrCat(absl::Hex(it.value()))));
    return out;
}

std::optional<absl::Duration> PromptGuard::admit(const PromptParts &parts, absl::Time now)
{
    const auto *verdict = m_quarantine.verdictOn(parts);
    if (!verdict)
        return std::nullopt;
    if (now >= verdict->nextTrialAt && isTrialOwner(*verdict, now)
        && m_quarantine.tryStartTrial(*verdict, now)) {
        m_metrics.increment("prompt_trials_total", "");
        m_log.write("prompt_trial", {{"parts", partNames(verdict->parts)}, {"ends", verdict->ends}}, now);
        return std::nullopt;
    }
    return barOf(parts, now);
}

std::optional<absl::Duration> PromptGuard::barOf(const PromptParts &parts, absl::Time now) const
{
    const auto *verdict = m_quarantine.verdictOn(parts);
    if (!verdict)
        return std::nullopt;
    return std::max(verdict->nextTrialAt - now, PromptQuarantine::trialTime);
}

void PromptGuard::runSurvived(const PromptParts &parts, absl::Time now)
{
    report(m_quarantine.recordSurvival(parts, now), now);
}

void PromptGuard::targetEnded(const TargetId &id, absl::Time now)
{
    reportEnd(m_quarantine.confirmEnd(id, now), "target", id, now);
}

void PromptGuard::processListed(const TargetProcess &process, absl::Time now)
{
    reportEnd(m_quarantine.confirmEarlierEnds(process, now), "replaced_by", process.id, now);
}

void PromptGuard::reportEnd(const QuarantineChange &change, const char *name, const TargetId &id,
                            absl::Time now)
{
    if (change.isNews) {
        m_metrics.increment("target_ends_with_suspects_total", "");
        m_log.write("target_ended", {{name, id.value()}}, now);
        m_callbacks.endRecorded();
    }
    report(change, now);
}

PromptEvidence PromptGuard::evidenceForGroup(absl::Time now)
{
    auto out = m_quarantine.takeNews(now);
    if (now < m_verdictsDueAt)
        return out;
    m_verdictsDueAt = now + verdictInterval;
    const auto verdicts = m_quarantine.evidence(PromptQuarantine::EvidenceScope::Verdicts, now);
    out.ends.insert(out.ends.end(), verdicts.ends.begin(), verdicts.ends.end());
    return out;
}

void PromptGuard::merge(const PromptEvidence &evidence, PromptQuarantine::EvidenceSource source,
                        absl::Time now)
{
    report(m_quarantine.merge(evidence, source, now), now);
}

void PromptGuard::expire(absl::Time now)
{
    report(m_quarantine.expire(now), now);
    m_metrics.setGauge("prompt_verdicts", static_cast<double>(m_quarantine.verdicts().size()));
}

bool PromptGuard::isTrialOwner(const PromptQuarantine::Verdict &verdict, absl::Time now) const
{
    std::vector<RouterId> others;
    const auto members = m_routers.members();
    others.reserve(members.size());
    for (const auto &it : members)
        others.push_back(it.id);
    return PromptQuarantine::isTrialOwner(verdict, m_self, others, now);
}

void PromptGuard::report(const QuarantineChange &change, absl::Time now)
{
    for (const auto &it : change.liftedVerdicts)
        m_log.write("prompt_bar_lifted", {{"parts", partNames(it)}}, now);
    for (const auto &it : change.newVerdicts) {
        m_metrics.increment("prompt_verdicts_total", "");
        const auto *verdict = m_quarantine.verdictOn(it);
        m_log.write("prompt_barred",
                    {{"parts", partNames(it)},
                     {"ends", verdict->ends},
                     {"independent_ends", verdict->independentEnds},
                     {"last_end_ms_ago", absl::ToInt64Milliseconds(now - verdict->lastEndAt)},
                     {"next_trial_ms", absl::ToInt64Milliseconds(verdict->nextTrialAt - now)}},
                    now);
    }
    if (!change.newVerdicts.empty())
        m_callbacks.verdictAdded();
}

} // namespace Wisteria
