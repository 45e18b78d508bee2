// Heads and chunks in the form of RFC 9112.

#include <LibNet/HttpMessage.h>

#include <LibCore/Views.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <boost/beast/http/status.hpp>

#include <iterator>
#include <vector>

namespace Wisteria {

namespace detail {

constexpr std::string_view hopFields[] = {
    "Connection",        "Keep-Alive",     "Proxy-Connection",  "TE", "Trailer", "Upgrade",
    "Transfer-Encoding", "Content-Length", "Proxy-Authenticate"};

boost::beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

void appendFields(std::string &out, const HttpFields &fields)
{
    for (const auto &it : fields) {
        absl::StrAppend(&out, abslView(stdView(it.name_string())), ": ", abslView(stdView(it.value())),
                        "\r\n");
    }
}

std::string statusLine(const HttpResponseHead &head)
{
    std::string reason = head.reason;
    if (reason.empty()) {
        const auto text = boost::beast::http::obsolete_reason(
            boost::beast::http::int_to_status(static_cast<unsigned>(head.status)));
        reason.assign(text.data(), text.size());
    }
    return absl::StrCat("HTTP/1.1 ", head.status, " ", reason, "\r\n");
}

} // namespace detail

void removeConnectionFields(HttpFields &fields, const std::function<bool(std::string_view name)> &isEndToEnd)
{
    std::vector<std::string> named;
    const auto range = fields.equal_range("Connection");
    for (auto it = range.first; it != range.second; ++it) {
        const std::string value(it->value().data(), it->value().size());
        for (auto token : absl::StrSplit(value, ','))
            named.emplace_back(absl::StripAsciiWhitespace(token));
    }
    for (const auto &it : named) {
        if (!it.empty() && !(isEndToEnd && isEndToEnd(it)))
            fields.erase(detail::beastView(it));
    }
    for (auto it : detail::hopFields)
        fields.erase(detail::beastView(it));
}

bool hasUnknownTransferCoding(const HttpFields &fields)
{
    const auto [first, last] = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (first == last)
        return false;
    const auto coding = first->value();
    return std::next(first) != last
        || !absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(abslView(stdView(coding))), "chunked");
}

std::string serializeRequestHead(std::string_view method, std::string_view target, const HttpFields &fields,
                                 std::size_t bodyBytes)
{
    std::string out = absl::StrCat(abslView(method), " ", abslView(target), " HTTP/1.1\r\n");
    detail::appendFields(out, fields);
    if (bodyBytes > 0 || (method != "GET" && method != "HEAD"))
        absl::StrAppend(&out, "Content-Length: ", bodyBytes, "\r\n");
    out += "\r\n";
    return out;
}

std::string serializeRequest(std::string_view method, std::string_view target, const HttpFields &fields,
                             std::string_view body)
{
    auto out = serializeRequestHead(method, target, fields, body.size());
    out += body;
    return out;
}

namespace detail {

std::string headWithLength(const HttpResponse &response, ConnectionUse use)
{
    std::string out = statusLine(response.head);
    appendFields(out, response.head.fields);
    if (use == ConnectionUse::Close)
        out += "Connection: close\r\n";
    absl::StrAppend(&out, "Content-Length: ", response.body.size(), "\r\n\r\n");
    return out;
}

} // namespace detail

std::string serializeResponse(const HttpResponse &response, ConnectionUse use)
{
    auto out = detail::headWithLength(response, use);
    out += response.body;
    return out;
}

std::string serializeResponse(HttpResponse &&response, ConnectionUse use)
{
    // Smaller bodies are cheaper to copy.
    constexpr std::size_t minMovedBytes = std::size_t{64} << 10U;
    if (response.body.size() < minMovedBytes)
        return serializeResponse(std::as_const(response), use);
    response.body.insert(0, detail::headWithLength(response, use));
    return std::move(response.body);
}

std::string serializeChunkedHead(const HttpResponseHead &head, ConnectionUse use)
{
    std::string out = detail::statusLine(head);
    detail::appendFields(out, head.fields);
    if (use == ConnectionUse::Close)
        out += "Connection: close\r\n";
    out += "Transfer-Encoding: chunked\r\n\r\n";
    return out;
}

std::string serializeChunk(std::string_view data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", abslView(data), "\r\n");
}

HttpResponse makeResponse(int status, std::string_view contentType, std::string body)
{
    HttpResponse response;
    response.head.status = status;
    if (!contentType.empty())
        response.head.fields.set("Content-Type", detail::beastView(contentType));
    response.body = std::move(body);
    return response;
}

} // namespace Wisteria
