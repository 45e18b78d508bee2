// Compares the spans of each two engines.

#include "StreamOverlaps.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace Wisteria {

namespace detail {

// Between the parts of a long overlap that are looked at.
constexpr absl::Duration overlapStep = absl::Milliseconds(50);

} // namespace detail

StreamOverlaps::Judgement StreamOverlaps::judge(const std::string &router,
                                                const std::vector<Span> &spans) const
{
    auto verdict = Verdict::NotJudged;
    for (auto it = spans.begin(); it != spans.end(); ++it) {
        for (auto other = std::next(it); other != spans.end(); ++other) {
            if (it->engine == other->engine)
                continue;
            const auto from = std::max(it->from, other->from);
            const auto to = std::min(it->to, other->to);
            if (to - from < bound) {
                verdict = std::max(verdict, Verdict::Kept);
                continue;
            }
            if (wasReached(router, *it, *other, from, to)) {
                return {Verdict::Broken,
                        absl::StrCat(it->engine, " and ", other->engine, " for ",
                                     absl::FormatDuration(to - from), " by ", router, " from ",
                                     absl::ToDoubleSeconds(from - absl::UnixEpoch()))};
            }
            verdict = Verdict::Excused;
        }
    }
    return {verdict, ""};
}

bool StreamOverlaps::wasReached(const std::string &router, const Span &one, const Span &other,
                                absl::Time from, absl::Time to) const
{
    const auto isCalm = [&](DisturbanceKind kind, const std::string &subject, absl::Time start) {
        return m_disturbances.isCalm(kind, subject, start - m_contact, start + bound);
    };
    for (auto start = from; start + bound <= to; start += detail::overlapStep) {
        if (isCalm(DisturbanceKind::Router, router, start)
            && isCalm(DisturbanceKind::StopSignal, router, start) && isCalm(DisturbanceKind::Store, "", start)
            && isCalm(DisturbanceKind::EngineLink, one.engine, start)
            && isCalm(DisturbanceKind::EngineLink, other.engine, start)
            && m_disturbances.isCalm(DisturbanceKind::Observer, "", start, start + bound))
            return true;
    }
    return false;
}

} // namespace Wisteria
