// Sends cancel requests in an event loop of its own.

#include <LibPlatform/StreamStopper.h>

#include <LibNet/HttpClient.h>
#include <LibPlatform/BlockingHttpClient.h>
#include <LibPlatform/MonotonicClock.h>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Wisteria {

namespace detail {

constexpr absl::Duration stopTimeout = absl::Seconds(1);
constexpr std::size_t maxStopAnswerBytes = std::size_t{64} * 1024;
constexpr int firstRedirect = 300;
constexpr int statusUnknownStream = 404;

// The engine has stopped the stream, or no longer knows it.
bool isOver(const HttpCallResult &result)
{
    return result && (result->head.status < firstRedirect || result->head.status == statusUnknownStream);
}

} // namespace detail

struct StreamStopper::Request
{
    Address address;
    std::string stream;
    absl::Time until;
    absl::Duration nextDelay{shortestRetry};
};

StreamStopper::StreamStopper()
    : m_work(boost::asio::make_work_guard(m_context)), m_thread([this] { m_context.run(); })
{
    pthread_setname_np(m_thread.native_handle(), "stream-stops");
}

StreamStopper::~StreamStopper()
{
    m_context.stop();
    m_thread.join();
}

void StreamStopper::stop(const Address &address, const std::string &stream)
{
    auto request = std::make_shared<Request>(
        Request{.address = address, .stream = stream, .until = monotonicNow() + longestLinger});
    boost::asio::post(m_context, [this, request = std::move(request)] { ask(request); });
}

void StreamStopper::ask(const std::shared_ptr<Request> &request)
{
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(request->address.host()),
                                                  static_cast<std::uint16_t>(request->address.port()));
    const auto connection = std::make_shared<HttpClientConnection>(m_context, endpoint, SocketLimits{});
    HttpFields fields;
    fields.set("Host", hostField(request->address));
    fields.set("Connection", "close");
    callHttp(
        m_context, connection,
        serializeRequest("POST", absl::StrCat("/v1/completions/", request->stream, "/cancel"), fields, ""),
        detail::stopTimeout, detail::maxStopAnswerBytes,
        [this, connection, request](const HttpCallResult &result) {
            connection->cancel();
            if (!detail::isOver(result))
                askAgain(request);
        });
}

void StreamStopper::askAgain(const std::shared_ptr<Request> &request)
{
    if (monotonicNow() + request->nextDelay >= request->until) {
        LOG(WARNING) << "no answer to requests to stop stream " << request->stream << " at "
                     << hostField(request->address);
        return;
    }
    auto timer =
        std::make_shared<boost::asio::steady_timer>(m_context, absl::ToChronoNanoseconds(request->nextDelay));
    request->nextDelay = std::min(2 * request->nextDelay, longestRetry);
    timer->async_wait([this, timer, request](const auto &ec) {
        if (!ec)
            ask(request);
    });
}

} // namespace Wisteria
