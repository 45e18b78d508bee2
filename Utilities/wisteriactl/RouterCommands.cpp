// wisteriactl router: the list of routers whose acknowledgements count towards a majority, and planned stops.

#include <LibCore/Address.h>
#include <wisteriactl/AdminClient.h>
#include <wisteriactl/Command.h>
#include <wisteriactl/Table.h>

#include <absl/strings/str_cat.h>

namespace Wisteria::detail {

ErrorOr<void> countRouter(const CommandContext &context)
{
    CountedRouter router{RouterId(textOption(context, "id")), textOption(context, "peer-address"),
                         FailureDomain(textOption(context, "domain"))};
    if (router.peerAddress.empty())
        return makeError(ErrorCode::InvalidRequest, "--peer-address is required");
    return context.client.apply(PutCountedRouter{router});
}

ErrorOr<void> uncountRouter(const CommandContext &context)
{
    return context.client.apply(RemoveCountedRouter{RouterId(textOption(context, "id"))});
}

ErrorOr<void> listCountedRouters(const CommandContext &context)
{
    auto configuration = TRY(context.client.configuration());
    Table table({"ROUTER", "PEER ADDRESS", "DOMAIN"});
    for (const auto &it : configuration.countedRouters)
        table.addRow({it.id.value(), it.peerAddress, it.domain.value()});
    table.print(std::cout);
    return {};
}

// The address of a router by its name, or the text itself when it is an address.
ErrorOr<std::string> findRouterAddress(AdminClient &client, const std::string &router)
{
    if (Address::parse(router))
        return router;
    auto status = TRY(client.status());
    for (const auto &it : status.value("routers", nlohmann::json::array())) {
        if (it.value("id", "") == router)
            return it.value("address", "");
    }
    return makeError(ErrorCode::UnknownObject, absl::StrCat("router/", router));
}

ErrorOr<void> drainRouter(const CommandContext &context)
{
    auto address = TRY(findRouterAddress(context.client, textOption(context, "router")));
    TRY_VOID(context.client.drainAt(address));
    std::cout << "draining\n";
    return {};
}

void addCountOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("peer-address", "IP:port of its interface for peers", cxxopts::value<std::string>());
    add("domain", "failure domain", cxxopts::value<std::string>());
}

const RegisterCommands registerRouterCommands{
    {"router count", {"id"}, "count a router towards majorities", addCountOptions, countRouter},
    {"router uncount", {"id"}, "count a router no more", {}, uncountRouter},
    {"router list", {}, "list the counted routers", {}, listCountedRouters},
    {"drain", {"router"}, "plan a router's stop, by name or IP:port", {}, drainRouter}};

} // namespace Wisteria::detail
