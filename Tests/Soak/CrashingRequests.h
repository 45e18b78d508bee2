// Requests with one part of a prompt that ends engines: judges how many of them routers send on. No I/O.

#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Wisteria {

class CrashingRequests
{
public:
    // Source: the users' rules.
    static constexpr std::size_t endsBeforeBound = 5;
    static constexpr std::size_t mostAfterBound = 3;

    // From here on, requests have another part that ends engines.
    void startPart() { m_parts.emplace_back(); }
    [[nodiscard]] std::string currentPart() const;
    void noteSent(const std::string &request, const std::string &router) { m_routers[request] = router; }
    void noteArrival(const std::string &request, absl::Time now);
    void noteEnd(absl::Time now);

    // True if the router was in touch between the two times.
    using InTouch = std::function<bool(const std::string &router, absl::Time from, absl::Time to)>;
    struct Judgement
    {
        std::size_t ends{0};
        // Requests that reached engines later than the time of contact after the fifth end.
        std::size_t late{0};
    };
    // One for each part that ended enough engines.
    [[nodiscard]] std::vector<Judgement> judge(absl::Duration contact, const InTouch &) const;

private:
    struct Part
    {
        std::vector<absl::Time> ends;
        std::vector<std::pair<std::string, absl::Time>> arrivals;
    };

    std::vector<Part> m_parts;
    std::map<std::string, std::string> m_routers;
};

} // namespace Wisteria
