// Estimates how long a request will wait for a slot, based on the rate at which generations of its service
// end at this router.

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
    // Estimated wait of the request at the given queue position (zero is the front). Empty until enough
    // generations have ended.
    [[nodiscard]] std::optional<absl::Duration> estimateWait(const ServiceName &, std::size_t position,
                                                             absl::Time now) const;

private:
    struct Completions
    {
        absl::Time first;
        absl::Time last;
        // Number of completions, each decayed exponentially by its age.
        double decayedCount{0};
    };

    [[nodiscard]] static double decayedCountAt(const Completions &, absl::Time now);

    std::map<ServiceName, Completions> m_completions;
};

} // namespace Wisteria
