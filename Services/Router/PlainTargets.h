// The choice of a target for calls of plain services: fewest calls outstanding here, the own failure domain
// first.

#pragma once

#include <LibCore/Address.h>
#include <LibRouting/Events.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <vector>

namespace Wisteria {

struct PlainTarget
{
    TargetId id;
    ServiceName service;
    Address address;
    FailureDomain domain;
    TargetPhase phase{TargetPhase::Live};
};

// Thread-safe: the decision thread replaces the list, the calls' threads choose.
class PlainTargets
{
public:
    // Holds one of the target's outstanding calls until it goes out of scope.
    class Slot
    {
    public:
        Slot(PlainTargets &owner, PlainTarget target, std::vector<TargetId> alternatives)
            : m_owner(&owner), m_target(std::move(target)), m_alternatives(std::move(alternatives))
        {
        }
        Slot(Slot &&other) noexcept
            : m_owner(std::exchange(other.m_owner, nullptr)), m_target(std::move(other.m_target)),
              m_alternatives(std::move(other.m_alternatives))
        {
        }
        Slot &operator=(Slot &&) = delete;
        ~Slot();

        [[nodiscard]] const PlainTarget &target() const { return m_target; }
        [[nodiscard]] const std::vector<TargetId> &alternatives() const { return m_alternatives; }

    private:
        PlainTargets *m_owner;
        PlainTarget m_target;
        std::vector<TargetId> m_alternatives;
    };

    explicit PlainTargets(FailureDomain ownDomain);

    void replace(std::vector<PlainTarget> targets);
    // Leaving and gone targets are never chosen; suspect ones only when no live one is left.
    // Errors: NoTargetAvailable, with a time to come back.
    [[nodiscard]] ErrorOr<Slot> acquire(const ServiceName &service, const std::vector<TargetId> &excluded);

private:
    void release(const TargetId &target);
    [[nodiscard]] bool isBetter(const PlainTarget &a, const PlainTarget &b) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const FailureDomain m_ownDomain;
    absl::Mutex m_mutex;
    std::vector<PlainTarget> m_targets ABSL_GUARDED_BY(m_mutex);
    std::map<TargetId, std::uint32_t> m_outstanding ABSL_GUARDED_BY(m_mutex);
};

} // namespace Wisteria
