// A server on loopback that answers each connection with a fixed beginning and then one piece over and over,
// until the other side closes.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

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

} // namespace Wisteria
