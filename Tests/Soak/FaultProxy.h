// A TCP proxy on loopback that delays, resets, silences, freezes or cuts the connections through it, or
// answers without end.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

enum class LinkFault {
    None,
    // Bytes of both directions are held back until the fault ends.
    Cut,
    // Bytes towards the server are held back; answers still pass.
    CutToServer,
    // Each read waits before it is passed on.
    Delayed,
    // As `Cut`, and connections are not accepted: the peer is frozen. All goes on when the fault ends.
    Frozen,
    // Each request is answered with a head that has no end, until the caller closes.
    EndlessHead,
    // The same with a body.
    EndlessBody,
};

class FaultProxy
{
public:
    // The kernel holds one more than the length of the queue.
    static constexpr int shortQueue = 0;
    static constexpr int fillers = 2;
    static constexpr std::size_t endlessChunkBytes = 16384;
    // Of a delayed link, a read. Source: above the links of the users' sheets, below the routers' limits.
    static constexpr std::chrono::milliseconds delay{60};

    FaultProxy(boost::asio::io_context &, const std::string &listenAddress, const std::string &serverAddress);
    // NOLINTNEXTLINE(bugprone-exception-escape): sockets are closed with error codes.
    ~FaultProxy();

    void setFault(LinkFault);
    // Called with the bytes towards the server as they are passed on.
    void setObserver(std::function<void(std::string_view)> observer) { m_observer = std::move(observer); }
    // Resets the open connections.
    void resetAll();
    // The open connections carry nothing more and are never closed; new ones work.
    void silenceAll();

private:
    struct Pair;
    // One direction of a connection.
    struct Pipe
    {
        boost::asio::ip::tcp::socket *from;
        boost::asio::ip::tcp::socket *to;
        bool isToServer;
        bool isHeld{false};
        std::array<char, 16384> buf;
    };

    void accept();
    // Fills the queue of connections that wait to be accepted, so that further ones get no answer.
    void stopAccepting();
    [[nodiscard]] bool isEndless() const;
    // Answers instead of the server.
    void beginEndless(const std::shared_ptr<Pair> &);
    void writeEndless(const std::shared_ptr<Pair> &, const std::shared_ptr<const std::string> &);
    void read(const std::shared_ptr<Pair> &, Pipe &);
    void pass(const std::shared_ptr<Pair> &, Pipe &, std::size_t n);
    [[nodiscard]] bool holdsBack(const Pipe &) const;
    void close(const std::shared_ptr<Pair> &);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_server;
    LinkFault m_fault{LinkFault::None};
    std::set<std::shared_ptr<Pair>> m_pairs;
    std::function<void(std::string_view)> m_observer;
    // Connections of this proxy to itself while it accepts none.
    std::vector<boost::asio::ip::tcp::socket> m_fillers;
};

} // namespace Wisteria
