// A server on loopback that answers each connection with fixed bytes and then ends it: by a close, by a
// reset, or together with its process.

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>

#include <array>
#include <memory>
#include <string>

namespace Wisteria {

enum class FakeEnding {
    Close,
    Reset,
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
    // Connections on which a request has come.
    [[nodiscard]] int requestCount() const { return m_requestCount; }

private:
    struct Connection
    {
        boost::asio::ip::tcp::socket socket;
        std::array<char, 16384> buf;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const auto &ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            auto connection = std::make_shared<Connection>(Connection{std::move(socket), {}});
            connection->socket.async_read_some(boost::asio::buffer(connection->buf),
                                               [this, connection](const auto &failed, std::size_t) {
                                                   if (!failed)
                                                       answer(connection);
                                               });
            accept();
        });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        ++m_requestCount;
        boost::asio::async_write(connection->socket, boost::asio::buffer(m_answer),
                                 [this, connection](const auto &, std::size_t) { end(*connection); });
    }

    void end(Connection &connection)
    {
        boost::system::error_code ignored;
        if (m_ending == FakeEnding::CloseWithProcess)
            m_acceptor.close(ignored);
        if (m_ending == FakeEnding::Reset)
            connection.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        connection.socket.close(ignored);
    }

    std::string m_answer;
    FakeEnding m_ending;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address{absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port())};
    int m_requestCount{0};
};

} // namespace Wisteria
