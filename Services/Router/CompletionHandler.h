// POST /v1/completions: checks the request, opens a generation and streams its events to the caller.

#pragma once

#include <Router/RouterProcess.h>

#include <httplib.h>

namespace Wisteria {

class CompletionHandler
{
public:
    explicit CompletionHandler(RouterProcess &process);

    void handle(const httplib::Request &request, httplib::Response &response);

private:
    [[nodiscard]] ErrorOr<GenerationRequest> readRequest(const httplib::Request &request);
    void stream(GenerationRequest request, std::string model, httplib::Response &response);

    RouterProcess &m_process;
};

} // namespace Wisteria
