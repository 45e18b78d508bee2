// Stand-in for the platform's object API. Tests/StandIns/README.md gives its form.

#include <StandIns/common/StandIn.h>
#include <StandIns/object-api/ObjectTable.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Wisteria::StandIns {

constexpr std::size_t maxObjectBytes = std::size_t{1024} * 1024;

std::string entityTag(std::uint64_t version)
{
    return absl::StrCat("\"", version, "\"");
}

// The version that the request's precondition names; zero for If-None-Match: *.
std::optional<std::uint64_t> expectedVersion(const httplib::Request &request)
{
    if (request.get_header_value("If-None-Match") == "*")
        return 0;
    auto tag = request.get_header_value("If-Match");
    std::uint64_t n = 0;
    if (tag.size() < 3 || !absl::SimpleAtoi(tag.substr(1, tag.size() - 2), &n) || n == 0)
        return std::nullopt;
    return n;
}

void answerRecord(httplib::Response &response, const std::optional<ObjectRecord> &record, int statusIfNone)
{
    if (!record) {
        response.status = statusIfNone;
        return;
    }
    response.set_header("ETag", entityTag(record->version));
    response.set_content(record->body, "application/json");
}

void handleGet(ObjectTable &table, const httplib::Request &request, httplib::Response &response)
{
    auto key = request.matches[1].str();
    if (request.get_param_value("watch") != "true")
        return answerRecord(response, table.read(key), statusNotFound);
    std::uint64_t after = 0;
    std::int64_t ms = 0;
    if (!absl::SimpleAtoi(request.get_param_value("after"), &after)
        || !absl::SimpleAtoi(request.get_param_value("timeout_ms"), &ms) || ms < 0)
        return answerError(response, statusBadRequest, "after and timeout_ms must be numbers");
    auto record = table.watch(key, after, absl::Milliseconds(ms));
    if (table.isDown())
        return closeConnection(request);
    answerRecord(response, record, statusNotModified);
}

void handlePut(ObjectTable &table, const httplib::Request &request, httplib::Response &response)
{
    if (request.body.size() > maxObjectBytes)
        return answerError(response, statusPayloadTooLarge, "the object is above 1 MiB");
    auto expected = expectedVersion(request);
    if (!expected)
        return answerError(response, statusBadRequest, "If-Match or If-None-Match: * is required");
    auto result = table.write(request.matches[1].str(), request.body, *expected);
    if (result.reply == ReplyFate::Lost)
        return closeConnection(request);
    if (!result.version)
        return answerError(response, statusPreconditionFailed, "the version differs");
    response.status = *expected == 0 ? statusCreated : statusOk;
    response.set_header("ETag", entityTag(*result.version));
}

void handleFault(ObjectTable &table, const httplib::Request &request, httplib::Response &response)
{
    auto json = readObject(request, response);
    if (!json)
        return;
    auto kind = json->value("kind", "");
    auto duration = absl::Milliseconds(json->value("ms", 0));
    if (kind == "down")
        table.goDown(duration);
    else if (kind == "lose_replies")
        table.loseReplies(json->value("count", 1));
    else if (kind == "delay")
        table.setDelay(duration);
    else if (kind == "none")
        table.clearFaults();
    else
        return answerError(response, statusBadRequest, "unknown fault");
    answer(response, statusOk, Json::object());
}

// Applies the faults to each request but the steering ones.
httplib::Server::HandlerResponse applyFaults(ObjectTable &table, const httplib::Request &request)
{
    if (request.path.rfind("/standin/", 0) == 0)
        return httplib::Server::HandlerResponse::Unhandled;
    absl::SleepFor(table.delay());
    if (!table.isDown())
        return httplib::Server::HandlerResponse::Unhandled;
    closeConnection(request);
    return httplib::Server::HandlerResponse::Handled;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("standin-object-api", "Stand-in for the platform's object API");
    auto arguments = parseArguments(options, argc, argv);
    ObjectTable table;
    httplib::Server server;
    const char *objectPath = R"(/v1/objects/([^/]+/[^/]+))";
    server.set_pre_routing_handler([&](const auto &request, auto &) { return applyFaults(table, request); });
    server.Get(objectPath, [&](const auto &request, auto &response) { handleGet(table, request, response); });
    server.Put(objectPath, [&](const auto &request, auto &response) { handlePut(table, request, response); });
    server.Post("/standin/fault",
                [&](const auto &request, auto &response) { handleFault(table, request, response); });
    server.Get("/standin/stats", [&](const auto &, auto &response) {
        auto n = table.stats();
        answer(
            response, statusOk,
            {{"reads", n.reads}, {"writes", n.writes}, {"watches", n.watches}, {"conflicts", n.conflicts}});
    });
    return serve(server, arguments);
}

} // namespace Wisteria::StandIns

int main(int argc, char **argv)
{
    return Wisteria::StandIns::runGuarded(Wisteria::StandIns::run, argc, argv);
}
