// Accepting, reading, parsing and writing on the callers' side.

#include <LibNet/HttpServer.h>

#include <LibCore/Views.h>
#include <LibNet/LingeringClose.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace Wisteria {

namespace http = boost::beast::http;

namespace detail {

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;
// Retry of accept() when descriptors have run out.
constexpr std::chrono::milliseconds acceptPause{50};

int statusOfParserError(const boost::system::error_code &ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return statusHeaderTooLarge;
    if (ec == http::error::body_limit)
        return statusTooLarge;
    return statusBadRequest;
}

} // namespace detail

HttpServerConnection::HttpServerConnection(boost::asio::ip::tcp::socket socket, HttpServer &server)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_server(&server)
{
}

void HttpServerConnection::start()
{
    applySocketOptions(m_socket, m_server->m_socketLimits);
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    if (ec) {
        LOG(WARNING) << "cannot make a connection non-blocking: " << ec.message();
        close(ClosureReason::AnswerAborted);
        return;
    }
    armTimer(m_server->m_limits.idleTimeout);
    read();
}

ConnectionUse HttpServerConnection::use() const
{
    return m_keepAlive && m_server && !m_server->m_isClosing ? ConnectionUse::Keep : ConnectionUse::Close;
}

void HttpServerConnection::read()
{
    if (m_isReading || m_isClosed || m_unparsed.size() > maxBytesAhead)
        return;
    m_isReading = true;
    // An asynchronous read takes the bytes before its handler runs. If the connection closed between the two,
    // they would be read and lost, and hasUnreadBytes() would not see them.
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const auto &ec) { self->onReadable(ec); });
}

void HttpServerConnection::onReadable(boost::system::error_code ec)
{
    m_isReading = false;
    if (m_isClosed)
        return;
    std::array<char, readBytes> buf;
    const auto n = ec ? 0 : m_socket.read_some(boost::asio::buffer(buf), ec);
    if (ec == boost::asio::error::would_block) {
        read();
        return;
    }
    if (ec) {
        // The caller is gone: a close in the middle of a request, an answer or between them all end here.
        closeAndReport(ClosureReason::PeerClosed);
        return;
    }
    if (!m_server) {
        abort();
        return;
    }
    m_unparsed.append(buf.data(), n);
    if (!m_hasOpenRequest)
        parse();
    read();
}

namespace detail {

// A body whose last transfer coding isn't `chunked` has no end that could be found (RFC 9112, section 6.3).
bool hasUnknownFraming(const HttpFields &fields)
{
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    if (first == last)
        return false;
    const auto codings = std::prev(last)->value();
    const absl::string_view text(codings.data(), codings.size());
    const auto comma = text.rfind(',');
    const auto lastCoding = comma == absl::string_view::npos ? text : text.substr(comma + 1);
    return !absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(lastCoding), "chunked");
}

} // namespace detail

void HttpServerConnection::parse()
{
    const auto &limits = m_server->m_limits;
    // Nothing is taken after the answer that closes the connection.
    while (!m_hasOpenRequest && !m_isClosed && !m_closeAfterWrite && !m_unparsed.empty()) {
        if (!m_parser) {
            m_parser.emplace();
            m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
            m_parser->body_limit(limits.maxBodyBytes);
            m_parser->eager(true);
        }
        if (!m_hasBytes) {
            m_hasBytes = true;
            armTimer(limits.requestTimeout);
        }
        const bool hadHeader = m_parser->is_header_done();
        boost::system::error_code ec;
        const auto used = m_parser->put(boost::asio::buffer(m_unparsed), ec);
        m_unparsed.erase(0, used);
        if (ec && ec != http::error::need_more) {
            refuse(detail::statusOfParserError(ec));
            return;
        }
        if (m_parser->is_header_done() && detail::hasUnknownFraming(m_parser->get())) {
            refuse(detail::statusBadRequest);
            return;
        }
        if (!hadHeader && m_parser->is_header_done() && !m_parser->is_done()
            && absl::EqualsIgnoreCase(abslView(fieldValue(m_parser->get(), "Expect")), "100-continue"))
            write("HTTP/1.1 100 Continue\r\n\r\n");
        if (!m_parser->is_done()) {
            if (used == 0)
                return;
            continue;
        }
        auto request = m_parser->release();
        m_parser.reset();
        m_keepAlive = request.keep_alive();
        m_hasOpenRequest = true;
        m_hasBytes = false;
        m_deadline = absl::InfiniteFuture();
        m_timer.cancel();
        m_server->m_handler.handleRequest(shared_from_this(), std::move(request));
    }
}

void HttpServerConnection::refuse(int status)
{
    m_hasOpenRequest = true;
    m_isRequestUnfinished = true;
    m_keepAlive = false;
    respond(makeResponse(status, "text/plain", ""));
}

void HttpServerConnection::respond(const HttpResponse &response)
{
    if (m_isClosed)
        return;
    const auto connectionUse = use();
    m_closeAfterWrite = m_closeAfterWrite || connectionUse == ConnectionUse::Close;
    // A whole answer is bounded by whoever made it; the limit of write() is for streams.
    m_unsent += serializeResponse(response, connectionUse);
    flush();
    requestEnded();
}

void HttpServerConnection::openStream(const HttpResponseHead &head)
{
    const auto connectionUse = use();
    m_closeAfterWrite = m_closeAfterWrite || connectionUse == ConnectionUse::Close;
    write(serializeChunkedHead(head, connectionUse));
}

void HttpServerConnection::writeStream(std::string_view data)
{
    if (!data.empty())
        write(serializeChunk(data));
}

void HttpServerConnection::endStream()
{
    write(lastChunk);
    requestEnded();
}

void HttpServerConnection::abort()
{
    m_callerLeft = nullptr;
    close(ClosureReason::AnswerAborted);
}

void HttpServerConnection::closeWhenIdle()
{
    if (!hasWorkUnderWay())
        close(ClosureReason::ServerClosing);
}

bool HttpServerConnection::hasWorkUnderWay() const
{
    return m_hasOpenRequest || m_hasBytes || !m_unparsed.empty() || unsentBytes() > 0 || hasUnreadBytes();
}

bool HttpServerConnection::hasUnreadBytes() const
{
    boost::system::error_code ec;
    return m_socket.available(ec) > 0 && !ec;
}

void HttpServerConnection::requestEnded()
{
    m_callerLeft = nullptr;
    m_hasOpenRequest = false;
    if (m_isClosed || !m_server)
        return;
    armIdleTimer();
    if (m_closeAfterWrite)
        return;
    // The handler may be on the stack; what the caller sent ahead is looked at after it.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_isClosed || self->m_hasOpenRequest || !self->m_server)
            return;
        self->parse();
        self->read();
    });
}

void HttpServerConnection::write(std::string_view data)
{
    if (m_isClosed)
        return;
    m_unsent += data;
    const bool isStalled = !m_sending.empty() && monotonicNow() - m_lastSentAt > streamStallTimeout;
    if (unsentBytes() > (isStalled ? maxUnsentBytes : maxStreamBacklogBytes)) {
        LOG_EVERY_N(WARNING, 100) << "a caller does not read its answer";
        closeAndReport(ClosureReason::AnswerUnread);
        return;
    }
    flush();
}

void HttpServerConnection::flush()
{
    if (!m_sending.empty() || m_isClosed)
        return;
    if (m_unsent.empty()) {
        if (m_closeAfterWrite && !m_hasOpenRequest)
            close(ClosureReason::AnswerSent);
        else if (m_server && m_server->m_isClosing)
            closeWhenIdle();
        return;
    }
    m_sending.swap(m_unsent);
    m_sentBytes = 0;
    m_lastSentAt = monotonicNow();
    sendSome();
}

void HttpServerConnection::sendSome()
{
    m_socket.async_write_some(
        boost::asio::buffer(m_sending.data() + m_sentBytes, m_sending.size() - m_sentBytes),
        [self = shared_from_this()](const auto &ec, std::size_t n) { self->onWritten(ec, n); });
}

void HttpServerConnection::onWritten(const boost::system::error_code &ec, std::size_t n)
{
    if (ec) {
        closeAndReport(ClosureReason::WriteFailed);
        return;
    }
    if (m_isClosed)
        return;
    m_sentBytes += n;
    m_lastSentAt = monotonicNow();
    if (!m_hasOpenRequest && !m_hasBytes)
        armIdleTimer();
    if (m_sentBytes < m_sending.size()) {
        sendSome();
        return;
    }
    m_sending.clear();
    m_sentBytes = 0;
    flush();
}

void HttpServerConnection::armIdleTimer()
{
    if (m_server)
        armTimer(unsentBytes() > 0 ? unreadAnswerTimeout : m_server->m_limits.idleTimeout);
}

void HttpServerConnection::armTimer(absl::Duration duration)
{
    m_deadline = monotonicNow() + duration;
    waitForDeadline();
}

void HttpServerConnection::waitForDeadline()
{
    m_timer.expires_after(absl::ToChronoNanoseconds(m_deadline - monotonicNow()));
    m_timer.async_wait([self = shared_from_this()](const auto &ec) {
        if (!ec && monotonicNow() >= self->m_deadline)
            self->onDeadline();
    });
}

void HttpServerConnection::onDeadline()
{
    m_deadline = absl::InfiniteFuture();
    if (m_hasOpenRequest || m_isClosed)
        return;
    if (m_hasBytes)
        refuse(detail::statusRequestTimeout);
    else if (!hasUnreadBytes())
        close(unsentBytes() > 0 ? ClosureReason::AnswerUnread : ClosureReason::IdleTimeout);
}

void HttpServerConnection::closeAndReport(ClosureReason reason)
{
    const auto callerLeft = std::exchange(m_callerLeft, nullptr);
    close(reason);
    if (callerLeft)
        callerLeft();
}

ConnectionClosure HttpServerConnection::closure(ClosureReason reason) const
{
    ConnectionClosure out{.reason = reason,
                          .hasOpenRequest = m_hasOpenRequest,
                          .unparsedBytes = m_unparsed.size(),
                          .unsentBytes = unsentBytes()};
    boost::system::error_code ec;
    const auto peer = m_socket.remote_endpoint(ec);
    if (!ec)
        out.peer = absl::StrCat(peer.address().to_string(), ":", peer.port());
    const auto unread = m_socket.available(ec);
    if (!ec)
        out.unreadBytes = unread;
    return out;
}

void HttpServerConnection::close(ClosureReason reason)
{
    if (std::exchange(m_isClosed, true))
        return;
    const auto closure = this->closure(reason);
    m_timer.cancel();
    const bool mayStillSend = reason == ClosureReason::AnswerSent && m_isRequestUnfinished;
    boost::system::error_code ignored;
    if (mayStillSend || closure.unreadBytes > 0) {
        m_socket.cancel(ignored);
        closeLingering(std::move(m_socket));
    } else {
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        m_socket.close(ignored);
    }
    auto *server = std::exchange(m_server, nullptr);
    if (!server)
        return;
    server->m_connections.erase(this);
    server->m_handler.connectionClosed(closure);
}

HttpServer::HttpServer(boost::asio::io_context &context, HttpRequestHandler &handler,
                       const HttpServerLimits &limits)
    : m_acceptor(context), m_acceptPause(context), m_handler(handler), m_limits(limits)
{
}

ErrorOr<std::unique_ptr<HttpServer>> HttpServer::create(boost::asio::io_context &context,
                                                        const Address &address, HttpRequestHandler &handler,
                                                        const HttpServerLimits &limits)
{
    std::unique_ptr<HttpServer> server(new HttpServer(context, handler, limits));
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.host()),
                                                  static_cast<std::uint16_t>(address.port()));
    boost::system::error_code ec;
    server->m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        server->m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    if (!ec)
        server->m_acceptor.bind(endpoint, ec);
    if (!ec)
        server->m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return makeError(ErrorCode::InvalidSettings,
                         "cannot listen on " + address.host() + ": " + ec.message());
    server->accept();
    return server;
}

HttpServer::~HttpServer()
{
    for (auto *it : m_connections)
        it->m_server = nullptr;
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this, lifetime = std::weak_ptr(m_lifetime)](
                                const boost::system::error_code &ec, boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || lifetime.expired())
            return;
        if (ec) {
            LOG_EVERY_N(WARNING, 100) << "accept: " << ec.message();
            m_acceptPause.expires_after(detail::acceptPause);
            m_acceptPause.async_wait([this, lifetime](const auto &cancelled) {
                if (!cancelled && !lifetime.expired())
                    accept();
            });
            return;
        }
        serve(std::move(socket));
        accept();
    });
}

void HttpServer::serve(boost::asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<HttpServerConnection>(std::move(socket), *this);
    m_connections.insert(connection.get());
    connection->start();
}

void HttpServer::startClosing()
{
    m_isClosing = true;
    const auto connections = m_connections;
    for (auto *it : connections)
        it->closeWhenIdle();
}

bool HttpServer::hasWorkUnderWay() const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto *it) { return it->hasWorkUnderWay(); });
}

void HttpServer::stopListening()
{
    // Closing the acceptor resets the connections that wait in its queue.
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        boost::asio::ip::tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, ec);
        if (!ec)
            serve(std::move(socket));
    }
    if (ec != boost::asio::error::would_block)
        LOG(WARNING) << "accept before the end of listening: " << ec.message();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

} // namespace Wisteria
