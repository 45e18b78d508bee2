// What the callers' library needs of HTTP and of time, as interfaces, so that tests drive it with fakes.

#pragma once

#include <LibCore/Error.h>

#include <absl/time/time.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Wisteria {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method;
    // Path and query.
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    // How long the peer may stay silent before and within its answer.
    absl::Duration idleTimeout;
};

struct HttpAnswer
{
    int status{0};
    // Names in lower case.
    std::map<std::string, std::string> headers;
    // Empty where the body went to a receiver.
    std::string body;
};

// Whether a byte of a failed request can have reached the peer.
enum class Delivery { NotSent, MaybeSent };

struct TransportError
{
    Error error;
    Delivery delivery{Delivery::MaybeSent};
};

enum class StreamControl { Continue, Stop };

// Takes a streamed body piece by piece.
class BodyReceiver
{
public:
    virtual ~BodyReceiver() = default;

    [[nodiscard]] virtual StreamControl take(std::string_view bytes) = 0;
};

// Calls block and may run on any thread.
class Transport
{
public:
    virtual ~Transport() = default;

    // One request on a connection of its own. With a receiver, the body of a 200 answer goes there; an answer
    // that the receiver stopped counts as complete. Errors: ConnectionFailed (nothing was sent),
    // ConnectionLost and Timeout.
    [[nodiscard]] virtual tl::expected<HttpAnswer, TransportError>
    send(const std::string &address, const HttpRequest &request, BodyReceiver *receiver) = 0;
};

class CallerClock
{
public:
    virtual ~CallerClock() = default;

    // Never runs backwards. Its zero has no meaning.
    [[nodiscard]] virtual absl::Time now() = 0;
    virtual void sleepFor(absl::Duration duration) = 0;
};

} // namespace Wisteria
