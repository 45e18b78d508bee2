// The id of a caller's event: GENERATION/TARGET/STREAM/STREAMSTART/OFFSET. It carries all that another router
// needs to go on, since routers keep nothing.

#pragma once

#include <LibCore/Error.h>
#include <LibRouting/Events.h>

#include <string>
#include <string_view>

namespace Wisteria {

struct EventId
{
    GenerationId generation;
    TargetId target;
    EngineStreamId stream;
    TokenOffset streamStart;
    TokenOffset offset;

    bool operator==(const EventId &) const = default;

    // Errors: InvalidRequest.
    [[nodiscard]] static ErrorOr<EventId> parse(std::string_view text);
    [[nodiscard]] std::string toString() const;
    // The caller holds every token up to and including `offset`.
    [[nodiscard]] ResumePoint resumePoint() const;
};

} // namespace Wisteria
