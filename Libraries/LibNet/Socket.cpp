// Socket options by setsockopt; Asio has no names for most of them.

#include <LibNet/Socket.h>

#include <glog/logging.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstring>

namespace Wisteria {

namespace detail {

constexpr int keepAliveProbes = 3;

void setOption(int fd, int level, int name, int value)
{
    if (setsockopt(fd, level, name, &value, sizeof(value)) != 0) {
        LOG_EVERY_N(WARNING, 1000) << "setsockopt " << name << ": " << std::strerror(errno);
    }
}

} // namespace detail

void applySocketOptions(boost::asio::ip::tcp::socket &socket, const SocketLimits &limits)
{
    const int fd = socket.native_handle();
    const int interval = static_cast<int>(absl::ToInt64Seconds(limits.keepAliveInterval));
    detail::setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    detail::setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    detail::setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    detail::setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    detail::setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, detail::keepAliveProbes);
    detail::setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<int>(absl::ToInt64Milliseconds(limits.unacknowledged)));
}

} // namespace Wisteria
