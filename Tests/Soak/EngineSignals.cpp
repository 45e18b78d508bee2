// Bookkeeping by router and engine.

#include "EngineSignals.h"

namespace Wisteria {

void EngineSignals::noteSent(const std::string &request, const std::string &router, absl::Time now)
{
    m_sent[request] = {router, now, "", absl::InfinitePast()};
}

void EngineSignals::noteLeaving(const std::string &engine, absl::Time now)
{
    m_leaving.emplace(engine, now);
}

void EngineSignals::setPause(const std::string &engine, std::optional<absl::Duration> pause)
{
    if (pause)
        m_pauses[engine] = *pause;
    else
        m_pauses.erase(engine);
}

void EngineSignals::noteAnswered(const std::string &request, absl::Time now)
{
    const auto sent = m_sent.find(request);
    if (sent == m_sent.end())
        return;
    m_limits.notePassedOn(sent->second.engine, sent->second.router, sent->second.reachedAt, now);
    const auto leaving = m_leaving.find(sent->second.engine);
    if (leaving != m_leaving.end() && leaving->second <= sent->second.reachedAt)
        m_passedOn.emplace(RouterAndEngine{sent->second.router, sent->second.engine}, now);
}

EngineSignals::Judgement EngineSignals::judgeArrival(const std::string &request, const std::string &engine,
                                                     absl::Duration drainBound, absl::Time now)
{
    const auto sent = m_sent.find(request);
    if (sent == m_sent.end())
        return {};
    sent->second.engine = engine;
    sent->second.reachedAt = now;
    m_limits.noteArrival(engine, sent->second.router, now);
    return {judgeLeaving(sent->second, drainBound, now), judgePause(sent->second, now), sent->second.router};
}

EngineSignals::Verdict EngineSignals::judgeLeaving(const Sent &sent, absl::Duration drainBound,
                                                   absl::Time now) const
{
    const auto passedOn = m_passedOn.find({sent.router, sent.engine});
    if (passedOn == m_passedOn.end() || !ranAllTheWhile(sent.router, passedOn->second, now))
        return Verdict::NotJudged;
    return sent.at > passedOn->second + drainBound ? Verdict::Broken : Verdict::Kept;
}

EngineSignals::Verdict EngineSignals::judgePause(const Sent &sent, absl::Time now)
{
    const RouterAndEngine key{sent.router, sent.engine};
    Verdict verdict = Verdict::NotJudged;
    if (const auto it = m_pausesOfRouters.find(key); it != m_pausesOfRouters.end()) {
        auto &pause = it->second;
        if (now > pause.from + pauseMargin && now < pause.to && ranAllTheWhile(sent.router, pause.from, now))
            verdict = ++pause.arrivals > mostDuringPause ? Verdict::Broken : Verdict::Kept;
        if (now >= pause.to)
            m_pausesOfRouters.erase(it);
    }
    const auto asked = m_pauses.find(sent.engine);
    if (asked != m_pauses.end())
        m_pausesOfRouters.try_emplace(key, Pause{now, now + asked->second});
    return verdict;
}

bool EngineSignals::ranAllTheWhile(const std::string &router, absl::Time from, absl::Time to) const
{
    return m_disturbances.isCalm(DisturbanceKind::Router, router, from, to)
        && m_disturbances.isCalm(DisturbanceKind::Observer, "", from, to);
}

} // namespace Wisteria
