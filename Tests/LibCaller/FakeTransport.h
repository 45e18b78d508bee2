// A scripted system for tests of the callers' library: routers on a virtual clock, with no sockets.

#pragma once

#include <LibCaller/CallerClient.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Wisteria {

class FakeClock final : public CallerClock
{
public:
    [[nodiscard]] absl::Time now() override { return m_now; }
    void sleepFor(absl::Duration duration) override { m_now += duration; }

private:
    absl::Time m_now{absl::UnixEpoch()};
};

// What a router does with one request.
using FakeReply = tl::expected<HttpAnswer, TransportError>;
using FakeHandler = std::function<FakeReply(const HttpRequest &, BodyReceiver *)>;

struct SentRequest
{
    std::string address;
    HttpRequest request;
    absl::Time at;
};

class FakeTransport final : public Transport
{
public:
    explicit FakeTransport(FakeClock &clock) : m_clock(clock) { }

    [[nodiscard]] FakeReply send(const std::string &address, const HttpRequest &request,
                                 BodyReceiver *receiver) override;

    // Replies of an address to work, in order; the last one stays.
    void script(const std::string &address, std::vector<FakeHandler> handlers);
    // Requests for work, discovery left out.
    [[nodiscard]] std::vector<SentRequest> work() const;

    // What discovery answers, by default all scripted addresses in their order.
    std::vector<std::string> entryPoints;
    absl::Duration lifetime{absl::Seconds(10)};
    int discoveries{0};

private:
    [[nodiscard]] FakeReply discover(const std::string &address, const HttpRequest &request);

    FakeClock &m_clock;
    std::map<std::string, std::deque<FakeHandler>> m_scripts;
    std::vector<SentRequest> m_sent;
    int m_tickets{0};
};

// ---- Replies
[[nodiscard]] FakeHandler refuseConnection();
// Takes the request and then loses the connection.
[[nodiscard]] FakeHandler loseReply();
[[nodiscard]] FakeHandler answerJson(int status, const std::string &body);
// Sends these bytes and ends in order.
[[nodiscard]] FakeHandler streamBytes(const std::string &bytes);
// Sends these bytes, then nothing until the idle timeout.
[[nodiscard]] FakeHandler stallAfter(FakeClock &clock, const std::string &bytes);

[[nodiscard]] std::string headerOf(const HttpRequest &request, const std::string &name);
// The token at `offset` of the test's answer, as text and as event.
[[nodiscard]] std::string tokenText(std::uint64_t offset);
[[nodiscard]] std::string tokenEvent(std::uint64_t offset, const std::string &generation = "g1");
[[nodiscard]] std::string tokenEvents(std::uint64_t begin, std::uint64_t end);
[[nodiscard]] std::string finishEvents();

} // namespace Wisteria
