// Set-up shared by all HTTP clients of the processes.

#include <LibPlatform/HttpClient.h>

namespace Wisteria {

httplib::Client makeHttpClient(const Address &address, absl::Duration timeout)
{
    httplib::Client client(address.host(), address.port());
    auto ms = std::chrono::milliseconds(absl::ToInt64Milliseconds(timeout));
    client.set_connection_timeout(ms);
    client.set_read_timeout(ms);
    client.set_write_timeout(ms);
    client.set_tcp_nodelay(true);
    return client;
}

bool wasNeverSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

} // namespace Wisteria
