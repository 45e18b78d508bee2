// A server on loopback that answers each connection with fixed bytes and then ends it: by a close, by a
// reset, by the end of its sending side, or together with its process.

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace Wisteria {

enum class FakeEnding {
    Close,
    Reset,
    // The peer sends no more, reads on, and closes when the other side does.
    HalfClose,
    // The peer sends no more and closes at once. What it has not read makes its machine reset the connection.
    HalfCloseThenClose,
    // Nothing listens any more when the connection is closed.
    CloseWithProcess,
};

class FakeClosingPeer
{
public:
    FakeClosingPeer(boost::asio::io_context &context, std::string answer, FakeEnding ending)
        : m_answer(std::move(answer)), m_ending(ending),
          m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    [[nodiscard]] std::string address() const { return m_address; }
    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    // For the connections from now on.
    void setAnswer(std::string answer, FakeEnding ending)
    {
        m_answer = std::move(answer);
        m_ending = ending;
    }
    // Time between the answer and its end.
    void setPause(std::chrono::milliseconds pause) { m_pause = pause; }
    // Sent on each connection for its first request, and the answer for its second one.
    void setAnswerBefore(std::string answer) { m_answerBefore = std::move(answer); }
    // Requests that begin with this text are counted apart: they don't ask for the answer. They get it all
    // the same if no other one is set for them.
    void setControlRequest(std::string begin, std::string answer = "")
    {
        m_controlRequest = std::move(begin);
        m_controlAnswer = std::move(answer);
    }
    // Requests that have come, but for control requests.
    [[nodiscard]] int requestCount() const { return m_requestCount; }
    [[nodiscard]] int controlRequestCount() const { return m_controlRequestCount; }

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket it)
            : socket(std::move(it)), timer(socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 16384> buf{};
        // Bytes of the latest read.
        std::size_t received{0};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            auto connection = std::make_shared<Connection>(std::move(socket));
            const auto isFirst = !m_answerBefore.empty();
            read(connection, [this, connection, isFirst] {
                if (isFirst)
                    answerAndKeep(connection);
                else
                    answer(connection);
            });
            accept();
        });
    }

    template <typename Next>
    static void read(const std::shared_ptr<Connection> &connection, Next next)
    {
        connection->socket.async_read_some(boost::asio::buffer(connection->buf),
                                           [connection, next](const auto &ec, std::size_t n) {
                                               connection->received = n;
                                               if (!ec)
                                                   next();
                                           });
    }

    // Returns whether this is a control request.
    bool count(const Connection &connection)
    {
        const std::string_view request(connection.buf.data(), connection.received);
        const bool isControl = !m_controlRequest.empty() && request.starts_with(m_controlRequest);
        ++(isControl ? m_controlRequestCount : m_requestCount);
        return isControl;
    }

    void answerAndKeep(const std::shared_ptr<Connection> &connection)
    {
        count(*connection);
        boost::asio::async_write(connection->socket, boost::asio::buffer(m_answerBefore),
                                 [this, connection](const auto &ec, std::size_t) {
                                     if (!ec)
                                         read(connection, [this, connection] { answer(connection); });
                                 });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        const bool isControl = count(*connection);
        const auto &answer = isControl && !m_controlAnswer.empty() ? m_controlAnswer : m_answer;
        boost::asio::async_write(connection->socket, boost::asio::buffer(answer),
                                 [this, connection](const auto &, std::size_t) { endLater(connection); });
    }

    static void readToEnd(const std::shared_ptr<Connection> &connection)
    {
        read(connection, [connection] { readToEnd(connection); });
    }

    void endLater(const std::shared_ptr<Connection> &connection)
    {
        if (m_pause.count() == 0) {
            end(connection);
            return;
        }
        connection->timer.expires_after(m_pause);
        connection->timer.async_wait([this, connection](const auto &) { end(connection); });
    }

    void end(const std::shared_ptr<Connection> &connection)
    {
        auto &socket = connection->socket;
        boost::system::error_code ignored;
        if (m_ending == FakeEnding::HalfClose) {
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
            readToEnd(connection);
            return;
        }
        if (m_ending == FakeEnding::HalfCloseThenClose)
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        if (m_ending == FakeEnding::CloseWithProcess)
            m_acceptor.close(ignored);
        if (m_ending == FakeEnding::Reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    std::string m_answer;
    std::string m_answerBefore;
    std::chrono::milliseconds m_pause{0};
    FakeEnding m_ending;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address{absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port())};
    std::string m_controlRequest;
    std::string m_controlAnswer;
    int m_requestCount{0};
    int m_controlRequestCount{0};
};

} // namespace Wisteria
