// JSON form of the lease, as the object API keeps it.

#include <LibPlacement/Placer.h>

#include <nlohmann/json.hpp>

namespace Wisteria {

using nlohmann::json;

std::string toJson(const LeaseRecord &record)
{
    const json out = {{"holder", record.holder},
                      {"incarnation", record.incarnation.value()},
                      {"fencing", record.fencing.value()},
                      {"renewals", record.renewals}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

ErrorOr<LeaseRecord> leaseRecordFromJson(std::string_view text)
{
    try {
        const json in = json::parse(text);
        LeaseRecord record;
        record.holder = in.at("holder").get<std::string>();
        record.incarnation = Incarnation(in.at("incarnation").get<std::uint64_t>());
        record.fencing = FencingNumber(in.at("fencing").get<std::uint64_t>());
        record.renewals = in.at("renewals").get<std::uint64_t>();
        return record;
    } catch (const json::exception &error) {
        return makeError(ErrorCode::ProtocolViolation, error.what());
    }
}

} // namespace Wisteria
