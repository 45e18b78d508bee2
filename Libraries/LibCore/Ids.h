// The identifiers and units that the whole system shares.

#pragma once

#include <LibCore/StrongId.h>

#include <cstdint>
#include <string>

namespace Wisteria {

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using WorkspaceName = StrongId<struct WorkspaceNameTag, std::string>;
using PresetName = StrongId<struct PresetNameTag, std::string>;
using ModelName = StrongId<struct ModelNameTag, std::string>;
using FailureDomain = StrongId<struct FailureDomainTag, std::string>;

// A VM that serves engines or plain services, by the name that operators gave it.
using TargetId = StrongId<struct TargetIdTag, std::string>;
// A router process by its name in the settings. The name outlives a restart; the incarnation does not.
using RouterId = StrongId<struct RouterIdTag, std::string>;
// New at each process start and greater than any earlier one of the same router.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

// One answer to one caller's request. Unique over all routers and restarts.
using GenerationId = StrongId<struct GenerationIdTag, std::string>;
// One engine stream that serves a generation. Unique within one router incarnation.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;
// The engine's own name of a stream, by which another router can re-attach to it.
using EngineStreamId = StrongId<struct EngineStreamIdTag, std::string>;
// One arrival of a call at one router. Unique within one router incarnation.
using CallId = StrongId<struct CallIdTag, std::uint64_t>;
// The caller's own key of a call that must run at most once.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

// Version of an object in the platform's object API. Greater is newer; zero means that there is none.
using ObjectVersion = StrongId<struct ObjectVersionTag, std::uint64_t>;
// Version of the fleet's configuration.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
// Fencing number of a lease holder's orders.
using FencingNumber = StrongId<struct FencingNumberTag, std::uint64_t>;

// Position of a token in an answer, counted from zero at the first generated token.
using TokenOffset = StrongId<struct TokenOffsetTag, std::uint64_t>;

[[nodiscard]] inline TokenOffset nextOffset(TokenOffset offset)
{
    return TokenOffset(offset.value() + 1);
}

} // namespace Wisteria
