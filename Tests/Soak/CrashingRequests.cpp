// Counts arrivals after the fifth end.

#include "CrashingRequests.h"

#include <absl/strings/str_cat.h>

namespace Wisteria {

std::string CrashingRequests::currentPart() const
{
    return m_parts.empty() ? std::string() : absl::StrCat("bad", m_parts.size());
}

void CrashingRequests::noteArrival(const std::string &request, absl::Time now)
{
    if (const auto it = m_routers.find(request); it != m_routers.end() && !m_parts.empty())
        m_parts.back().arrivals.emplace_back(it->second, now);
}

void CrashingRequests::noteEnd(absl::Time now)
{
    if (!m_parts.empty())
        m_parts.back().ends.push_back(now);
}

std::vector<CrashingRequests::Judgement> CrashingRequests::judge(absl::Duration contact,
                                                                 const InTouch &isInTouch) const
{
    std::vector<Judgement> out;
    for (const auto &part : m_parts) {
        if (part.ends.size() < endsBeforeBound)
            continue;
        const auto bound = part.ends[endsBeforeBound - 1] + contact;
        Judgement judgement{.ends = part.ends.size()};
        for (const auto &[router, at] : part.arrivals)
            judgement.late += at > bound && isInTouch(router, at, at) ? 1 : 0;
        out.push_back(judgement);
    }
    return out;
}

} // namespace Wisteria
