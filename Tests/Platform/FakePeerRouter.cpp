// Sends reports by UDP and waits for one.

#include "FakePeerRouter.h"

#include <LibNet/HttpClient.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

FakePeerRouter::FakePeerRouter(boost::asio::io_context &context, const std::string &id)
    : m_socket(context, {boost::asio::ip::address_v4::loopback(), 0}), m_id(id)
{
    m_socket.async_receive(boost::asio::buffer(m_buf),
                           [this](const auto &ec, std::size_t) { m_isAnswered = m_isAnswered || !ec; });
}

void FakePeerRouter::report(const std::string &address, const TargetLoads &loads)
{
    PeerReport report;
    report.loads = loads;
    send(address, std::move(report));
}

void FakePeerRouter::report(const std::string &address, const PromptEvidence &evidence)
{
    PeerReport report;
    report.promptEvidence = evidence;
    send(address, std::move(report));
}

void FakePeerRouter::reportGone(const std::string &address, const TargetProcess &process)
{
    PeerReport report;
    report.gone = {process};
    send(address, std::move(report));
}

void FakePeerRouter::send(const std::string &address, PeerReport report)
{
    report.router.id = RouterId(m_id);
    report.router.domain = FailureDomain("z0");
    report.router.peerAddress = absl::StrCat("127.0.0.1:", m_socket.local_endpoint().port());
    report.router.callerAddress = report.router.peerAddress;
    report.router.incarnation = Incarnation(1);
    report.router.reportSequence = ++m_sequence;
    const auto endpoint = *parseEndpoint(address);
    m_socket.send_to(boost::asio::buffer(encodePeerReport(report)), {endpoint.address(), endpoint.port()});
}

} // namespace Wisteria
