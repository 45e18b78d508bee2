// A list of spans.

#include "Disturbances.h"

#include <algorithm>

namespace Wisteria {

std::size_t Disturbances::begin(DisturbanceKind kind, const std::string &subject, absl::Time now)
{
    m_entries.push_back({kind, subject, now, absl::InfiniteFuture()});
    return m_entries.size() - 1;
}

void Disturbances::end(std::size_t number, absl::Time now)
{
    m_entries.at(number).to = now;
}

bool Disturbances::isCalm(DisturbanceKind kind, const std::string &subject, absl::Time from,
                          absl::Time to) const
{
    return std::none_of(m_entries.begin(), m_entries.end(), [&](const Entry &it) {
        const bool concerns = subject.empty() || it.subject.empty() || it.subject == subject;
        return it.kind == kind && concerns && it.from <= to && it.to >= from;
    });
}

} // namespace Wisteria
