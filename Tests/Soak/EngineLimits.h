// Limits that engines name for the requests of all routers together. Judges whether the routers that were
// told keep them. No I/O.

#pragma once

#include "Disturbances.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Wisteria {

class EngineLimits
{
public:
    // The rule of the users' pages: no four seconds with more than one and a half times what the limit
    // allows, and five requests, from routers that passed on such an answer half a second before or earlier.
    static constexpr absl::Duration period = absl::Seconds(4);
    static constexpr double allowedExcess = 1.5;
    static constexpr int allowedExtraRequests = 5;
    static constexpr absl::Duration margin = absl::Milliseconds(500);

    explicit EngineLimits(const Disturbances &disturbances) : m_disturbances(disturbances) { }

    // The engine names this limit, in requests a second, in all answers from now on.
    void begin(const std::string &engine, double perSecond, absl::Time now);
    // It names it no longer, or has ended.
    void end(const std::string &engine, absl::Time now);
    void noteArrival(const std::string &engine, const std::string &router, absl::Time now);
    // The router passed on an answer to a request that had reached the engine at the time.
    void notePassedOn(const std::string &engine, const std::string &router, absl::Time reachedAt,
                      absl::Time now);

    struct Judgement
    {
        std::string engine;
        double perSecond{0};
        int most{0};
        int allowed{0};
    };
    // The most arrivals of each limit in the rule's period, from `contact` after its beginning.
    [[nodiscard]] std::vector<Judgement> judge(absl::Duration contact) const;

private:
    struct Arrival
    {
        std::string router;
        absl::Time at;
    };
    struct Limit
    {
        std::string engine;
        double perSecond{0};
        absl::Time from;
        absl::Time to{absl::InfiniteFuture()};
        std::vector<Arrival> arrivals;
        // When each router passed on answers that name the limit.
        std::map<std::string, std::vector<absl::Time>> passedOn;
    };

    [[nodiscard]] Limit *limitAt(const std::string &engine, absl::Time at);
    [[nodiscard]] int countFrom(const Limit &, absl::Time from) const;
    // The router had passed on such an answer and has run since.
    [[nodiscard]] bool wasTold(const Limit &, const Arrival &, absl::Time periodEnd) const;

    const Disturbances &m_disturbances;
    std::vector<Limit> m_limits;
};

} // namespace Wisteria
