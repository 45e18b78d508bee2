// Serves HTTP/1.1 on one address without blocking. One request at a time is open on a connection; what a
// caller sends ahead waits.

#pragma once

#include <LibCore/Address.h>
#include <LibNet/ConnectionClosure.h>
#include <LibNet/FramingLimit.h>
#include <LibNet/HttpMessage.h>
#include <LibNet/MemoryAccount.h>
#include <LibNet/ReceivedBody.h>
#include <LibNet/Socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include <absl/container/flat_hash_set.h>

#include <array>
#include <functional>
#include <limits>
#include <list>
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
    // Called for each connection that is closed, or whose request is rejected, for lack of memory or
    // descriptors.
    virtual void connectionShed(ShedReason) { }
};

class HttpServerConnection final : public std::enable_shared_from_this<HttpServerConnection>,
                                   private MemoryHolder
{
public:
    // A stream of which the caller leaves more than this unread, and of which it takes nothing for the time
    // below, ends with its connection.
    static constexpr std::size_t maxUnsentBytes = std::size_t{512} * 1024;
    // A stream that outruns its caller by this ends at once, since it would use up the memory. While there is
    // no room in the account, MemoryAccount::smallBytes are the limit.
    static constexpr std::size_t maxStreamBacklogBytes = std::size_t{4} << 20U;
    static constexpr absl::Duration streamStallTimeout = absl::Seconds(1);
    // Bytes that a caller may send ahead while its request is open.
    static constexpr std::size_t maxBytesAhead = std::size_t{64} * 1024;

    // A caller that takes no byte of an ended answer for this long loses its connection.
    static constexpr absl::Duration unreadAnswerTimeout = absl::Seconds(10);

    // Retry-After of a request that is rejected for lack of memory or descriptors: from the shorter to the
    // longer one, so that a crowd doesn't return at once. Stalled requests have been shed by then.
    static constexpr absl::Duration minShedRetry = absl::Seconds(1);
    static constexpr absl::Duration maxShedRetry = absl::Seconds(3);
    // In the account for each connection: the object and its socket.
    static constexpr std::size_t connectionBytes = 2048;
    // Overhead of a parsed field in memory.
    static constexpr std::size_t fieldOverheadBytes = 96;

    HttpServerConnection(boost::asio::ip::tcp::socket, HttpServer &);
    ~HttpServerConnection() override;
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    void start();

    // One of: respond(); or openStream(), any number of writeStream(), then endStream().
    void respond(HttpResponse);
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
    using Parser = boost::beast::http::request_parser<ReceivedBody>;

    // What a connection without an open request and without an answer under way waits for.
    enum class Wait { Nothing, NextRequest, RestOfRequest };

    // Taken from the socket at once.
    static constexpr std::size_t readBytes = std::size_t{16} * 1024;

    void read();
    void onReadable(boost::system::error_code);
    void parse();
    // Feeds the parser. Returns false if the connection has nothing to hand over yet.
    bool parseRequest();
    // Checks the head that the parser has just completed. Returns false if the request was refused.
    bool takeHead();
    void handOver();
    void refuse(int status);
    // Rejects a request that was not handed over. It may be sent again after `retryAfter`.
    void refuse(int status, std::optional<absl::Duration> retryAfter);
    [[nodiscard]] MemoryHolding holding(absl::Time now) override;
    void shed(ShedReason) override;
    // Brings the bytes of the connection in the account up to date.
    void updateReservation();
    // Brings the connection's place among those that wait up to date.
    void updateWait();
    // Makes room for what the caller leaves unread of a stream. False if there is none; the connection may
    // have been shed itself.
    [[nodiscard]] bool hasRoomForBacklog();
    // Makes room for what has arrived. Returns false if this connection was shed.
    bool claimRoom();
    // The next request waits until its caller has taken the answers before it, since there is no room for
    // more of them.
    [[nodiscard]] bool mustWaitForReader() const;
    // How much the caller may send ahead.
    [[nodiscard]] std::size_t maxAheadNow() const;
    // When the peer last took bytes of an answer, as far as the kernel shows.
    [[nodiscard]] absl::Time answerTakenAt(absl::Time now);
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
    // Head of the request in `m_parser` if it comes in chunks: the parser adds the trailers to its fields,
    // and a trailer must not pass for a field of the head (RFC 9110, section 6.5.1).
    std::optional<HttpRequest::header_type> m_head;
    // Bytes of a request's chunk sizes, extensions and trailers.
    FramingLimit m_framingLimit;
    std::string m_unparsed;
    // Bytes that arrived after the request was refused, or were dropped with it.
    std::size_t m_droppedBytes{0};
    // Estimate for the fields in `m_parser`.
    std::size_t m_fieldBytes{0};
    // Fields and body of the open request, which its handler keeps.
    std::size_t m_requestBytes{0};
    MemoryReservation m_reservation;
    absl::Time m_receivedAt;
    std::string m_unsent;
    std::string m_sending;
    // How much of `m_sending` the kernel has taken.
    std::size_t m_sentBytes{0};
    // When the kernel last took bytes, or had none left to take.
    absl::Time m_lastSentAt;
    // Bytes that the kernel had not sent or that the peer had not acknowledged, when last looked at.
    int m_queuedBytes{-1};
    absl::Time m_queueChangedAt;
    std::function<void()> m_callerLeft;
    bool m_isReading{false};
    bool m_hasOpenRequest{false};
    // The answer to the open request has begun.
    bool m_isAnswering{false};
    // A request waits for the caller to read.
    bool m_isWaitingForReader{false};
    bool m_hasBytes{false};
    // The request was refused before its end, so the caller may still be sending it.
    bool m_isRequestUnfinished{false};
    bool m_keepAlive{true};
    bool m_closeAfterWrite{false};
    bool m_isClosed{false};
    Wait m_wait{Wait::Nothing};
    // In the server's list for `m_wait`. Valid while there is a server.
    std::list<HttpServerConnection *>::iterator m_waitPosition;

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
    // When there are more connections, the one that has been idle longest is closed, or the request that has
    // not grown for longest is rejected. If all have open requests, the new one is closed.
    void setMaxConnections(std::size_t n) { m_maxConnections = n; }
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
    // Returns false if there is no descriptor for another connection.
    bool claimDescriptor();
    // Sockets whose connection has closed and that still read.
    [[nodiscard]] std::size_t lingeringCount() const
    {
        return static_cast<std::size_t>(m_lingeringToken.use_count()) - 1;
    }
    // At most a part of the descriptors is spent on callers that still send.
    [[nodiscard]] bool canLinger() const { return lingeringCount() < m_maxConnections / 4; }
    [[nodiscard]] std::list<HttpServerConnection *> &waiting(HttpServerConnection::Wait wait)
    {
        return m_waiting[static_cast<std::size_t>(wait)];
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    // Waits out a lack of descriptors.
    boost::asio::steady_timer m_acceptPause;
    HttpRequestHandler &m_handler;
    HttpServerLimits m_limits;
    // A caller that stops reading for a while leaves bytes unacknowledged, too.
    SocketLimits m_socketLimits{.unacknowledged = HttpServerConnection::unreadAnswerTimeout};
    bool m_isClosing{false};
    absl::flat_hash_set<HttpServerConnection *> m_connections;
    std::size_t m_maxConnections{std::numeric_limits<std::size_t>::max()};
    // By what they wait for; each list begins with the one that has waited longest.
    std::array<std::list<HttpServerConnection *>, 3> m_waiting;
    // Copies are held by lingering sockets.
    std::shared_ptr<void> m_lingeringToken{std::make_shared<bool>(true)};
    // Expires with the server. An accepted connection may be reported after that.
    std::shared_ptr<bool> m_lifetime{std::make_shared<bool>(true)};

    friend class HttpServerConnection;
};

} // namespace Wisteria
