// Discovery: which addresses of the system to use, for how long, and the tickets of at-most-once calls.

#pragma once

#include <LibCaller/Transport.h>
#include <LibCore/Ids.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

struct RouterEndpoint
{
    // Empty for a seed address that discovery has not confirmed yet.
    RouterId router;
    // "IP:port".
    std::string address;
    FailureDomain domain;

    bool operator==(const RouterEndpoint &) const = default;
};

struct DiscoveryAnswer
{
    std::vector<RouterEndpoint> entryPoints;
    absl::Duration lifetime;
    std::vector<IdempotencyKey> tickets;
};

// Errors: ProtocolViolation.
[[nodiscard]] ErrorOr<DiscoveryAnswer> discoveryAnswerFromJson(std::string_view text);

// The addresses that one caller knows. Not safe for use by several threads at once.
class EntryPoints
{
public:
    EntryPoints(Transport &transport, CallerClock &clock, std::vector<std::string> seeds,
                FailureDomain domain, absl::Duration timeout);

    // The best address that may be tried now. Asks for the entry points when the last answer's lifetime is
    // over. Empty while all known addresses are held back; nextTry() says until when.
    [[nodiscard]] std::optional<RouterEndpoint> choose();
    // The best address besides `other`, or `other` itself when there is none.
    [[nodiscard]] std::optional<RouterEndpoint> chooseBeside(const std::string &other);
    [[nodiscard]] absl::Time nextTry() const;

    // Keeps an address back for a while, after a failure or because it said Retry-After.
    void holdBack(const std::string &address, absl::Duration duration);
    void holdBackAll(absl::Duration duration);

    // A ticket that this very address issued. Errors: those of the transport; Internal when the answer held
    // none.
    [[nodiscard]] ErrorOr<IdempotencyKey> ticketFrom(const RouterEndpoint &entryPoint);

    [[nodiscard]] const std::vector<RouterEndpoint> &known() const { return m_entryPoints; }

private:
    [[nodiscard]] ErrorOr<DiscoveryAnswer> ask(const std::string &address, int tickets);
    void refreshIfDue();
    void take(const DiscoveryAnswer &answer);
    [[nodiscard]] bool isHeldBack(const std::string &address) const;

    Transport &m_transport;
    CallerClock &m_clock;
    const std::vector<std::string> m_seeds;
    const FailureDomain m_domain;
    const absl::Duration m_timeout;
    // Invariant: never empty; the seeds until the first answer.
    std::vector<RouterEndpoint> m_entryPoints;
    absl::Time m_validUntil{absl::InfinitePast()};
    std::map<std::string, absl::Time> m_heldBackUntil;
};

} // namespace Wisteria
