#include "ToolSettings.h"

#include <limits>
#include <utility>

#include "currantfall/Common/CommandLine.h"

namespace Currantfall::Tool {

namespace {

const std::vector<Common::Flag> flags = {
    { "platform", "address of the platform's service", "HOST:PORT" },
    { "environment", "name of the environment; default for files: the document's", "NAME" },
    { "operator", "name that the revision is recorded under", "NAME" },
    { "daemon", "admin address of a daemon; default: all listed VMs", "HOST:PORT", true },
    { "timeout-ms", "upper bound of the operation, default 10000", "N" },
    { "json", "print JSON", "" },
    { "force", "drain start: ignore missing load data and overload", "", false, false },
    { "to", "rollback: the revision whose document to restore", "REVISION", false, false },
    { "expect", "promote: the revision that must be in force; 0: none", "REVISION", false, false },
    { "help", "print this help", "", false, false },
    { "version", "print the version", "", false, false },
};

constexpr const char *commands = R"(Usage: currantfall COMMAND [FLAGS]

  check FILE                    check an environment document
  diff FILE FILE                show the differences between two documents
  diff FILE                     show what promoting the document would change
  promote FILE                  put a document in force
  rollback [--to REVISION]      put an earlier document in force as a new revision
  drain start KIND NAME         take a backend-server, vm, zone or region out of service
  drain finish KIND NAME        return it to service
  drain status KIND NAME        show what still holds it
  status                        show the revision in force and what each VM has in force
  lookup SERVICE                show the entry VMs that a caller would get

)";

constexpr const char *exitCodes = R"(
Each flag but the last five is also an environment variable: --timeout-ms is
CURRANTFALL_TIMEOUT_MS. Exit codes: 0 success, 1 failed or refused, 2 invalid input or
settings, 3 platform or daemon unreachable or result unknown, 4 lost a race with another
operator.
)";

tl::unexpected<Common::Error> invalid(const std::string &detail)
{
    return Common::failure(Common::ErrorCode::InvalidInput, "read settings", {}, detail);
}

Common::Result<void> readNumbers(const Common::CommandLine &line, ToolSettings &settings)
{
    constexpr long maxTimeoutMs = 600'000;
    constexpr long maxRevision = std::numeric_limits<long>::max();
    const auto timeout = line.number("timeout-ms", 10'000, 1, maxTimeoutMs);
    const auto target = line.number("to", 0, 1, maxRevision);
    const auto expected = line.number("expect", 0, 0, maxRevision);
    for (const auto &number : { timeout, target, expected }) {
        if (!number) {
            return tl::unexpected<Common::Error>(number.error());
        }
    }
    settings.timeout = absl::Milliseconds(*timeout);
    if (line.enabled("to")) {
        settings.target = static_cast<Common::Revision>(*target);
    }
    if (line.enabled("expect")) {
        settings.expected = static_cast<Common::Revision>(*expected);
    }
    return {};
}

Common::Result<void> readAddresses(const Common::CommandLine &line, ToolSettings &settings)
{
    settings.platform = line.value("platform");
    if (settings.platform) {
        if (auto address = Platform::HostPort::parse(*settings.platform); !address) {
            return invalid("--platform: " + address.error().detail());
        }
    }
    for (const std::string &text : line.values("daemon")) {
        const auto address = Platform::HostPort::parse(text);
        if (!address) {
            return invalid("--daemon: " + address.error().detail());
        }
        settings.daemons.push_back(*address);
    }
    return {};
}

Common::Result<void> readNames(const Common::CommandLine &line, ToolSettings &settings)
{
    settings.environment = line.value("environment");
    settings.operatorName = line.value("operator");
    if (settings.environment && !Common::isValidName(*settings.environment)) {
        return invalid("--environment: '" + *settings.environment + "' is not a name");
    }
    if (settings.operatorName && settings.operatorName->empty()) {
        return invalid("--operator: the name is empty");
    }
    return {};
}

/// Refuses flags that the command does not have.
Common::Result<void> requireFit(const ToolSettings &settings)
{
    const bool startsDrain = settings.command == "drain" && !settings.arguments.empty()
                             && settings.arguments.front() == "start";
    if (settings.force && !startsDrain) {
        return invalid("--force is for drain start only");
    }
    if (settings.target && settings.command != "rollback") {
        return invalid("--to is for rollback only");
    }
    if (settings.expected && settings.command != "promote") {
        return invalid("--expect is for promote only");
    }
    return {};
}

} // namespace

Common::Result<ToolSettings> ToolSettings::parse(int argc, const char *const *argv)
{
    const auto line = Common::CommandLine::parse(flags, "CURRANTFALL_", argc, argv);
    if (!line) {
        return tl::unexpected<Common::Error>(line.error());
    }
    ToolSettings settings;
    settings.json = line->enabled("json");
    settings.force = line->enabled("force");
    settings.help = line->enabled("help");
    settings.version = line->enabled("version");
    if (settings.help || settings.version) {
        return settings;
    }
    if (line->positional().empty()) {
        return invalid("no command; see --help");
    }
    settings.command = line->positional().front();
    settings.arguments.assign(line->positional().begin() + 1, line->positional().end());
    return readNumbers(*line, settings)
            .and_then([&] { return readAddresses(*line, settings); })
            .and_then([&] { return readNames(*line, settings); })
            .and_then([&] { return requireFit(settings); })
            .map([&] { return settings; });
}

std::string ToolSettings::usage()
{
    return commands + Common::CommandLine::describe(flags) + exitCodes;
}

Common::Result<std::string> ToolSettings::required(const std::optional<std::string> &value,
                                                   const std::string &flag) const
{
    if (!value) {
        return invalid(this->command + " needs --" + flag);
    }
    return *value;
}

} // namespace Currantfall::Tool
