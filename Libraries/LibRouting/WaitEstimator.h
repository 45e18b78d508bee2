// Estimates how long a request will wait for a slot, from the rate at which a service's generations end here.

#pragma once

#include <LibCore/Ids.h>

#include <absl/time/time.h>

#include <map>
#include <optional>

namespace Wisteria {

class WaitEstimator
{
public:
    void noteGenerationEnded(const ServiceName &, absl::Time now);
    // The wait of the request at the position (zero is the front); empty while too few generations have
    // ended.
    [[nodiscard]] std::optional<absl::Duration> estimateWait(const ServiceName &, std::size_t position,
                                                             absl::Time now) const;

private:
    struct Completions
    {
        absl::Time first;
        absl::Time last;
        // Ends so far, each faded by its age.
        double decayedCount{0};
    };

    [[nodiscard]] static double decayedCountAt(const Completions &, absl::Time now);

    std::map<ServiceName, Completions> m_completions;
};

} // namespace Wisteria
