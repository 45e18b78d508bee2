// Faults of the plan that sound engines bring about by themselves: streams that are silent and go on, heads
// and first events that are late. They disturb no link, so that answers must go on after them.

#include "FaultPlan.h"

#include <LibPlatform/MonotonicClock.h>

namespace Wisteria {

void FaultPlan::addStreamFaults()
{
    const auto drawOne = [this] {
        const auto engines = modelEngines();
        return engines[m_streamRandom.below(engines.size())];
    };
    const auto drawSilence = [this] { return drawnForStreams(shortestStreamSilence, longestStreamSilence); };
    m_streamFaults = {
        {"streams silent",
         [this, drawOne, drawSilence] {
             silenceStreams(*drawOne(), drawSilence());
             return true;
         }},
        {"streams silent, closes unnoticed",
         [this, drawOne, drawSilence] {
             silenceStreamsWithoutCloses(*drawOne(), drawSilence());
             return true;
         }},
        {"streams silent, others start slowly",
         [this, drawOne, drawSilence] {
             auto *silent = drawOne();
             const auto length = drawSilence();
             silenceStreams(*silent, length);
             for (auto *it : modelEngines()) {
                 if (it != silent)
                     delayStarts(*it, length);
             }
             return true;
         }},
        {"streams of a domain silent",
         [this, drawSilence] {
             const auto length = drawSilence();
             for (auto *it : modelEngines(drawStreamDomain()))
                 silenceStreams(*it, length);
             return true;
         }},
        {"streams of a domain silent, closes unnoticed",
         [this, drawSilence] {
             const auto length = drawSilence();
             for (auto *it : modelEngines(drawStreamDomain()))
                 silenceStreamsWithoutCloses(*it, length);
             return true;
         }},
        {"streams start slowly",
         [this, drawOne] {
             delayStarts(*drawOne(), drawnForStreams(shortestFault, longestFault));
             return true;
         }},
        {"streams of a domain start slowly",
         [this] {
             const auto length = drawnForStreams(shortestFault, longestFault);
             for (auto *it : modelEngines(drawStreamDomain()))
                 delayStarts(*it, length);
             return true;
         }},
    };
}

void FaultPlan::beginNextStreamFault(absl::Time until)
{
    if (monotonicNow() >= until)
        return;
    const auto &fault = m_streamFaults[m_streamRandom.below(m_streamFaults.size())];
    if (fault.begin())
        ++m_begun[fault.name];
    m_world.after(drawnForStreams(leastPause, longestPause), [this, until] { beginNextStreamFault(until); });
}

std::vector<FakeEngine *> FaultPlan::modelEngines(const std::string &domain)
{
    std::vector<FakeEngine *> out;
    for (const auto &it : m_world.engines()) {
        if (it.engine->service() == "llm" && (domain.empty() || it.engine->zone() == domain))
            out.push_back(it.engine.get());
    }
    return out;
}

std::string FaultPlan::drawStreamDomain()
{
    return "z" + std::to_string(m_streamRandom.below(SoakWorld::domains));
}

absl::Duration FaultPlan::drawnForStreams(absl::Duration least, absl::Duration most)
{
    return least + (most - least) * m_streamRandom.fraction();
}

void FaultPlan::silenceStreams(FakeEngine &engine, absl::Duration length)
{
    engine.stallStreamsFor(absl::ToChronoMilliseconds(length));
}

void FaultPlan::silenceStreamsWithoutCloses(FakeEngine &engine, absl::Duration length)
{
    silenceStreams(engine, length);
    engine.setIgnoresCloses(true);
    m_world.after(length, [&engine] { engine.setIgnoresCloses(false); });
}

void FaultPlan::delayStarts(FakeEngine &engine, absl::Duration length)
{
    const auto drawDelay = [this] {
        const bool isLate = m_streamRandom.below(2) == 0;
        return absl::ToChronoMilliseconds(isLate ? drawnForStreams(absl::ZeroDuration(), longestStartDelay)
                                                 : absl::ZeroDuration());
    };
    const auto head = drawDelay();
    engine.delayStartsFor(absl::ToChronoMilliseconds(length), {.head = head, .firstEvent = drawDelay()});
}

} // namespace Wisteria
