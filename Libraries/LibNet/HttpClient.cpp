// Connecting, writing and reading towards servers.

#include <LibNet/HttpClient.h>

#include <LibCore/Views.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <glog/logging.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <limits>

#include <sys/socket.h>

namespace Wisteria {

namespace http = boost::beast::http;

namespace detail {

constexpr unsigned firstStatus = 100;
constexpr unsigned statusSwitchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
// A peer that answers wrongly tends to do so on each request.
constexpr double badAnswerLogSeconds = 1;

// The value of "timeout=" in a Keep-Alive field, in seconds.
std::optional<absl::Duration> keepAliveTimeout(const HttpFields &fields)
{
    const auto value = fieldValue(fields, "Keep-Alive");
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos)
        return std::nullopt;
    auto digits = value.substr(at + std::string_view("timeout=").size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    int seconds = 0;
    if (!absl::SimpleAtoi(abslView(digits), &seconds))
        return std::nullopt;
    return absl::Seconds(seconds);
}

} // namespace detail

std::string_view httpFailureName(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::NotConnected:
        return "not connected";
    case HttpFailure::Refused:
        return "connection refused";
    case HttpFailure::ConnectionLost:
        return "connection lost";
    case HttpFailure::BadAnswer:
        return "malformed or oversized answer";
    case HttpFailure::Timeout:
        return "timed out";
    }
    return "unknown";
}

ErrorOr<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto address = TRY(Address::parse(text));
    return boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(address.host()),
                                          static_cast<std::uint16_t>(address.port()));
}

HttpClientConnection::HttpClientConnection(boost::asio::io_context &context,
                                           const boost::asio::ip::tcp::endpoint &endpoint,
                                           const SocketLimits &limits)
    : m_socket(context), m_timer(context), m_endpoint(endpoint), m_limits(limits)
{
}

HttpClientConnection::~HttpClientConnection()
{
    MemoryAccount::ofThread().endReceivingWithoutRoom(this);
    openConnections -= m_hasSocket ? 1 : 0;
}

void HttpClientConnection::send(std::string bytes, std::weak_ptr<HttpAnswerListener> listener,
                                absl::Duration connectTimeout, std::shared_ptr<const std::string> body)
{
    m_listener = std::move(listener);
    m_sending = std::move(bytes);
    m_body = std::move(body);
    m_bodyBytes = 0;
    m_headTaken = false;
    m_discardsRest = false;
    m_endsAfterWrite = false;
    m_framingLimit = {};
    resetParser();
    updateReservation();
    if (m_state == State::Idle) {
        m_state = State::Waiting;
        startWriting();
        return;
    }
    connect(connectTimeout);
}

void HttpClientConnection::resetParser()
{
    m_parser.emplace();
    // NOTE: Beast compares the length with boost::none as with a limit of less than zero.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->eager(true);
}

void HttpClientConnection::connect(absl::Duration timeout)
{
    m_state = State::Connecting;
    boost::system::error_code ec;
    m_socket.open(m_endpoint.protocol(), ec);
    if (ec) {
        boost::asio::post(m_socket.get_executor(),
                          [self = shared_from_this()] { self->fail(HttpFailure::NotConnected); });
        return;
    }
    m_hasSocket = true;
    ++openConnections;
    m_timer.expires_after(absl::ToChronoNanoseconds(timeout));
    m_timer.async_wait([self = shared_from_this()](const auto &cancelled) {
        if (!cancelled && self->m_state == State::Connecting)
            self->fail(HttpFailure::NotConnected);
    });
    m_socket.async_connect(m_endpoint, [self = shared_from_this()](const auto &failed) {
        if (self->m_state != State::Connecting)
            return;
        self->m_timer.cancel();
        if (failed) {
            self->fail(failed == boost::asio::error::connection_refused ? HttpFailure::Refused
                                                                        : HttpFailure::NotConnected);
            return;
        }
        applySocketOptions(self->m_socket, self->m_limits);
        self->m_state = State::Waiting;
        self->startWriting();
        self->read();
    });
}

void HttpClientConnection::startWriting()
{
    m_isWriting = true;
    if (const auto listener = m_listener.lock())
        listener->connected();
    // The handler owns the body, which must outlive the write even if the connection is closed meanwhile.
    auto body = std::exchange(m_body, nullptr);
    const std::array<boost::asio::const_buffer, 2> buffers{
        boost::asio::buffer(m_sending), body ? boost::asio::buffer(*body) : boost::asio::const_buffer()};
    boost::asio::async_write(
        m_socket, buffers, [self = shared_from_this(), body = std::move(body)](const auto &ec, std::size_t) {
            self->m_isWriting = false;
            self->m_sending = {};
            self->updateReservation();
            // The socket reports its error once; the reader then sees an end of file.
            self->m_hasConnectionFailed = static_cast<bool>(ec);
            // NOTE: A write that fails leaves the answer to the reader: the peer may
            // have answered early and closed.
            if (ec && self->m_state == State::Idle)
                self->close();
            if (std::exchange(self->m_endsAfterWrite, false) && self->m_state == State::Waiting)
                self->onEndOfInput();
        });
}

bool HttpClientConnection::mustWaitForRoom() const
{
    auto &account = MemoryAccount::ofThread();
    if (m_bodyBytes <= MemoryAccount::smallBytes || account.hasRoomFor(m_bodyBytes))
        return false;
    const auto listener = m_listener.lock();
    if (!listener || !listener->canWaitForRoom() || account.tryReceiveWithoutRoom(this))
        return false;
    account.makeRoomForAnswers(monotonicNow());
    return true;
}

void HttpClientConnection::updateReservation()
{
    m_reservation.resize(
        m_state == State::Closed ? 0 : sizeof(*this) + m_sending.capacity() + m_unparsed.capacity());
}

void HttpClientConnection::read()
{
    if (m_state == State::Waiting && mustWaitForRoom()) {
        m_timer.expires_after(roomInterval);
        m_timer.async_wait([self = shared_from_this()](const auto &ec) {
            if (!ec && self->m_state != State::Closed)
                self->read();
        });
        return;
    }
    m_socket.async_read_some(
        boost::asio::buffer(m_buf),
        [self = shared_from_this()](const auto &ec, std::size_t n) { self->onRead(ec, n); });
}

void HttpClientConnection::onRead(const boost::system::error_code &ec, std::size_t n)
{
    if (m_state == State::Closed)
        return;
    if (m_state == State::Idle) {
        // Closed by the peer, or bytes that belong to no request.
        close();
        return;
    }
    if (ec) {
        if (ec == boost::asio::error::eof)
            onEndOfInput();
        else
            fail(HttpFailure::ConnectionLost);
        return;
    }
    if (feed({m_buf.data(), n}))
        read();
}

void HttpClientConnection::onEndOfInput()
{
    const bool mayBeEnd = !m_hasConnectionFailed && m_parser->is_header_done() && m_parser->need_eof();
    // A peer that ends its answer in order reads on. One that is gone resets the connection.
    if (mayBeEnd && m_isWriting) {
        m_endsAfterWrite = true;
        return;
    }
    boost::system::error_code ec;
    if (mayBeEnd)
        m_parser->put_eof(ec);
    if (mayBeEnd && !ec)
        endAnswer(AnswerEnd::ConnectionClosed);
    else
        fail(HttpFailure::ConnectionLost);
}

bool HttpClientConnection::feed(std::string_view data)
{
    m_unparsed.append(data);
    updateReservation();
    while (m_state == State::Waiting && !m_unparsed.empty()) {
        boost::system::error_code ec;
        const auto used = m_parser->put(boost::asio::buffer(m_unparsed), ec);
        m_unparsed.erase(0, used);
        if (ec && ec != http::error::need_more) {
            failBadAnswer(ec.message());
            return false;
        }
        const auto bodyBytes = m_parser->get().body().size();
        m_framingLimit.add(used - std::min(used, bodyBytes), bodyBytes);
        if (m_framingLimit.isExceeded(ec ? m_unparsed.size() : 0)) {
            failBadAnswer("too many bytes outside the body");
            return false;
        }
        if (!m_headTaken && m_parser->is_header_done() && !takeHead())
            continue;
        if (m_state == State::Waiting && m_headTaken)
            takeBody();
        if (m_state == State::Waiting && m_headTaken && m_parser->is_done()) {
            endAnswer(AnswerEnd::Framed);
            return m_state != State::Closed;
        }
        if (used == 0)
            break;
    }
    if (m_state == State::Waiting && m_discardsRest)
        close();
    return m_state != State::Closed;
}

bool HttpClientConnection::takeHead()
{
    auto &message = m_parser->get();
    const auto status = message.result_int();
    // Nothing was asked to switch protocols.
    if (status < detail::firstStatus || status == detail::statusSwitchingProtocols) {
        failBadAnswer("no status of an answer");
        return false;
    }
    if (status < detail::firstFinalStatus) {
        // An interim answer (RFC 9110, section 15.2); the final one follows.
        m_framingLimit.addInterimAnswer();
        resetParser();
        return false;
    }
    // Requests ask for no transfer coding, and `chunked` is the only one that needs no asking. The parser
    // reads other ones as a body that ends with its connection.
    if (hasUnknownTransferCoding(message)) {
        failBadAnswer("unknown transfer coding");
        return false;
    }
    m_headTaken = true;
    m_peerIdleTimeout = detail::keepAliveTimeout(message);
    HttpResponseHead head;
    head.status = static_cast<int>(message.result_int());
    head.reason.assign(message.reason().data(), message.reason().size());
    head.fields = message;
    if (auto listener = m_listener.lock())
        listener->answerHead(head);
    return true;
}

void HttpClientConnection::takeBody()
{
    auto &body = m_parser->get().body();
    if (body.empty())
        return;
    const auto data = std::exchange(body, {});
    m_bodyBytes += data.size();
    if (auto listener = m_listener.lock())
        listener->answerBody(data);
}

void HttpClientConnection::endAnswer(AnswerEnd end)
{
    MemoryAccount::ofThread().endReceivingWithoutRoom(this);
    const bool isClean =
        m_parser->keep_alive() && m_unparsed.empty() && !m_isWriting && !m_hasConnectionFailed;
    const auto listener = takeListener();
    if (isClean) {
        m_state = State::Idle;
        m_hasAnsweredBefore = true;
        if (m_becameIdle)
            m_becameIdle(shared_from_this());
    } else if (end == AnswerEnd::ConnectionClosed) {
        m_state = State::PeerEnded;
    } else {
        close();
    }
    if (listener)
        listener->answerEnded(end);
}

bool HttpClientConnection::hasBeenReset()
{
    boost::asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> pending;
    boost::system::error_code ec;
    m_socket.get_option(pending, ec);
    return m_hasConnectionFailed || ec || pending.value() != 0;
}

bool HttpClientConnection::hasUnexpectedInput() const
{
    char byte = 0;
    // MSG_PEEK leaves the byte where it is. native_handle() is not const.
    const auto fd = const_cast<boost::asio::ip::tcp::socket &>(m_socket).native_handle();
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpClientConnection::cancel()
{
    m_listener.reset();
    close();
}

void HttpClientConnection::discardRest()
{
    m_listener.reset();
    m_discardsRest = true;
}

void HttpClientConnection::fail(HttpFailure failure)
{
    const auto listener = takeListener();
    close();
    if (listener)
        listener->answerFailed(failure);
}

void HttpClientConnection::failBadAnswer(std::string_view reason)
{
    LOG_EVERY_T(WARNING, detail::badAnswerLogSeconds) << "bad answer from " << m_endpoint << ": " << reason;
    fail(HttpFailure::BadAnswer);
}

std::shared_ptr<HttpAnswerListener> HttpClientConnection::takeListener()
{
    auto listener = m_listener.lock();
    m_listener.reset();
    return listener;
}

void HttpClientConnection::close()
{
    if (m_state == State::Closed)
        return;
    const bool wasIdle = m_state == State::Idle;
    m_state = State::Closed;
    openConnections -= std::exchange(m_hasSocket, false) ? 1 : 0;
    MemoryAccount::ofThread().endReceivingWithoutRoom(this);
    m_body.reset();
    updateReservation();
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (wasIdle && m_becameIdle)
        m_becameIdle(shared_from_this());
}

HttpPool::HttpPool(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
                   const SocketLimits &limits)
    : m_context(context), m_endpoint(endpoint), m_limits(limits)
{
}

std::shared_ptr<HttpClientConnection> HttpPool::take(absl::Time now)
{
    dropOld(now);
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back().connection);
        m_idle.pop_back();
        if (!connection->hasUnexpectedInput())
            return connection;
        connection->cancel();
    }
    auto connection = std::make_shared<HttpClientConnection>(m_context, m_endpoint, m_limits);
    connection->setIdleHandler([pool = weak_from_this()](const auto &it) {
        if (auto self = pool.lock())
            self->keep(it);
    });
    return connection;
}

void HttpPool::keep(const std::shared_ptr<HttpClientConnection> &connection)
{
    if (connection->isReusable()) {
        m_idle.push_back({connection, monotonicNow()});
        // Ends in another call of this.
        if (!HttpClientConnection::canKeepIdle())
            m_idle.front().connection->cancel();
        return;
    }
    std::erase_if(m_idle, [&](const Idle &it) { return it.connection == connection; });
}

void HttpPool::dropOld(absl::Time now)
{
    std::vector<std::shared_ptr<HttpClientConnection>> old;
    for (const auto &it : m_idle) {
        const auto timeout = it.connection->peerIdleTimeout();
        if (timeout && now - it.since > *timeout - idleMargin)
            old.push_back(it.connection);
    }
    for (const auto &it : old)
        it->cancel();
}

void HttpPool::closeIdle()
{
    const auto idle = std::exchange(m_idle, {});
    for (const auto &it : idle)
        it.connection->cancel();
}

namespace detail {

// Collects one answer for callHttp().
class HttpCall final : public HttpAnswerListener, public std::enable_shared_from_this<HttpCall>
{
public:
    HttpCall(boost::asio::io_context &context, std::shared_ptr<HttpClientConnection> connection,
             std::size_t maxBodyBytes, HttpCallHandler handler)
        : m_timer(context), m_connection(std::move(connection)), m_maxBodyBytes(maxBodyBytes),
          m_handler(std::move(handler))
    {
    }

    void start(std::string request, absl::Duration timeout)
    {
        m_timer.expires_after(absl::ToChronoNanoseconds(timeout));
        // The timer owns the call until it has ended.
        m_timer.async_wait([self = shared_from_this()](const auto &ec) {
            if (!ec)
                self->finish(
                    tl::unexpected(self->m_isConnected ? HttpFailure::Timeout : HttpFailure::NotConnected));
        });
        m_connection->send(std::move(request), weak_from_this(), timeout);
    }

    void connected() override { m_isConnected = true; }
    void answerHead(const HttpResponseHead &head) override { m_response.head = head; }
    void answerBody(std::string_view data) override
    {
        m_response.body += data;
        if (m_response.body.size() <= m_maxBodyBytes)
            return;
        LOG_EVERY_T(WARNING, badAnswerLogSeconds)
            << "bad answer: the body exceeds " << m_maxBodyBytes << " bytes";
        finish(tl::unexpected(HttpFailure::BadAnswer));
    }
    void answerEnded(AnswerEnd) override { finish(std::move(m_response)); }
    void answerFailed(HttpFailure failure) override { finish(tl::unexpected(failure)); }

private:
    void finish(HttpCallResult result)
    {
        const auto handler = std::exchange(m_handler, nullptr);
        if (!handler)
            return;
        if (!result)
            m_connection->cancel();
        m_timer.cancel();
        handler(std::move(result));
    }

    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpClientConnection> m_connection;
    std::size_t m_maxBodyBytes;
    bool m_isConnected{false};
    HttpResponse m_response;
    // Null once it has been called.
    HttpCallHandler m_handler;
};

} // namespace detail

void callHttp(boost::asio::io_context &context, const std::shared_ptr<HttpClientConnection> &connection,
              std::string request, absl::Duration timeout, std::size_t maxBodyBytes, HttpCallHandler handler)
{
    std::make_shared<detail::HttpCall>(context, connection, maxBodyBytes, std::move(handler))
        ->start(std::move(request), timeout);
}

} // namespace Wisteria
