// One cpp-httplib client a request: no connection is used twice, so a failure never belongs to an earlier
// call.

#include <LibCaller/HttpTransport.h>

#include <LibCore/Address.h>

#include <absl/strings/ascii.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include <chrono>
#include <ctime>

namespace Wisteria {

namespace detail {

constexpr int statusOk = 200;
// An answer that is no stream is never longer than this.
constexpr std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024;

std::chrono::milliseconds toChrono(absl::Duration duration)
{
    // Zero would mean that there is no time limit at all.
    return std::chrono::milliseconds(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(duration)));
}

void copyHead(const httplib::Response &from, HttpAnswer &to)
{
    to.status = from.status;
    for (const auto &[name, value] : from.headers)
        to.headers[absl::AsciiStrToLower(name)] = value;
}

TransportError toTransportError(httplib::Error ec)
{
    switch (ec) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return {{ErrorCode::ConnectionFailed, httplib::to_string(ec)}, Delivery::NotSent};
    default:
        return {{ErrorCode::ConnectionLost, httplib::to_string(ec)}, Delivery::MaybeSent};
    }
}

httplib::Request toHttplib(const HttpRequest &request)
{
    httplib::Request out;
    out.method = request.method;
    out.path = request.path;
    for (const auto &it : request.headers)
        out.headers.emplace(it.name, it.value);
    out.body = request.body;
    return out;
}

} // namespace detail

tl::expected<HttpAnswer, TransportError>
HttpTransport::send(const std::string &address, const HttpRequest &request, BodyReceiver *receiver)
{
    auto parsed = Address::parse(address);
    if (!parsed)
        return tl::unexpected(TransportError{parsed.error(), Delivery::NotSent});
    httplib::Client client(parsed->host(), parsed->port());
    client.set_connection_timeout(detail::toChrono(m_connectTimeout));
    client.set_read_timeout(detail::toChrono(request.idleTimeout));
    client.set_write_timeout(detail::toChrono(request.idleTimeout));
    client.set_tcp_nodelay(true);

    HttpAnswer answer;
    bool wasStopped = false;
    auto out = detail::toHttplib(request);
    out.response_handler = [&](const httplib::Response &response) {
        detail::copyHead(response, answer);
        return true;
    };
    out.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (!receiver || answer.status != detail::statusOk) {
            answer.body.append(data, size);
            return answer.body.size() <= detail::maxAnswerBytes;
        }
        wasStopped = receiver->take({data, size}) == StreamControl::Stop;
        return !wasStopped;
    };
    auto result = client.send(out);
    if (!result && !wasStopped)
        return tl::unexpected(detail::toTransportError(result.error()));
    if (result)
        detail::copyHead(*result, answer);
    return answer;
}

absl::Time MachineClock::now()
{
    timespec ts{};
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return absl::TimeFromTimespec(ts);
}

void MachineClock::sleepFor(absl::Duration duration)
{
    absl::SleepFor(duration);
}

} // namespace Wisteria
