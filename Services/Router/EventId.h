// The id of a caller's event: GENERATION@VERSION/TARGET/STREAM/STREAMSTART/OFFSET. It carries all that
// another router needs to go on, since routers keep nothing. VERSION is that of the service's last change
// when the answer began.

#pragma once

#include <LibCore/Error.h>
#include <LibRouting/Events.h>

#include <string>
#include <string_view>

namespace Wisteria {

struct EventId
{
    GenerationId generation;
    ConfigVersion openedUnder;
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
