// POST /v1/services/NAME/calls: calls of plain services.

#pragma once

#include <Router/RouterProcess.h>

#include <httplib.h>

namespace Wisteria {

class CallHandler
{
public:
    explicit CallHandler(RouterProcess &process);

    void handle(const httplib::Request &request, httplib::Response &response);

private:
    struct Call
    {
        WorkspaceName workspace;
        ServiceName service;
        bool isIdempotent{false};
        IdempotencyKey key;
        std::string body;
        absl::Time deadline;
        std::uint32_t attempt{0};
    };

    [[nodiscard]] ErrorOr<Call> readCall(const httplib::Request &request);
    [[nodiscard]] CallAnswer runOnce(Call call);

    RouterProcess &m_process;
};

} // namespace Wisteria
