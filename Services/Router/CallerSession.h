// The ring between the decision thread and the thread that holds a caller's connection.

#pragma once

#include <LibCore/Ring.h>
#include <LibRouting/Events.h>

#include <memory>
#include <string>
#include <variant>

namespace Wisteria {

struct TokenMessage
{
    std::string eventId;
    std::string text;
};

struct EndMessage
{
    FinishReason reason{FinishReason::Stop};
};

struct RefusedMessage
{
    Error error;
};

// The caller goes on at another router.
struct HandOverMessage
{
};

using SessionMessage = std::variant<TokenMessage, EndMessage, RefusedMessage, HandOverMessage>;

// Closed without a final message when the caller reads too slowly; it then resumes from its last event id.
using CallerSession = Ring<SessionMessage>;

} // namespace Wisteria
