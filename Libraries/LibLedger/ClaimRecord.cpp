// Conversion of claim records to and from the JSON stored in the object API.

#include <LibLedger/CallLedger.h>

#include <nlohmann/json.hpp>

namespace Wisteria {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(ClaimState,
                             {{ClaimState::Claimed, "claimed"},
                              {ClaimState::Voided, "voided"},
                              {ClaimState::Done, "done"}})
NLOHMANN_JSON_SERIALIZE_ENUM(BodyKept, {{BodyKept::Yes, "yes"}, {BodyKept::No, "no"}})

namespace detail {

// Rejects unknown enumerator names. The JSON library maps them to the first enumerator, so that an unknown
// state would be read as Claimed.
template <typename Enum>
Enum readEnum(const json &object, const char *field)
{
    const auto value = object.at(field).get<Enum>();
    if (json(value) != object.at(field))
        throw json::other_error::create(501, std::string(field) + ": unknown enumerator name", nullptr);
    return value;
}

} // namespace detail

std::string toJson(const ClaimRecord &record)
{
    json out = {{"owner", record.owner.value()},
                {"incarnation", record.incarnation.value()},
                {"nonce", record.nonce},
                {"digest", record.digest.value()},
                {"state", record.state}};
    if (record.state == ClaimState::Voided)
        out["attempt"] = record.attempt;
    if (record.state == ClaimState::Done) {
        out["status"] = record.status;
        out["body"] = record.body;
        out["body_kept"] = record.bodyKept;
    }
    // A target's body may hold arbitrary bytes. Invalid UTF-8 is replaced, since the default handler would
    // throw.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

ErrorOr<ClaimRecord> claimRecordFromJson(std::string_view text)
{
    try {
        const json in = json::parse(text);
        ClaimRecord record;
        record.owner = RouterId(in.at("owner").get<std::string>());
        record.incarnation = Incarnation(in.at("incarnation").get<std::uint64_t>());
        record.nonce = in.at("nonce").get<std::uint64_t>();
        record.digest = BodyDigest(in.at("digest").get<std::uint64_t>());
        record.state = detail::readEnum<ClaimState>(in, "state");
        if (record.state == ClaimState::Voided)
            record.attempt = in.at("attempt").get<std::uint32_t>();
        if (record.state == ClaimState::Done) {
            record.status = in.at("status").get<int>();
            record.body = in.at("body").get<std::string>();
            record.bodyKept = detail::readEnum<BodyKept>(in, "body_kept");
        }
        return record;
    } catch (const json::exception &error) {
        return makeError(ErrorCode::ProtocolViolation, error.what());
    }
}

} // namespace Wisteria
