// A caller's request as the decisions see it: what it needs, how long it may take, what may be repeated.

#pragma once

#include <LibForwarding/TrafficConfiguration.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Wisteria {

using RequestId = StrongId<struct RequestIdTag, std::string>;
// Position of an event in a stream, as the target numbers it. Ids grow along a stream.
using EventNumber = StrongId<struct EventNumberTag, std::uint64_t>;

// The tokens that a generation reads and writes.
struct GenerationSize
{
    std::int64_t promptTokens{0};
    std::int64_t maxOutputTokens{0};
    // The caller's guess of the tokens that it will get; zero when it gave none.
    std::int64_t expectedOutputTokens{0};

    [[nodiscard]] std::int64_t memoryTokens() const { return promptTokens + maxOutputTokens; }
};

// What a caller says of its request, decoded from its headers.
struct CallerRequest
{
    RequestId id;
    std::string apiKey;
    // How long the caller will wait; unset when it does not say.
    std::optional<absl::Duration> callerTimeout;
    // The caller already holds the stream up to this event.
    std::optional<EventNumber> lastEvent;
    GenerationSize size;
};

} // namespace Wisteria
