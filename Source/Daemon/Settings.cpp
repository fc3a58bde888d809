#include "Settings.h"

#include <arpa/inet.h>
#include <limits>
#include <vector>

#include "currantfall/Common/CommandLine.h"

namespace Currantfall::Daemon {

namespace {

using Common::CommandLine;
using Common::ErrorCode;
using Common::failure;

constexpr std::uint16_t peerPortOffset = 8;
constexpr std::uint16_t adminPortOffset = 9;
constexpr long greatestPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t bytesPerMebibyte = 1024 * 1024;
constexpr const char *environmentPrefix = "CURRANTFALL_";
constexpr const char *step = "read settings";

const std::vector<Common::Flag> &flags()
{
    static const std::vector<Common::Flag> all {
        { "vm", "name of this entry VM", "NAME" },
        { "zone", "availability zone of this VM", "NAME" },
        { "region", "region of the availability zone", "NAME" },
        { "environment", "environment whose document is served", "NAME" },
        { "address", "IPv4 address to listen on", "IP" },
        { "port-base", "first of the ten ports of this VM (default 7000)", "PORT" },
        { "platform", "table service, object store and VM list", "IP:PORT" },
        { "log-level", "trace, debug, info (default), warn, error or off", "LEVEL" },
        { "connections-per-rank", "caller connections served at once per rank (default 400)", "N" },
        { "body-memory-mb", "MiB of request bodies held at the same time (default 256)", "N" },
        { "help", "print this text", "" },
        { "version", "print the version", "" },
    };
    return all;
}

Common::Result<std::string> required(const CommandLine &line, const std::string &name)
{
    auto value = line.value(name);
    if (!value) {
        return failure(ErrorCode::InvalidInput, step, {}, "--" + name + " is required");
    }
    return std::move(*value);
}

Common::Result<std::string> requiredName(const CommandLine &line, const std::string &option)
{
    auto value = required(line, option);
    if (value && !Common::isValidName(*value)) {
        return failure(ErrorCode::InvalidInput, step, {},
                       "--" + option + " must be 1 to 63 of a-z, 0-9 and '-', not '" + *value
                               + "'");
    }
    return value;
}

Common::Result<std::string> requiredAddress(const CommandLine &line, const std::string &option)
{
    auto value = required(line, option);
    in_addr parsed {};
    if (value && inet_pton(AF_INET, value->c_str(), &parsed) != 1) {
        return failure(ErrorCode::InvalidInput, step, {},
                       "--" + option + " must be an IPv4 address, not '" + *value + "'");
    }
    return value;
}

Common::Result<Settings> readSettings(const CommandLine &line)
{
    const auto vm = requiredName(line, "vm");
    const auto zone = requiredName(line, "zone");
    const auto region = requiredName(line, "region");
    const auto environment = requiredName(line, "environment");
    const auto address = requiredAddress(line, "address");
    const auto platform = required(line, "platform");
    for (const auto *text : { &vm, &zone, &region, &environment, &address, &platform }) {
        if (!*text) {
            return tl::unexpected(text->error());
        }
    }
    const auto portBase = line.number("port-base", 7000, 1, greatestPort - adminPortOffset);
    const auto connections = line.number("connections-per-rank", 400, 1, 10000);
    const auto memory = line.number("body-memory-mb", 256, 1, 65536);
    for (const auto *number : { &portBase, &connections, &memory }) {
        if (!*number) {
            return tl::unexpected(number->error());
        }
    }
    Settings settings;
    settings.vm = Common::VmName(*vm);
    settings.zone = Common::ZoneName(*zone);
    settings.region = Common::RegionName(*region);
    settings.environment = *environment;
    settings.address = *address;
    settings.portBase = static_cast<std::uint16_t>(*portBase);
    settings.platform = *platform;
    settings.logLevel = line.valueOr("log-level", "info");
    settings.connectionsPerRank = static_cast<std::size_t>(*connections);
    settings.bodyMemory = static_cast<std::size_t>(*memory) * bytesPerMebibyte;
    return settings;
}

} // namespace

std::uint16_t peerPortOffset = 8;
constexpr std::uint16_t adminPortOffset = 9;
constexpr std::size_t bytesPerMebibyte = 1024 * 1024;
constexpr const char *step = "read settings";

struct Option
{
    const char *name;
    const char *description;
    const char *defaultValue; // nullptr for a required setting.
};

constexpr std::array options = {
    Option { "vm", "name of this entry VM", nullptr },
    Option { "zone", "availability zone of this VM", nullptr },
    Option { "region", "region of the availability zone", nullptr },
    Option { "environment", "name of the environment document to serve", nullptr },
    Option { "address", "IPv4 address to listen on", nullptr },
    Option { "port-base", "first of the ten ports of this VM", "7000" },
    Option { "platform", "HOST:PORT of the platform's table service and object store", nullptr },
    Option { "log-level", "trace, debug, info, warn, error or off", "info" },
    Option { "connections-per-rank", "caller connections served at once for each rank", "400" },
    Option { "body-memory-mb", "MiB of request bodies held at the same time", "256" },
};

std::string variableName(const std::string &option)
{
    std::string name = "CURRANTFALL_" + option;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return character == '-' ? '_' : static_cast<char>(std::toupper(character));
    });
    return name;
}

/// Looks a setting up in the command line, then in the environment, then in the defaults.
class Values
{
public:
    explicit Values(const cxxopts::ParseResult &result) : parsed(result) { }

    Common::Result<std::string> text(const std::string &name) const
    {
        if (this->parsed.count(name) > 1) {
            return failure(ErrorCode::InvalidInput, step, {}, "--" + name + " is given twice");
        }
        if (this->parsed.count(name) == 1) {
            return this->parsed[name].as<std::string>();
        }
        if (const char *value = std::getenv(variableName(name).c_str()); value != nullptr) {
            return std::string(value);
        }
        const auto *const option
                = std::find_if(options.begin(), options.end(),
                               [&name](const Option &candidate) { return name == candidate.name; });
        if (option == options.end() || option->defaultValue == nullptr) {
            return failure(ErrorCode::InvalidInput, step, {},
                           "--" + name + " or " + variableName(name) + " is required");
        }
        return std::string(option->defaultValue);
    }

    Common::Result<std::size_t> number(const std::string &name, std::size_t least,
                                       std::size_t greatest) const
    {
        const auto value = this->text(name);
        if (!value) {
            return tl::unexpected(value.error());
        }
        return parseNumber(name, *value, least, greatest);
    }

    Common::Result<std::string> name(const std::string &option) const
    {
        auto value = this->text(option);
        if (value && !Common::isValidName(*value)) {
            return failure(ErrorCode::InvalidInput, step, {},
                           "--" + option + " must be 1 to 63 of a-z, 0-9 and '-', not '" + *value
                                   + "'");
        }
        return value;
    }

    static Common::Result<std::size_t> parseNumber(const std::string &name,
                                                   const std::string &value, std::size_t least,
                                                   std::size_t greatest)
    {
        const bool digits = !value.empty() && value.size() <= 9
                            && std::all_of(value.begin(), value.end(), [](unsigned char character) {
                                   return std::isdigit(character);
                               });
        const std::size_t number = digits ? std::stoul(value) : 0;
        if (!digits || number < least || number > greatest) {
            return failure(ErrorCode::InvalidInput, step, {},
                           "--" + name + " must be a number from " + std::to_string(least) + " to "
                                   + std::to_string(greatest) + ", not '" + value + "'");
        }
        return number;
    }

private:
    const cxxopts::ParseResult &parsed;
};

bool isIpv4Address(const std::string &text)
{
    in_addr parsed {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

Common::Result<void> readPlatform(const std::string &text, Settings &settings)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !isIpv4Address(text.substr(0, colon))) {
        return failure(ErrorCode::InvalidInput, step, {},
                       "--platform must be an IPv4 address and port, not '" + text + "'");
    }
    const auto port = Values::parseNumber("platform", text.substr(colon + 1), 1,
                                          std::numeric_limits<std::uint16_t>::max());
    if (!port) {
        return tl::unexpected(port.error());
    }
    settings.platformHost = text.substr(0, colon);
    settings.platformPort = static_cast<std::uint16_t>(*port);
    return {};
}

Common::Result<Settings> readSettings(const Values &values)
{
    const auto vm = values.name("vm");
    const auto zone = values.name("zone");
    const auto region = values.name("region");
    const auto environment = values.name("environment");
    const auto address = values.text("address");
    const auto platform = values.text("platform");
    const auto logLevel = values.text("log-level");
    for (const auto *text : { &vm, &zone, &region, &environment, &address, &platform, &logLevel }) {
        if (!*text) {
            return tl::unexpected(text->error());
        }
    }
    const auto portBase = values.number(
            "port-base", 1, std::numeric_limits<std::uint16_t>::max() - adminPortOffset);
    const auto connections = values.number("connections-per-rank", 1, 10000);
    const auto memory = values.number("body-memory-mb", 1, 65536);
    for (const auto *number : { &portBase, &connections, &memory }) {
        if (!*number) {
            return tl::unexpected(number->error());
        }
    }
    if (!isIpv4Address(*address)) {
        return failure(ErrorCode::InvalidInput, step, {},
                       "--address must be an IPv4 address, not '" + *address + "'");
    }
    Settings settings;
    settings.vm = Common::VmName(*vm);
    settings.zone = Common::ZoneName(*zone);
    settings.region = Common::RegionName(*region);
    settings.environment = *environment;
    settings.address = *address;
    settings.portBase = static_cast<std::uint16_t>(*portBase);
    settings.logLevel = *logLevel;
    settings.connectionsPerRank = *connections;
    settings.bodyMemory = *memory * bytesPerMebibyte;
    if (const auto read = readPlatform(*platform, settings); !read) {
        return tl::unexpected(read.error());
    }
    return settings;
}

} // namespace

std::uint16_t Settings::rankPort(Common::RankIndex rank) const
{
    return rankPortOf(this->portBase, rank);
}

std::uint16_t Settings::peerPort() const
{
    return peerPortOf(this->portBase);
}

std::uint16_t Settings::adminPort() const
{
    return this->portBase + adminPortOffset;
}

std::uint16_t peerPortOf(std::uint16_t portBase)
{
    return static_cast<std::uint16_t>(portBase + peerPortOffset);
}

std::uint16_t rankPortOf(std::uint16_t portBase, Common::RankIndex rank)
{
    return static_cast<std::uint16_t>(portBase + 1 + rank);
}

Common::Result<Invocation> readInvocation(int argumentCount, const char *const *arguments)
{
    const auto line = CommandLine::parse(flags(), environmentPrefix, argumentCount, arguments);
    if (!line) {
        return tl::unexpected(line.error());
    }
    if (line->enabled("help")) {
        return Invocation { std::nullopt,
                            "Usage: currantfalld FLAG...\n\n" + CommandLine::describe(flags()) };
    }
    if (line->enabled("version")) {
        return Invocation { std::nullopt, "currantfalld " CURRANTFALL_VERSION "\n" };
    }
    if (!line->positional().empty()) {
        return failure(ErrorCode::InvalidInput, step, {},
                       "unexpected argument '" + line->positional().front() + "'");
    }
    auto settings = readSettings(*line);
    if (!settings) {
        return tl::unexpected(settings.error());
    }
    return Invocation { std::move(*settings), {} };
}

} // namespace Currantfall::Daemon
