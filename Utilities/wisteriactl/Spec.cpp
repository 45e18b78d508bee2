// Flags are applied after --from, so that one file serves several items.

#include <wisteriactl/Spec.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <iterator>

namespace Wisteria {

void addSpecOptions(cxxopts::Options &options, const std::vector<SpecFlag> &flags)
{
    auto add = options.add_options();
    add("from", "JSON file with the whole specification; - for standard input",
        cxxopts::value<std::string>());
    addExpectedOption(options);
    for (const auto &it : flags) {
        if (it.kind == FlagKind::Number)
            add(it.name, it.help, cxxopts::value<double>());
        else if (it.kind == FlagKind::TextList)
            add(it.name, it.help + "; may be repeated", cxxopts::value<std::vector<std::string>>());
        else
            add(it.name, it.help, cxxopts::value<std::string>());
    }
}

void addExpectedOption(cxxopts::Options &options)
{
    options.add_options()("expected", "version in which you saw the item; 0: it is new",
                          cxxopts::value<std::string>());
}

ErrorOr<ConfigVersion> expectedVersion(const CommandContext &context, const ItemStamp &stamp)
{
    if (!context.arguments.count("expected"))
        return stamp.changedIn;
    std::uint64_t n = 0;
    if (!absl::SimpleAtoi(context.arguments["expected"].as<std::string>(), &n))
        return makeError(ErrorCode::InvalidRequest, "--expected must be a version");
    return ConfigVersion(n);
}

namespace detail {

nlohmann::json numberJson(double value)
{
    // Whole numbers stay whole, as counts require.
    constexpr double maxWhole = 9e15;
    if (value >= 0 && value <= maxWhole && value == static_cast<double>(static_cast<std::uint64_t>(value)))
        return static_cast<std::uint64_t>(value);
    return value;
}

// A plain number counts seconds; otherwise the text has a unit, as in "90s" or "2m".
ErrorOr<double> readSeconds(const std::string &name, const std::string &text)
{
    double seconds = 0;
    absl::Duration duration;
    if (absl::SimpleAtod(text, &seconds))
        return seconds;
    if (absl::ParseDuration(text, &duration))
        return absl::ToDoubleSeconds(duration);
    return makeError(ErrorCode::InvalidRequest, "--" + name + " must be a duration such as 30 or 90s");
}

ErrorOr<nlohmann::json> readFrom(const std::string &file)
{
    auto text =
        file == "-" ? std::string(std::istreambuf_iterator<char>(std::cin), {}) : TRY(readTextFile(file));
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return makeError(ErrorCode::InvalidRequest, file + " holds no JSON object");
    json.erase("stamp");
    return json;
}

ErrorOr<nlohmann::json> readSpecJson(const CommandContext &context, const std::vector<SpecFlag> &flags,
                                     nlohmann::json current)
{
    auto json = std::move(current);
    json.erase("stamp");
    if (context.arguments.count("from")) {
        auto name = json.contains("name") ? std::string("name") : std::string("id");
        auto own = json[name];
        json = TRY(readFrom(context.arguments["from"].as<std::string>()));
        json[name] = own;
    }
    for (const auto &it : flags) {
        if (!context.arguments.count(it.name))
            continue;
        auto &field = json[nlohmann::json::json_pointer(it.field)];
        const auto &value = context.arguments[it.name];
        if (it.kind == FlagKind::Number)
            field = numberJson(value.as<double>());
        else if (it.kind == FlagKind::Seconds)
            field = numberJson(TRY(readSeconds(it.name, value.as<std::string>())));
        else if (it.kind == FlagKind::TextList)
            field = value.as<std::vector<std::string>>();
        else
            field = value.as<std::string>();
    }
    return json;
}

std::string firstLostField(const nlohmann::json &asked, const nlohmann::json &read)
{
    if (!asked.is_object() || !read.is_object())
        return asked == read ? "" : "/";
    for (const auto &[key, value] : asked.items()) {
        if (!read.contains(key))
            return key;
        auto lost = firstLostField(value, read[key]);
        if (!lost.empty())
            return lost == "/" ? key : absl::StrCat(key, "/", lost);
    }
    return {};
}

} // namespace detail

} // namespace Wisteria
