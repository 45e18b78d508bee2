// Accepting, copying and holding back bytes.

#include "FaultProxy.h"

#include <LibCore/Verify.h>
#include <LibNet/HttpClient.h>

#include <boost/asio/write.hpp>

namespace Wisteria {

using Socket = boost::asio::ip::tcp::socket;

struct FaultProxy::Pair
{
    explicit Pair(boost::asio::io_context &context)
        : caller(context), server(context), upTimer(context),
          downTimer(context), up{.from = &caller, .to = &server, .isToServer = true, .buf = {}},
          down{.from = &server, .to = &caller, .isToServer = false, .buf = {}}
    {
    }

    Socket caller;
    Socket server;
    boost::asio::steady_timer upTimer;
    boost::asio::steady_timer downTimer;
    Pipe up;
    Pipe down;
    bool isSilent{false};
    // The proxy answers instead of the server.
    bool isAnswered{false};
};

FaultProxy::FaultProxy(boost::asio::io_context &context, const std::string &listenAddress,
                       const std::string &serverAddress)
    : m_context(context), m_acceptor(context, *parseEndpoint(listenAddress)),
      m_server(*parseEndpoint(serverAddress))
{
    accept();
}

// NOLINTNEXTLINE(bugprone-exception-escape): sockets are closed with error codes.
FaultProxy::~FaultProxy()
{
    resetAll();
}

void FaultProxy::setFault(LinkFault fault)
{
    const bool wasFrozen = std::exchange(m_fault, fault) == LinkFault::Frozen;
    if (fault == LinkFault::Frozen && !wasFrozen)
        stopAccepting();
    if (wasFrozen && fault != LinkFault::Frozen) {
        m_fillers.clear();
        boost::system::error_code ec;
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
        VERIFY(!ec);
        accept();
    }
    for (const auto &pair : m_pairs) {
        for (auto *pipe : {&pair->up, &pair->down}) {
            if (pipe->isHeld && !holdsBack(*pipe) && !pair->isSilent) {
                pipe->isHeld = false;
                read(pair, *pipe);
            }
        }
    }
}

void FaultProxy::resetAll()
{
    const auto pairs = m_pairs;
    for (const auto &it : pairs)
        close(it);
}

void FaultProxy::silenceAll()
{
    for (const auto &it : m_pairs)
        it->isSilent = true;
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](const auto &ec, Socket socket) {
        if (ec)
            return;
        auto pair = std::make_shared<Pair>(m_context);
        pair->caller = std::move(socket);
        m_pairs.insert(pair);
        pair->server.async_connect(m_server, [this, pair](const auto &failed) {
            if (failed) {
                close(pair);
                return;
            }
            read(pair, pair->up);
            read(pair, pair->down);
        });
        accept();
    });
}

void FaultProxy::stopAccepting()
{
    boost::system::error_code ec;
    m_acceptor.cancel(ec);
    VERIFY(!ec);
    m_acceptor.listen(shortQueue, ec);
    VERIFY(!ec);
    for (int n = 0; n < fillers; ++n) {
        auto &filler = m_fillers.emplace_back(m_context);
        // Fails when the fault ends first.
        filler.async_connect(m_acceptor.local_endpoint(), [](const auto &) {});
    }
}

bool FaultProxy::isEndless() const
{
    return m_fault == LinkFault::EndlessHead || m_fault == LinkFault::EndlessBody;
}

void FaultProxy::beginEndless(const std::shared_ptr<Pair> &pair)
{
    pair->isAnswered = true;
    const bool isHead = m_fault == LinkFault::EndlessHead;
    auto head = std::make_shared<const std::string>(
        isHead ? "HTTP/1.1 200 OK\r\nX-Padding: " : "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n");
    boost::asio::async_write(
        pair->caller, boost::asio::buffer(*head), [this, pair, head](const auto &ec, std::size_t) {
            if (ec)
                close(pair);
            else
                writeEndless(pair, std::make_shared<const std::string>(endlessChunkBytes, 'x'));
        });
}

void FaultProxy::writeEndless(const std::shared_ptr<Pair> &pair,
                              const std::shared_ptr<const std::string> &chunk)
{
    boost::asio::async_write(pair->caller, boost::asio::buffer(*chunk),
                             [this, pair, chunk](const auto &ec, std::size_t) {
                                 if (ec || !isEndless())
                                     close(pair);
                                 else
                                     writeEndless(pair, chunk);
                             });
}

bool FaultProxy::holdsBack(const Pipe &pipe) const
{
    return m_fault == LinkFault::Cut || m_fault == LinkFault::Frozen
        || (m_fault == LinkFault::CutToServer && pipe.isToServer);
}

void FaultProxy::read(const std::shared_ptr<Pair> &pair, Pipe &pipe)
{
    if (pair->isSilent || holdsBack(pipe)) {
        pipe.isHeld = true;
        return;
    }
    // Waits for bytes before it takes them, so that a fault that begins meanwhile still holds them back.
    pipe.from->async_wait(Socket::wait_read, [this, pair, &pipe](const auto &ec) {
        if (ec || !pipe.from->is_open())
            return;
        if (pair->isSilent || holdsBack(pipe)) {
            pipe.isHeld = true;
            return;
        }
        boost::system::error_code failed;
        // A wait may end without bytes; a blocking read would hold up the whole soak.
        pipe.from->non_blocking(true, failed);
        const auto n = failed ? 0 : pipe.from->read_some(boost::asio::buffer(pipe.buf), failed);
        if (failed == boost::asio::error::would_block) {
            read(pair, pipe);
            return;
        }
        if (failed) {
            close(pair);
            return;
        }
        if (pipe.isToServer && isEndless() && !pair->isAnswered)
            beginEndless(pair);
        if (pair->isAnswered) {
            // What the server says to earlier requests is dropped.
            read(pair, pipe);
            return;
        }
        if (m_fault != LinkFault::Delayed) {
            pass(pair, pipe, n);
            return;
        }
        auto &timer = pipe.isToServer ? pair->upTimer : pair->downTimer;
        timer.expires_after(delay);
        timer.async_wait([this, pair, &pipe, n](const auto &cancelled) {
            if (!cancelled)
                pass(pair, pipe, n);
        });
    });
}

void FaultProxy::pass(const std::shared_ptr<Pair> &pair, Pipe &pipe, std::size_t n)
{
    if (pipe.isToServer && m_observer)
        m_observer({pipe.buf.data(), n});
    boost::asio::async_write(*pipe.to, boost::asio::buffer(pipe.buf.data(), n),
                             [this, pair, &pipe](const auto &ec, std::size_t) {
                                 if (ec)
                                     close(pair);
                                 else
                                     read(pair, pipe);
                             });
}

void FaultProxy::close(const std::shared_ptr<Pair> &pair)
{
    if (m_pairs.erase(pair) == 0)
        return;
    boost::system::error_code ignored;
    for (auto *socket : {&pair->caller, &pair->server}) {
        // Resets instead of an orderly end, as a crash of the peer does.
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    pair->upTimer.cancel();
    pair->downTimer.cancel();
}

} // namespace Wisteria
