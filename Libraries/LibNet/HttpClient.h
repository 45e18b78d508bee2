// Non-blocking HTTP/1.1 towards targets, the platform and other routers: one connection, and a pool of kept
// ones for each address.

#pragma once

#include <LibCore/Address.h>
#include <LibCore/Error.h>
#include <LibNet/FramingLimit.h>
#include <LibNet/HttpMessage.h>
#include <LibNet/MemoryAccount.h>
#include <LibNet/ReceivedBody.h>
#include <LibNet/Socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include <absl/time/time.h>

#include <array>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

enum class HttpFailure {
    // The connection could not be made; no byte was sent.
    NotConnected,
    // Nothing listens at the address; no byte was sent.
    Refused,
    // Closed or reset after the request may have been read.
    ConnectionLost,
    // The bytes that came are no answer, or more of them than any answer has.
    BadAnswer,
    // Nothing complete came in time, though the connection was made; only for calls with a timeout.
    Timeout,
};

[[nodiscard]] std::string_view httpFailureName(HttpFailure);

// What shows that an answer is complete.
enum class AnswerEnd {
    // Its length or its last chunk.
    Framed,
    // The close of its connection, which the end of the peer's process looks like, too (RFC 9112,
    // section 6.3).
    ConnectionClosed,
};

// Takes an answer as it arrives. The connection calls none of these after answerEnded(), answerFailed() or
// HttpClientConnection::cancel().
class HttpAnswerListener
{
public:
    virtual ~HttpAnswerListener() = default;
    // The request is about to be written to an open connection.
    virtual void connected() { }
    virtual void answerHead(const HttpResponseHead &) = 0;
    virtual void answerBody(std::string_view data) = 0;
    virtual void answerEnded(AnswerEnd) = 0;
    virtual void answerFailed(HttpFailure) = 0;
    // A large answer is read later if the memory account has no room for it. For answers that nobody uses
    // before their end.
    [[nodiscard]] virtual bool canWaitForRoom() const { return false; }
};

// One connection. It carries one request at a time, and closes itself when anything is unclear.
class HttpClientConnection final : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    // Bytes of one read.
    static constexpr std::size_t readBufferBytes = 16384;

    // How often an answer that waits for room in the memory account looks for it.
    static constexpr std::chrono::milliseconds roomInterval{10};

    HttpClientConnection(boost::asio::io_context &, const boost::asio::ip::tcp::endpoint &,
                         const SocketLimits &);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    // Connects when needed, sends the bytes of one request and reports its answer. `body` follows `bytes` and
    // is not copied; null for none.
    void send(std::string bytes, std::weak_ptr<HttpAnswerListener>, absl::Duration connectTimeout,
              std::shared_ptr<const std::string> body = nullptr);
    // Ends the running request by closing the connection.
    void cancel();
    // Ends the running request from within a call of its listener. The connection is kept if the answer ends
    // within the bytes that have been read, and closed otherwise.
    void discardRest();

    // The connection can take another request.
    [[nodiscard]] bool isReusable() const { return m_state == State::Idle; }
    // After an answer that ended with its connection: the peer has reset the connection since, so that the
    // end of the answer may be missing. A reset that follows the end of the peer's sending side is seen late.
    [[nodiscard]] bool hasBeenReset();
    // An answer to an earlier request has ended on this connection.
    [[nodiscard]] bool hasAnsweredBefore() const { return m_hasAnsweredBefore; }
    // The peer has closed the idle connection, or has sent bytes that belong to no request. The event loop
    // may not have handled that yet.
    [[nodiscard]] bool hasUnexpectedInput() const;
    // Called when an idle connection closes, or when the answer is complete and the connection is idle again.
    void setIdleHandler(std::function<void(const std::shared_ptr<HttpClientConnection> &)> handler)
    {
        m_becameIdle = std::move(handler);
    }
    // Connections with a socket, of this thread.
    [[nodiscard]] static std::size_t openCount() { return openConnections; }
    // An idle connection is closed rather than kept while more than so many are open.
    static void setMaxKept(std::size_t n) { maxKeptConnections = n; }
    [[nodiscard]] static bool canKeepIdle() { return openConnections <= maxKeptConnections; }
    // How long the peer keeps the idle connection open; unset when it did not say.
    [[nodiscard]] std::optional<absl::Duration> peerIdleTimeout() const { return m_peerIdleTimeout; }

private:
    // PeerEnded: an answer has ended with its connection. The socket is kept for hasBeenReset().
    enum class State { Unconnected, Connecting, Waiting, Idle, PeerEnded, Closed };
    using Parser = boost::beast::http::response_parser<ReceivedBody>;

    void resetParser();
    void connect(absl::Duration timeout);
    void startWriting();
    void read();
    // The answer needs more memory than there is room for, and may wait.
    [[nodiscard]] bool mustWaitForRoom() const;
    void updateReservation();
    void onRead(const boost::system::error_code &, std::size_t n);
    // False when the connection was closed on the way.
    bool feed(std::string_view data);
    // False when the head was an interim one or a bad one.
    bool takeHead();
    void takeBody();
    void endAnswer(AnswerEnd);
    // The peer sends no more on the connection.
    void onEndOfInput();
    void fail(HttpFailure);
    // Fails because of the bytes that came.
    void failBadAnswer(std::string_view reason);
    void close();
    std::shared_ptr<HttpAnswerListener> takeListener();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::tcp::endpoint m_endpoint;
    SocketLimits m_limits;
    State m_state{State::Unconnected};
    std::weak_ptr<HttpAnswerListener> m_listener;
    std::string m_sending;
    // Follows `m_sending`; null once it is being written.
    std::shared_ptr<const std::string> m_body;
    bool m_isWriting{false};
    // A write failed: the connection was reset or timed out.
    bool m_hasConnectionFailed{false};
    // The answer has ended with its connection while the request was being written.
    bool m_endsAfterWrite{false};
    bool m_headTaken{false};
    bool m_hasAnsweredBefore{false};
    bool m_discardsRest{false};
    bool m_hasSocket{false};
    std::optional<Parser> m_parser;
    FramingLimit m_framingLimit;
    // Of the body of the current answer.
    std::size_t m_bodyBytes{0};
    MemoryReservation m_reservation;
    // Bytes that the parser needs to see again with more.
    std::string m_unparsed;
    std::array<char, readBufferBytes> m_buf;
    std::optional<absl::Duration> m_peerIdleTimeout;
    std::function<void(const std::shared_ptr<HttpClientConnection> &)> m_becameIdle;

    // Of the event loop's thread.
    inline static thread_local std::size_t openConnections{0};
    inline static thread_local std::size_t maxKeptConnections{std::numeric_limits<std::size_t>::max()};
};

// Kept connections to one address.
class HttpPool final : public std::enable_shared_from_this<HttpPool>
{
public:
    // An idle connection is not used again in the last part of the time for which the peer keeps it. Source:
    // the longest one-way delay of the users' sheets, many times over.
    static constexpr absl::Duration idleMargin = absl::Milliseconds(700);

    HttpPool(boost::asio::io_context &, const boost::asio::ip::tcp::endpoint &, const SocketLimits &);

    // The most recently used idle connection, or a new one.
    [[nodiscard]] std::shared_ptr<HttpClientConnection> take(absl::Time now);
    // Closes idle connections that the peer is about to close.
    void dropOld(absl::Time now);
    void closeIdle();

private:
    struct Idle
    {
        std::shared_ptr<HttpClientConnection> connection;
        absl::Time since;
    };

    void keep(const std::shared_ptr<HttpClientConnection> &);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    SocketLimits m_limits;
    // Invariant: ordered by `since`.
    std::vector<Idle> m_idle;
};

// A whole answer of a call with a timeout.
using HttpCallResult = tl::expected<HttpResponse, HttpFailure>;
using HttpCallHandler = std::function<void(HttpCallResult)>;

// Sends a request and collects its answer up to `maxBodyBytes`.
void callHttp(boost::asio::io_context &, const std::shared_ptr<HttpClientConnection> &, std::string request,
              absl::Duration timeout, std::size_t maxBodyBytes, HttpCallHandler);

// Errors: InvalidSettings.
[[nodiscard]] ErrorOr<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace Wisteria
