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
constexpr std::size_t bytesPerMebibyte = std::size_t { 1024 } * 1024;
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
        { "hedging", "second attempts for slow idempotent requests: on (default) or off",
          "on|off" },
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
    const std::string hedging = line.valueOr("hedging", "on");
    if (hedging != "on" && hedging != "off") {
        return failure(ErrorCode::InvalidInput, step, {},
                       "--hedging must be on or off, not '" + hedging + "'");
    }
    Settings settings;
    settings.hedging = hedging == "on";
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
