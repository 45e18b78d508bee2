// Work of engines on streams: judges whether two of them worked on one stream for too long. No I/O.

#pragma once

#include "Disturbances.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace Wisteria {

class StreamOverlaps
{
public:
    // What the users forbid.
    static constexpr absl::Duration bound = absl::Milliseconds(400);

    // An engine worked on a stream between the two times.
    struct Span
    {
        std::string engine;
        absl::Time from;
        absl::Time to;
    };
    enum class Verdict {
        // The stream ran at one engine.
        NotJudged,
        Kept,
        Broken,
        // Engines worked side by side only while the router was out of touch or did not reach them.
        Excused,
    };
    struct Judgement
    {
        Verdict verdict{Verdict::NotJudged};
        std::string details;
    };

    // `contact` is for how long routers and links must have been undisturbed before.
    StreamOverlaps(const Disturbances &disturbances, absl::Duration contact)
        : m_disturbances(disturbances), m_contact(contact)
    {
    }

    [[nodiscard]] Judgement judge(const std::string &router, const std::vector<Span> &spansOfStream) const;

private:
    // The router was in touch and reached both engines for some part of the time that is as long as the
    // bound.
    [[nodiscard]] bool wasReached(const std::string &router, const Span &, const Span &, absl::Time from,
                                  absl::Time to) const;

    const Disturbances &m_disturbances;
    absl::Duration m_contact;
};

} // namespace Wisteria
