// Drives one generation to its end over as many connections as it takes.

#pragma once

#include <LibCaller/AttemptPacer.h>
#include <LibCaller/CallerClient.h>

namespace Wisteria {

class CompletionDriver
{
public:
    CompletionDriver(const CompletionRequest &request, Transport &transport, AttemptPacer &pacer,
                     absl::Duration stallLimit, TokenReceiver onToken);

    [[nodiscard]] ErrorOr<Completion> run();

private:
    enum class Progress { Ended, GoOn };

    // One connection. Errors are final.
    [[nodiscard]] ErrorOr<Progress> attempt(const RouterEndpoint &entryPoint);
    [[nodiscard]] ErrorOr<Progress> judge(const RouterEndpoint &entryPoint, const Error &cutReason);
    [[nodiscard]] HttpRequest makeRequest() const;
    [[nodiscard]] Completion completion() const;

    const CompletionRequest &m_request;
    Transport &m_transport;
    AttemptPacer &m_pacer;
    const absl::Duration m_stallLimit;
    CompletionStream m_stream;
    int m_connections{0};
};

} // namespace Wisteria
