// Choice among the targets of a plain service.

#include <Router/PlainTargets.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Until then the membership has either found a target or had time to see one come back.
constexpr absl::Duration noTargetRetryAfter = absl::Seconds(1);

bool takesWork(TargetPhase phase)
{
    return phase == TargetPhase::Live || phase == TargetPhase::Suspect;
}

} // namespace detail

PlainTargets::PlainTargets(FailureDomain ownDomain) : m_ownDomain(std::move(ownDomain)) { }

PlainTargets::Slot::~Slot()
{
    if (m_owner)
        m_owner->release(m_target.id);
}

void PlainTargets::replace(std::vector<PlainTarget> targets)
{
    absl::MutexLock lock(&m_mutex);
    m_targets = std::move(targets);
}

bool PlainTargets::isBetter(const PlainTarget &a, const PlainTarget &b) const
{
    auto rank = [this](const PlainTarget &it) {
        auto outstanding = m_outstanding.find(it.id);
        std::uint32_t n = outstanding == m_outstanding.end() ? 0 : outstanding->second;
        return std::tuple(it.phase != TargetPhase::Live, n, it.domain != m_ownDomain, it.id);
    };
    return rank(a) < rank(b);
}

ErrorOr<PlainTargets::Slot> PlainTargets::acquire(const ServiceName &service,
                                                  const std::vector<TargetId> &excluded)
{
    absl::MutexLock lock(&m_mutex);
    const PlainTarget *best = nullptr;
    std::vector<TargetId> alternatives;
    for (const auto &it : m_targets) {
        bool isExcluded = std::find(excluded.begin(), excluded.end(), it.id) != excluded.end();
        if (it.service != service || isExcluded || !detail::takesWork(it.phase))
            continue;
        alternatives.push_back(it.id);
        if (!best || isBetter(it, *best))
            best = &it;
    }
    if (!best)
        return makeError(ErrorCode::NoTargetAvailable, service.value(), detail::noTargetRetryAfter);
    std::erase(alternatives, best->id);
    ++m_outstanding[best->id];
    return Slot(*this, *best, std::move(alternatives));
}

void PlainTargets::release(const TargetId &target)
{
    absl::MutexLock lock(&m_mutex);
    auto it = m_outstanding.find(target);
    if (it != m_outstanding.end() && --it->second == 0)
        m_outstanding.erase(it);
}

} // namespace Wisteria
