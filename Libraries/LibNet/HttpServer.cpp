// Accepting, reading, parsing and writing on the callers' side.

#include <LibNet/HttpServer.h>

#include <LibCore/Views.h>
#include <LibNet/LingeringClose.h>
#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

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
// Emptied buffers of connections that stay open keep up to this.
constexpr std::size_t maxKeptCapacity = 4096;
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

// Estimate of the memory that parsed fields take up.
std::size_t fieldBytes(const HttpFields &fields)
{
    std::size_t total = 0;
    for (const auto &it : fields)
        total += HttpServerConnection::fieldOverheadBytes + it.name_string().size() + it.value().size();
    return total;
}

} // namespace detail

HttpServerConnection::HttpServerConnection(boost::asio::ip::tcp::socket socket, HttpServer &server)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_server(&server),
      m_receivedAt(monotonicNow())
{
    MemoryAccount::ofThread().add(*this);
    updateReservation();
}

HttpServerConnection::~HttpServerConnection()
{
    MemoryAccount::ofThread().remove(*this);
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
    updateWait();
    read();
}

ConnectionUse HttpServerConnection::use() const
{
    return m_keepAlive && m_server && !m_server->m_isClosing ? ConnectionUse::Keep : ConnectionUse::Close;
}

void HttpServerConnection::read()
{
    if (m_isReading || m_isClosed || m_unparsed.size() > maxAheadNow())
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
    m_receivedAt = monotonicNow();
    if (m_isRequestUnfinished) {
        m_droppedBytes += n;
    } else {
        m_unparsed.append(buf.data(), n);
        if (!m_hasOpenRequest)
            parse();
        updateReservation();
        if (m_hasBytes && !m_hasOpenRequest && !m_isClosed)
            claimRoom();
        updateWait();
    }
    read();
}

namespace detail {

// Turns an absolute request target into a path with the host in its field, which targets expect (RFC 9112,
// section 3.2.2).
void useOriginForm(HttpRequest &request)
{
    constexpr std::string_view scheme = "http://";
    const auto target = stdView(request.target());
    if (!absl::StartsWithIgnoreCase(abslView(target), abslView(scheme)))
        return;
    const auto rest = target.substr(scheme.size());
    const auto hostEnd = std::min(rest.find_first_of("/?"), rest.size());
    const std::string host(rest.substr(0, hostEnd));
    auto path = std::string(rest.substr(hostEnd));
    if (!path.starts_with('/'))
        path.insert(0, 1, '/');
    request.target(path);
    request.set(http::field::host, host);
}

// The parser must have understood the transfer coding as it is checked here. A body whose end the two see at
// different places hides a request (RFC 9112, sections 6.3 and 11.2).
template <typename Parser>
bool hasUnknownFraming(const Parser &parser)
{
    const auto &fields = parser.get();
    const bool hasCoding = fields.find(http::field::transfer_encoding) != fields.end();
    return hasCoding != parser.chunked() || hasUnknownTransferCoding(fields);
}

} // namespace detail

void HttpServerConnection::parse()
{
    // Nothing is taken after the answer that closes the connection.
    while (!m_hasOpenRequest && !m_isClosed && m_server && !m_closeAfterWrite && !m_unparsed.empty()) {
        m_isWaitingForReader = mustWaitForReader();
        if (m_isWaitingForReader || !parseRequest())
            break;
        // Complete, and not handed over yet, so that it can still be rejected.
        if (claimRoom())
            handOver();
    }
    if (m_unparsed.empty() && m_unparsed.capacity() > detail::maxKeptCapacity)
        m_unparsed = {};
}

bool HttpServerConnection::parseRequest()
{
    const auto &limits = m_server->m_limits;
    for (;;) {
        if (!m_parser) {
            m_parser.emplace();
            m_framingLimit = {};
            m_fieldBytes = 0;
            m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
            m_parser->body_limit(limits.maxBodyBytes);
            // The head is looked at before anything else of the request.
            m_parser->eager(false);
            m_head.reset();
        }
        if (!m_hasBytes) {
            m_hasBytes = true;
            armTimer(limits.requestTimeout);
        }
        const bool hadHeader = m_parser->is_header_done();
        const auto bodyBytesBefore = m_parser->get().body().size();
        boost::system::error_code ec;
        const auto used = m_parser->put(boost::asio::buffer(m_unparsed), ec);
        m_unparsed.erase(0, used);
        if (ec && ec != http::error::need_more) {
            refuse(detail::statusOfParserError(ec));
            return false;
        }
        if (!hadHeader && m_parser->is_header_done() && !takeHead())
            return false;
        if (hadHeader) {
            const auto bodyBytes = m_parser->get().body().size() - bodyBytesBefore;
            m_framingLimit.add(used - std::min(used, bodyBytes), bodyBytes);
            if (m_framingLimit.isExceeded(ec ? m_unparsed.size() : 0)) {
                refuse(detail::statusBadRequest);
                return false;
            }
        }
        // Trailers add to the fields.
        if (m_parser->is_header_done() && (!hadHeader || m_parser->is_done()))
            m_fieldBytes = detail::fieldBytes(m_parser->get()) + (m_head ? detail::fieldBytes(*m_head) : 0);
        if (!hadHeader && m_parser->is_header_done() && !m_parser->is_done() && m_unparsed.empty()
            && absl::EqualsIgnoreCase(abslView(fieldValue(m_parser->get(), "Expect")), "100-continue"))
            write("HTTP/1.1 100 Continue\r\n\r\n");
        // The write may have closed the connection.
        if (m_isClosed)
            return false;
        if (m_parser->is_done())
            return true;
        if (used == 0 || m_unparsed.empty())
            return false;
    }
}

bool HttpServerConnection::takeHead()
{
    const auto &head = m_parser->get();
    // A second Host would be read differently by targets (RFC 9112, section 3.2).
    if (detail::hasUnknownFraming(*m_parser) || head.count(http::field::host) > 1) {
        refuse(detail::statusBadRequest);
        return false;
    }
    if (m_parser->chunked())
        m_head = head.base();
    m_parser->eager(true);
    return true;
}

void HttpServerConnection::handOver()
{
    auto message = m_parser->release();
    m_parser.reset();
    HttpRequest request;
    if (m_head) {
        request.base() = std::move(*m_head);
        m_fieldBytes = detail::fieldBytes(request.base());
        m_head.reset();
    } else {
        request.base() = std::move(message.base());
    }
    detail::useOriginForm(request);
    request.body() = std::move(message.body());
    m_keepAlive = request.keep_alive();
    m_hasOpenRequest = true;
    m_hasBytes = false;
    m_requestBytes = request.body().capacity() + std::exchange(m_fieldBytes, 0);
    m_deadline = absl::InfiniteFuture();
    m_timer.cancel();
    updateReservation();
    updateWait();
    m_server->m_handler.handleRequest(shared_from_this(), std::move(request));
}

void HttpServerConnection::refuse(int status)
{
    refuse(status, std::nullopt);
}

void HttpServerConnection::refuse(int status, std::optional<absl::Duration> retryAfter)
{
    m_parser.reset();
    m_fieldBytes = 0;
    m_droppedBytes += m_unparsed.size();
    m_unparsed = {};
    m_hasOpenRequest = true;
    m_isRequestUnfinished = true;
    m_keepAlive = false;
    auto response = makeResponse(status, "text/plain", "");
    if (retryAfter)
        response.head.fields.set("Retry-After", absl::StrCat(absl::ToDoubleSeconds(*retryAfter)));
    respond(std::move(response));
}

void HttpServerConnection::respond(HttpResponse response)
{
    if (m_isClosed)
        return;
    const auto connectionUse = use();
    m_closeAfterWrite = m_closeAfterWrite || connectionUse == ConnectionUse::Close;
    // A whole answer is bounded by whoever made it; the limit of write() is for streams.
    if (m_unsent.empty())
        m_unsent = serializeResponse(std::move(response), connectionUse);
    else
        m_unsent += serializeResponse(std::move(response), connectionUse);
    updateReservation();
    flush();
    requestEnded();
}

void HttpServerConnection::openStream(const HttpResponseHead &head)
{
    const auto connectionUse = use();
    m_closeAfterWrite = m_closeAfterWrite || connectionUse == ConnectionUse::Close;
    m_isAnswering = true;
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
    m_isAnswering = false;
    m_requestBytes = 0;
    updateReservation();
    updateWait();
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
        self->updateReservation();
        self->updateWait();
        self->read();
    });
}

void HttpServerConnection::write(std::string_view data)
{
    if (m_isClosed)
        return;
    m_unsent += data;
    updateReservation();
    const bool isStalled = !m_sending.empty() && monotonicNow() - m_lastSentAt > streamStallTimeout;
    const bool isTooMuch = unsentBytes() > (isStalled ? maxUnsentBytes : maxStreamBacklogBytes);
    if (isTooMuch || (unsentBytes() > MemoryAccount::smallBytes && !hasRoomForBacklog())) {
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
    if (m_sending.capacity() > detail::maxKeptCapacity)
        m_sending = {};
    m_sentBytes = 0;
    flush();
    if (m_isWaitingForReader && !m_hasOpenRequest && !m_isClosed && m_server) {
        parse();
        read();
    }
    updateReservation();
    updateWait();
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
                          .unparsedBytes = m_unparsed.size() + m_droppedBytes,
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
    if ((mayStillSend || closure.unreadBytes > 0) && (!m_server || m_server->canLinger())) {
        m_socket.cancel(ignored);
        closeLingering(std::move(m_socket), {}, m_server ? m_server->m_lingeringToken : nullptr);
    } else {
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        m_socket.close(ignored);
    }
    MemoryAccount::ofThread().remove(*this);
    m_parser.reset();
    m_unparsed = {};
    m_unsent = {};
    m_requestBytes = 0;
    updateReservation();
    auto *server = std::exchange(m_server, nullptr);
    if (!server)
        return;
    server->m_connections.erase(this);
    server->waiting(m_wait).erase(m_waitPosition);
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
    // Nothing has been read from the new connection, so its caller may send its request elsewhere.
    if (!claimDescriptor())
        return;
    auto connection = std::make_shared<HttpServerConnection>(std::move(socket), *this);
    m_connections.insert(connection.get());
    auto &waiting = this->waiting(connection->m_wait);
    connection->m_waitPosition = waiting.insert(waiting.end(), connection.get());
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
