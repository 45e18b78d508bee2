// Each call runs an event loop of its own until its answer has come.

#include <LibPlatform/BlockingHttpClient.h>

#include <boost/asio/io_context.hpp>

#include <absl/strings/str_cat.h>

#include <memory>
#include <optional>
#include <utility>

namespace Wisteria {

BlockingHttpClient::BlockingHttpClient(Address address, absl::Duration timeout)
    : m_address(std::move(address)), m_timeout(timeout)
{
}

HttpCallResult BlockingHttpClient::get(std::string_view path) const
{
    return call("GET", path, {}, "");
}

HttpCallResult BlockingHttpClient::post(std::string_view path, std::string_view body, HttpFields fields) const
{
    return call("POST", path, std::move(fields), body);
}

HttpCallResult BlockingHttpClient::put(std::string_view path, std::string_view body, HttpFields fields) const
{
    return call("PUT", path, std::move(fields), body);
}

HttpCallResult BlockingHttpClient::call(std::string_view method, std::string_view path, HttpFields fields,
                                        std::string_view body) const
{
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(m_address.host()),
                                                  static_cast<std::uint16_t>(m_address.port()));
    fields.set("Host", hostField(m_address));
    fields.set("Connection", "close");
    if (!body.empty())
        fields.set("Content-Type", "application/json");
    boost::asio::io_context context(1);
    const auto connection = std::make_shared<HttpClientConnection>(context, endpoint, SocketLimits{});
    std::optional<HttpCallResult> result;
    callHttp(context, connection, serializeRequest(method, path, fields, body), m_timeout, maxBodyBytes,
             [&result](HttpCallResult it) { result = std::move(it); });
    while (!result)
        context.run_one();
    connection->cancel();
    return std::move(*result);
}

std::string hostField(const Address &address)
{
    const bool isVersion6 = address.host().find(':') != std::string::npos;
    return isVersion6 ? absl::StrCat("[", address.host(), "]:", address.port())
                      : absl::StrCat(address.host(), ":", address.port());
}

bool wasNeverSent(HttpFailure failure)
{
    return failure == HttpFailure::NotConnected || failure == HttpFailure::Refused;
}

} // namespace Wisteria
