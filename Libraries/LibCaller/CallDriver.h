// Drives one call of a plain service to one of its three outcomes.

#pragma once

#include <LibCaller/AttemptPacer.h>
#include <LibCaller/CallerClient.h>

namespace Wisteria {

class CallDriver
{
public:
    CallDriver(const ServiceCall &request, Transport &transport, EntryPoints &entryPoints,
               AttemptPacer &pacer, absl::Duration stallLimit);

    [[nodiscard]] CallResult run();

private:
    // One attempt. Empty: try again.
    [[nodiscard]] std::optional<CallResult> attempt(const RouterEndpoint &entryPoint);
    [[nodiscard]] std::optional<CallResult> takeAnswer(const RouterEndpoint &entryPoint,
                                                       const HttpAnswer &answer);
    [[nodiscard]] std::optional<CallResult> takeNotRun(const RouterEndpoint &entryPoint, const Error &error);
    // Makes sure that there is a key which this router may be given.
    [[nodiscard]] ErrorOr<void> prepareKey(const RouterEndpoint &entryPoint);
    [[nodiscard]] HttpRequest makeRequest(std::string body) const;
    [[nodiscard]] CallResult giveUp(const Error &error) const;

    const ServiceCall &m_request;
    Transport &m_transport;
    EntryPoints &m_entryPoints;
    AttemptPacer &m_pacer;
    const absl::Duration m_stallLimit;
    std::string m_body;
    // The caller's own key, or a ticket. Empty for an idempotent call.
    std::optional<IdempotencyKey> m_key;
    // Address that issued the ticket in m_key; empty when the key is the caller's own.
    std::string m_ticketIssuer;
    // Requests under m_key of which a byte may have reached a router.
    int m_requestsUnderKey{0};
    // Invariant: true from the first byte sent under m_key until a router says that the call did not run.
    // While it is true, m_key never changes.
    bool m_maybeSent{false};
};

} // namespace Wisteria
