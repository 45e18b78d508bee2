// A server on loopback that answers each connection with a fixed beginning and then one piece over and over,
// until the other side closes.

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <absl/strings/str_cat.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Wisteria {

// What the peer sends.
struct EndlessAnswer
{
    std::string start;
    // Returns the n-th piece after the beginning.
    std::function<std::string(std::uint64_t n)> piece;
    // Pause between two pieces. Without one the peer writes as fast as the connection takes it.
    std::chrono::milliseconds interval{0};
};

inline constexpr std::chrono::milliseconds floodInterval{0};
inline constexpr std::chrono::milliseconds dripInterval{100};

inline std::function<std::string(std::uint64_t)> repeatedPiece(const std::string &text)
{
    return [text](std::uint64_t) { return text; };
}

// Answers without end in their status line, fields, interim answers, chunk sizes, chunk extensions, trailers
// and bodies. `head` is a status line with fields, without the empty line.
inline std::vector<EndlessAnswer> endlessAnswers(const std::string &head, std::chrono::milliseconds interval)
{
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"HTTP/1.1 200 ", repeatedPiece("OK"), interval},
            {head, repeatedPiece("X-A: 1\r\n"), interval},
            {head + "X-A: ", repeatedPiece("a"), interval},
            {"", repeatedPiece("HTTP/1.1 102 Processing\r\n\r\n"), interval},
            {chunked, repeatedPiece("0"), interval},
            {chunked + "1;a=", repeatedPiece("b"), interval},
            {chunked + "0\r\n", repeatedPiece("X-A: 1\r\n"), interval},
            {chunked, repeatedPiece("4\r\nabcd\r\n"), interval},
            {head + "\r\n", repeatedPiece("abcd"), interval}};
}

class FakeEndlessPeer
{
public:
    FakeEndlessPeer(boost::asio::io_context &, EndlessAnswer);
    ~FakeEndlessPeer();

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    [[nodiscard]] std::string address() const;
    [[nodiscard]] int connectionCount() const { return m_connectionCount; }
    [[nodiscard]] int openConnectionCount() const { return m_openConnectionCount; }
    // Bytes that the kernel has taken, on all connections.
    [[nodiscard]] std::size_t sentBytes() const { return m_sentBytes; }

private:
    class Connection;

    void accept();

    boost::asio::io_context &m_context;
    EndlessAnswer m_answer;
    boost::asio::ip::tcp::acceptor m_acceptor;
    int m_connectionCount{0};
    int m_openConnectionCount{0};
    std::size_t m_sentBytes{0};
    // Expires with the peer.
    std::shared_ptr<int> m_lifetime{std::make_shared<int>()};
};

class FakeEndlessPeer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(FakeEndlessPeer &peer, boost::asio::ip::tcp::socket socket)
        : m_peer(peer), m_lifetime(peer.m_lifetime), m_socket(std::move(socket)),
          m_timer(m_socket.get_executor())
    {
    }

    void start()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buf),
                                 [self = shared_from_this()](const auto &ec, std::size_t) {
                                     if (self->m_lifetime.expired())
                                         return;
                                     if (ec)
                                         return self->end();
                                     self->readOn();
                                     self->write(self->m_peer.m_answer.start);
                                 });
    }

private:
    // Notices the end of the connection.
    void readOn()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buf),
                                 [self = shared_from_this()](const auto &ec, std::size_t) {
                                     if (self->m_lifetime.expired())
                                         return;
                                     if (ec)
                                         return self->end();
                                     self->readOn();
                                 });
    }

    void write(std::string bytes)
    {
        m_sending = std::move(bytes);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_sending),
                                 [self = shared_from_this()](const auto &ec, std::size_t n) {
                                     if (self->m_lifetime.expired())
                                         return;
                                     self->m_peer.m_sentBytes += n;
                                     if (ec)
                                         return self->end();
                                     self->writePiece();
                                 });
    }

    void writePiece()
    {
        if (m_peer.m_answer.interval.count() == 0) {
            // Many pieces at once, as fast as the connection takes them.
            constexpr std::size_t writeBytes = std::size_t{64} * 1024;
            std::string bytes;
            while (bytes.size() < writeBytes)
                bytes += m_peer.m_answer.piece(m_pieces++);
            write(std::move(bytes));
            return;
        }
        m_timer.expires_after(m_peer.m_answer.interval);
        m_timer.async_wait([self = shared_from_this()](const auto &ec) {
            if (!ec && !self->m_lifetime.expired() && !self->m_hasEnded)
                self->write(self->m_peer.m_answer.piece(self->m_pieces++));
        });
    }

    void end()
    {
        if (std::exchange(m_hasEnded, true))
            return;
        --m_peer.m_openConnectionCount;
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    FakeEndlessPeer &m_peer;
    std::weak_ptr<int> m_lifetime;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<char, 4096> m_buf{};
    std::string m_sending;
    std::uint64_t m_pieces{0};
    bool m_hasEnded{false};
};

inline FakeEndlessPeer::FakeEndlessPeer(boost::asio::io_context &context, EndlessAnswer answer)
    : m_context(context), m_answer(std::move(answer)),
      m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
{
    accept();
}

inline FakeEndlessPeer::~FakeEndlessPeer() = default;

inline std::string FakeEndlessPeer::address() const
{
    return absl::StrCat("127.0.0.1:", endpoint().port());
}

inline void FakeEndlessPeer::accept()
{
    m_acceptor.async_accept([this, lifetime = std::weak_ptr<int>(m_lifetime)](const auto &ec, auto socket) {
        if (ec || lifetime.expired())
            return;
        ++m_connectionCount;
        ++m_openConnectionCount;
        std::make_shared<Connection>(*this, std::move(socket))->start();
        accept();
    });
}

} // namespace Wisteria
