// The operators' interface of a router.

#pragma once

#include <Router/RouterProcess.h>

#include <httplib.h>

namespace Wisteria {

class AdminHandler
{
public:
    explicit AdminHandler(RouterProcess &process);

    void showConfiguration(httplib::Response &response);
    void change(const httplib::Request &request, httplib::Response &response);
    void showStatus(httplib::Response &response);
    void drain(httplib::Response &response);

private:
    RouterProcess &m_process;
};

} // namespace Wisteria
