// Scripted routers.

#include <LibCaller/FakeTransport.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace Wisteria {

FakeReply FakeTransport::send(const std::string &address, const HttpRequest &request, BodyReceiver *receiver)
{
    if (request.path.rfind("/v1/entry-points", 0) == 0)
        return discover(address, request);
    m_sent.push_back({address, request, m_clock.now()});
    auto &script = m_scripts[address];
    if (script.empty())
        return refuseConnection()(request, receiver);
    auto handler = script.front();
    if (script.size() > 1)
        script.pop_front();
    return handler(request, receiver);
}

void FakeTransport::script(const std::string &address, std::vector<FakeHandler> handlers)
{
    m_scripts[address] = {handlers.begin(), handlers.end()};
    entryPoints.push_back(address);
}

std::vector<SentRequest> FakeTransport::work() const
{
    return m_sent;
}

FakeReply FakeTransport::discover(const std::string &address, const HttpRequest &request)
{
    ++discoveries;
    if (m_scripts[address].empty())
        return refuseConnection()(request, nullptr);
    auto points = nlohmann::json::array();
    for (const auto &it : entryPoints)
        points.push_back({{"router", "router-" + it}, {"address", it}, {"domain", "d"}});
    auto tickets = nlohmann::json::array();
    if (request.path.find("tickets=0") == std::string::npos)
        tickets.push_back(absl::StrCat("ticket-", address, "-", ++m_tickets));
    nlohmann::json body{
        {"entry_points", points}, {"lifetime_ms", absl::ToInt64Milliseconds(lifetime)}, {"tickets", tickets}};
    return HttpAnswer{200, {}, body.dump()};
}

FakeHandler refuseConnection()
{
    return [](const auto &, auto *) -> FakeReply {
        return tl::unexpected(TransportError{{ErrorCode::ConnectionFailed}, Delivery::NotSent});
    };
}

FakeHandler loseReply()
{
    return [](const auto &, auto *) -> FakeReply {
        return tl::unexpected(TransportError{{ErrorCode::ConnectionLost}, Delivery::MaybeSent});
    };
}

FakeHandler answerJson(int status, const std::string &body)
{
    return [=](const auto &, auto *) -> FakeReply { return HttpAnswer{status, {}, body}; };
}

FakeHandler streamBytes(const std::string &bytes)
{
    return [=](const auto &, auto *receiver) -> FakeReply {
        // Small pieces, so that events arrive cut.
        constexpr std::size_t piece = 7;
        for (std::size_t i = 0; i < bytes.size(); i += piece) {
            if (receiver->take(std::string_view(bytes).substr(i, piece)) == StreamControl::Stop)
                break;
        }
        return HttpAnswer{200, {}, {}};
    };
}

FakeHandler stallAfter(FakeClock &clock, const std::string &bytes)
{
    return [=, &clock](const HttpRequest &request, auto *receiver) -> FakeReply {
        if (receiver)
            (void)receiver->take(bytes);
        clock.sleepFor(request.idleTimeout);
        return tl::unexpected(TransportError{{ErrorCode::ConnectionLost, "idle"}, Delivery::MaybeSent});
    };
}

std::string headerOf(const HttpRequest &request, const std::string &name)
{
    for (const auto &it : request.headers) {
        if (it.name == name)
            return it.value;
    }
    return {};
}

std::string tokenText(std::uint64_t offset)
{
    return absl::StrCat(" w", offset);
}

std::string tokenEvent(std::uint64_t offset, const std::string &generation)
{
    return absl::StrCat("id: ", generation, "/e1/s1/0/", offset, "\ndata: {\"choices\":[{\"text\":\"",
                        tokenText(offset), "\",\"finish_reason\":null}]}\n\n");
}

std::string tokenEvents(std::uint64_t begin, std::uint64_t end)
{
    std::string out;
    for (auto i = begin; i < end; ++i)
        out += tokenEvent(i);
    return out;
}

std::string finishEvents()
{
    return "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n";
}

} // namespace Wisteria
