// Serves HTTP/1.1 on one address without blocking. One request at a time is open on a connection; what a
// caller sends ahead waits.

#pragma once

#include <LibCore/Address.h>
#include <LibNet/ConnectionClosure.h>
#include <LibNet/HttpMessage.h>
#include <LibNet/Socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include <absl/container/flat_hash_set.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Wisteria {

class HttpServerConnection;
class HttpServer;

// Bounds on what a caller may send and how long it may take.
struct HttpServerLimits
{
    std::size_t maxHeaderBytes{16384};
    std::size_t maxBodyBytes{std::size_t{4} << 20U};
    // From the first byte of a request to its end.
    absl::Duration requestTimeout{absl::Seconds(3)};
    // Between two requests, counted from the time at which the kernel has taken the whole answer.
    absl::Duration idleTimeout{absl::Seconds(15)};
};

class HttpRequestHandler
{
public:
    virtual ~HttpRequestHandler() = default;
    // The handler answers through the connection, now or later.
    virtual void handleRequest(const std::shared_ptr<HttpServerConnection> &, HttpRequest) = 0;
    // Called once for each connection, after it has closed.
    virtual void connectionClosed(const ConnectionClosure &) { }
};

class HttpServerConnection final : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    // A stream of which the caller leaves more than this unread, and of which it takes nothing for the time
    // below, ends with its connection.
    static constexpr std::size_t maxUnsentBytes = std::size_t{512} * 1024;
    // A stream that outruns its caller by this ends at once, since it would use up the memory.
    static constexpr std::size_t maxStreamBacklogBytes = std::size_t{4} << 20U;
    static constexpr absl::Duration streamStallTimeout = absl::Seconds(1);
    // Bytes that a caller may send ahead while its request is open.
    static constexpr std::size_t maxBytesAhead = std::size_t{64} * 1024;

    // A caller that takes no byte of an ended answer for this long loses its connection.
    static constexpr absl::Duration unreadAnswerTimeout = absl::Seconds(10);

    HttpServerConnection(boost::asio::ip::tcp::socket, HttpServer &);

    void start();

    // One of: respond(); or openStream(), any number of writeStream(), then endStream().
    void respond(const HttpResponse &);
    void openStream(const HttpResponseHead &);
    void writeStream(std::string_view data);
    void endStream();
    // Closes without completing the answer.
    void abort();

    // Called once when the caller closes the connection while its request is open.
    void setCallerLeftHandler(std::function<void()> handler) { m_callerLeft = std::move(handler); }
    [[nodiscard]] bool hasOpenRequest() const { return m_hasOpenRequest; }
    // Bytes of answers that the kernel has not taken yet.
    [[nodiscard]] std::size_t unsentBytes() const { return m_unsent.size() + m_sending.size() - m_sentBytes; }
    // A request is open, has arrived in part, or its answer is being sent.
    [[nodiscard]] bool hasWorkUnderWay() const;
    // Closes a connection without an open request; others close after their answer.
    void closeWhenIdle();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // Taken from the socket at once.
    static constexpr std::size_t readBytes = std::size_t{16} * 1024;

    void read();
    void onReadable(boost::system::error_code);
    void parse();
    void refuse(int status);
    void requestEnded();
    void write(std::string_view data);
    void flush();
    void sendSome();
    void onWritten(const boost::system::error_code &, std::size_t n);
    [[nodiscard]] bool hasUnreadBytes() const;
    void armIdleTimer();
    void armTimer(absl::Duration);
    void waitForDeadline();
    void onDeadline();
    void close(ClosureReason);
    // Closes the connection, then reports to the request's handler that the caller left.
    void closeAndReport(ClosureReason);
    [[nodiscard]] ConnectionClosure closure(ClosureReason) const;
    [[nodiscard]] ConnectionUse use() const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    // When the timer that was armed last expires; infinite while none is armed. The handler of an earlier
    // wait may still run, since a wait that has expired can't be cancelled.
    absl::Time m_deadline{absl::InfiniteFuture()};
    // Null once the server is gone.
    HttpServer *m_server;
    std::optional<Parser> m_parser;
    std::string m_unparsed;
    std::string m_unsent;
    std::string m_sending;
    // How much of `m_sending` the kernel has taken.
    std::size_t m_sentBytes{0};
    // When the kernel last took bytes, or had none left to take.
    absl::Time m_lastSentAt;
    std::function<void()> m_callerLeft;
    bool m_isReading{false};
    bool m_hasOpenRequest{false};
    bool m_hasBytes{false};
    // The request was refused before its end, so the caller may still be sending it.
    bool m_isRequestUnfinished{false};
    bool m_keepAlive{true};
    bool m_closeAfterWrite{false};
    bool m_isClosed{false};

    friend class HttpServer;
};

class HttpServer
{
public:
    // Errors: InvalidSettings when the address cannot be listened on.
    [[nodiscard]] static ErrorOr<std::unique_ptr<HttpServer>>
    create(boost::asio::io_context &, const Address &, HttpRequestHandler &, const HttpServerLimits &);
    ~HttpServer();

    void setLimits(const HttpServerLimits &limits) { m_limits = limits; }
    // Answers say that the connection closes, and idle connections close. New connections are still taken.
    void startClosing();
    // Takes the connections that wait to be accepted, then no more.
    void stopListening();
    // A connection has an open request, part of one, or bytes of an answer that the kernel has not taken.
    [[nodiscard]] bool hasWorkUnderWay() const;
    [[nodiscard]] std::size_t connectionCount() const { return m_connections.size(); }

private:
    HttpServer(boost::asio::io_context &, HttpRequestHandler &, const HttpServerLimits &);

    void accept();
    void serve(boost::asio::ip::tcp::socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    // Waits out a lack of descriptors.
    boost::asio::steady_timer m_acceptPause;
    HttpRequestHandler &m_handler;
    HttpServerLimits m_limits;
    // A caller that stops reading for a while leaves bytes unacknowledged, too.
    SocketLimits m_socketLimits{.unacknowledged = HttpServerConnection::unreadAnswerTimeout};
    bool m_isClosing{false};
    absl::flat_hash_set<HttpServerConnection *> m_connections;
    // Expires with the server. An accepted connection may be reported after that.
    std::shared_ptr<bool> m_lifetime{std::make_shared<bool>(true)};

    friend class HttpServerConnection;
};

} // namespace Wisteria
