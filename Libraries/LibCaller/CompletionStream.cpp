// Checks of a streamed answer. A token that does not follow the last one is never passed on.

#include <LibCaller/CompletionStream.h>

#include <LibCaller/RouterAnswer.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Wisteria {

ErrorOr<TokenId> TokenId::parse(std::string_view text)
{
    constexpr std::size_t parts = 5;
    std::vector<std::string> fields = absl::StrSplit(std::string(text), '/');
    std::uint64_t streamStart = 0;
    std::uint64_t offset = 0;
    if (fields.size() != parts || fields[0].empty() || !absl::SimpleAtoi(fields[3], &streamStart)
        || !absl::SimpleAtoi(fields[4], &offset) || streamStart > offset)
        return makeError(ErrorCode::ProtocolViolation,
                         absl::StrCat("malformed event id ", std::string(text)));
    return TokenId{GenerationId(fields[0]), TargetId(fields[1]), EngineStreamId(fields[2]),
                   TokenOffset(streamStart), TokenOffset(offset)};
}

void CompletionStream::beginConnection(RouterId router)
{
    m_router = std::move(router);
    m_reader = EventStreamReader();
    m_end = StreamEnd::Cut;
    m_error = {};
}

StreamControl CompletionStream::take(std::string_view bytes)
{
    auto events = m_reader.feed(bytes);
    if (!events)
        fail("an event is too long");
    else
        for (const auto &it : *events) {
            if (m_end != StreamEnd::Cut)
                break;
            takeEvent(it);
        }
    return m_end == StreamEnd::Cut ? StreamControl::Continue : StreamControl::Stop;
}

void CompletionStream::takeEvent(const StreamEvent &event)
{
    if (event.type == "handover") {
        m_end = StreamEnd::HandOver;
    } else if (event.type == "error") {
        auto json = nlohmann::json::parse(event.data, nullptr, false);
        m_error = detail::errorFromJson(json.is_object() ? json.value("error", nlohmann::json()) : json);
        m_end = StreamEnd::GivenUp;
    } else if (event.data == "[DONE]") {
        // The event with the finish reason ended the answer already; without one it is not known to be whole.
        fail("the stream ended without a finish reason");
    } else if (event.type.empty() || event.type == "message") {
        takeData(event);
    }
    // Events of other types are for later versions of the interface.
}

void CompletionStream::takeData(const StreamEvent &event)
{
    try {
        auto choice = nlohmann::json::parse(event.data).at("choices").at(0);
        auto text = choice.at("text").get<std::string>();
        const auto &reason = choice.at("finish_reason");
        if (reason.is_null() || !text.empty())
            takeToken(event, text);
        if (m_end != StreamEnd::Cut || reason.is_null())
            return;
        m_finishReason = reason.get<std::string>();
        m_end = StreamEnd::Complete;
    } catch (const nlohmann::json::exception &e) {
        fail(e.what());
    }
}

void CompletionStream::takeToken(const StreamEvent &event, const std::string &text)
{
    auto id = TokenId::parse(event.id);
    if (!id)
        return fail(id.error().detail);
    if (id->offset.value() != m_tokenCount)
        return fail(absl::StrCat("token ", id->offset.value(), " in place of ", m_tokenCount));
    if (m_generation && *m_generation != id->generation)
        return fail(
            absl::StrCat("generation ", id->generation.value(), " in the answer of ", m_generation->value()));
    m_generation = id->generation;
    m_lastEventId = event.id;
    m_text += text;
    ++m_tokenCount;
    if (m_onToken({*std::move(id), text, m_router}) == StreamControl::Stop)
        m_end = StreamEnd::StoppedByUser;
}

void CompletionStream::fail(std::string detail)
{
    m_error = {ErrorCode::ProtocolViolation, std::move(detail)};
    m_end = StreamEnd::Violation;
}

} // namespace Wisteria
