// Reads and discards until the peer closes.

#include <LibNet/LingeringClose.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/time/time.h>

#include <array>
#include <memory>

namespace Wisteria {

namespace detail {

// Owned by its pending read; the timer refers to it weakly.
class ClosingConnection final : public std::enable_shared_from_this<ClosingConnection>
{
public:
    ClosingConnection(boost::asio::ip::tcp::socket socket, const LingerLimits &limits,
                      std::shared_ptr<void> token)
        : m_token(std::move(token)), m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_bytesLeft(limits.maxBytes)
    {
        m_timer.expires_after(absl::ToChronoNanoseconds(limits.timeout));
    }

    void start()
    {
        boost::system::error_code ec;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
        if (ec)
            return;
        m_timer.async_wait([weak = weak_from_this()](const auto &cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self)
                self->close();
        });
        read();
    }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buf),
                                 [self = shared_from_this()](const auto &ec, std::size_t n) {
                                     if (ec || n >= self->m_bytesLeft) {
                                         self->close();
                                         return;
                                     }
                                     self->m_bytesLeft -= n;
                                     self->read();
                                 });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

    std::shared_ptr<void> m_token;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::size_t m_bytesLeft;
    std::array<char, 4096> m_buf;
};

} // namespace detail

void closeLingering(boost::asio::ip::tcp::socket socket, const LingerLimits &limits,
                    std::shared_ptr<void> token)
{
    std::make_shared<detail::ClosingConnection>(std::move(socket), limits, std::move(token))->start();
}

} // namespace Wisteria
