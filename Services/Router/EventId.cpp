// Parsing and printing of event ids.

#include <Router/EventId.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace Wisteria {

ErrorOr<EventId> EventId::parse(std::string_view text)
{
    constexpr std::size_t parts = 5;
    constexpr std::size_t maxLength = 1024;
    std::vector<std::string> fields = absl::StrSplit(std::string(text.substr(0, maxLength)), '/');
    std::uint64_t version = 0;
    std::uint64_t start = 0;
    std::uint64_t offset = 0;
    std::pair<std::string, std::string> generation = absl::StrSplit(fields[0], absl::MaxSplits('@', 1));
    bool isValid = fields.size() == parts && text.size() <= maxLength && !generation.first.empty()
        && absl::SimpleAtoi(generation.second, &version) && absl::SimpleAtoi(fields[3], &start)
        && absl::SimpleAtoi(fields[4], &offset) && start <= offset;
    if (!isValid)
        return makeError(ErrorCode::InvalidRequest, "malformed Last-Event-ID");
    return EventId{GenerationId(generation.first), ConfigVersion(version), TargetId(fields[1]),
                   EngineStreamId(fields[2]),      TokenOffset(start),     TokenOffset(offset)};
}

std::string EventId::toString() const
{
    return absl::StrCat(generation.value(), "@", openedUnder.value(), "/", target.value(), "/",
                        stream.value(), "/", streamStart.value(), "/", offset.value());
}

ResumePoint EventId::resumePoint() const
{
    return ResumePoint{target, stream, streamStart, nextOffset(offset)};
}

} // namespace Wisteria
