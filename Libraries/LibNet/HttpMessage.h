// HTTP/1.1 messages as the I/O parts pass them on. Parsing is Boost.Beast's; this adds what proxies need.

#pragma once

#include <utility>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace Wisteria {

using HttpFields = boost::beast::http::fields;
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

// NOLINTNEXTLINE(bugprone-exception-escape): the library declares a move that allocates as noexcept.
struct HttpResponseHead
{
    int status{0};
    std::string reason;
    HttpFields fields;
};

// NOLINTNEXTLINE(bugprone-exception-escape): the library declares a move that allocates as noexcept.
struct HttpResponse
{
    HttpResponseHead head;
    std::string body;
};

// The value of the first field of that name; empty when there is none.
[[nodiscard]] inline std::string_view fieldValue(const HttpFields &fields, std::string_view name)
{
    const auto it = fields.find({name.data(), name.size()});
    return it == fields.end() ? std::string_view{} : std::string_view{it->value().data(), it->value().size()};
}

// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), those that `Connection`
// names included, and the framing of the body. Fields for which `isEndToEnd` holds stay: `Connection` must
// not name them, and the peer that does would change what the other end gets.
void removeConnectionFields(HttpFields &, const std::function<bool(std::string_view name)> &isEndToEnd = {});

// Whether the transfer coding is another one than `chunked` alone. Lists and parameters count as unknown,
// too: parsers differ in where they find the last coding of them (RFC 9112, sections 6.1 and 7).
[[nodiscard]] bool hasUnknownTransferCoding(const HttpFields &);

enum class ConnectionUse { Keep, Close };

// "METHOD target HTTP/1.1" with fields, body length and body.
[[nodiscard]] std::string serializeRequest(std::string_view method, std::string_view target,
                                           const HttpFields &, std::string_view body);
// The same without the body, which has so many bytes.
[[nodiscard]] std::string serializeRequestHead(std::string_view method, std::string_view target,
                                               const HttpFields &, std::size_t bodyBytes);
// A complete answer with its length.
[[nodiscard]] std::string serializeResponse(const HttpResponse &, ConnectionUse);
// The same; uses the memory of a large body instead of copying it.
[[nodiscard]] std::string serializeResponse(HttpResponse &&, ConnectionUse);
// The head of an answer whose body follows in chunks.
[[nodiscard]] std::string serializeChunkedHead(const HttpResponseHead &, ConnectionUse);
[[nodiscard]] std::string serializeChunk(std::string_view data);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

// An answer with a JSON or text body.
[[nodiscard]] HttpResponse makeResponse(int status, std::string_view contentType, std::string body);

} // namespace Wisteria
