// Properties of a caller's request that forwarding decisions depend on: resources, timeout and resume
// position.

#pragma once

#include <LibForwarding/TrafficConfiguration.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

using RequestId = StrongId<struct RequestIdTag, std::string>;
// Position of an event in a stream, as numbered by the target. Numbers increase along a stream.
using EventNumber = StrongId<struct EventNumberTag, std::uint64_t>;

// A part of a prompt. Requests whose prompts share text have the same part.
using PromptPartId = StrongId<struct PromptPartIdTag, std::uint64_t>;

// Numbers of tokens that a generation reads and writes.
struct GenerationSize
{
    std::int64_t promptTokens{0};
    std::int64_t maxOutputTokens{0};
    // The caller's estimate of the output length; zero if it gave none.
    std::int64_t expectedOutputTokens{0};

    [[nodiscard]] std::int64_t memoryTokens() const { return promptTokens + maxOutputTokens; }
};

// Information about a request that the caller sent in its headers.
struct CallerRequest
{
    RequestId id;
    std::string apiKey;
    // How long the caller waits for the answer; unset if it did not say.
    std::optional<absl::Duration> callerTimeout;
    // The caller has already received the stream up to this event.
    std::optional<EventNumber> lastEvent;
    GenerationSize size;
    // The parts of the prompt that other requests may share, each once. Empty if the caller named none.
    std::vector<PromptPartId> sharedParts;
};

} // namespace Wisteria
