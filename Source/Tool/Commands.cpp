#include "Commands.h"

#include <map>
#include <utility>

#include <absl/strings/str_format.h>

namespace Currantfall::Tool {

namespace {

using Command = ExitCode (*)(const ToolSettings &, Output &);

const std::map<std::string, Command> commands = {
    { "check", check }, { "diff", diff },     { "promote", promote }, { "rollback", rollback },
    { "drain", drain }, { "status", status }, { "lookup", lookup },
};

ExitCode runCommand(const ToolSettings &settings, Output &output)
{
    const auto command = commands.find(settings.command);
    if (command == commands.end()) {
        return output.invalid(Common::Error(make_error_code(Common::ErrorCode::InvalidInput),
                                            "read settings", {},
                                            "unknown command '" + settings.command + "'"));
    }
    return command->second(settings, output);
}

} // namespace

int runTool(int argc, const char *const *argv, std::ostream &out, std::ostream &errors)
{
    const auto settings = ToolSettings::parse(argc, argv);
    if (!settings) {
        Output output(false, out, errors);
        return static_cast<int>(output.invalid(settings.error()));
    }
    if (settings->help) {
        out << ToolSettings::usage();
        return 0;
    }
    if (settings->version) {
        out << "currantfall " << CURRANTFALL_VERSION << "\n";
        return 0;
    }
    Output output(settings->json, out, errors);
    return static_cast<int>(runCommand(*settings, output));
}

Common::Result<void> requireArguments(const ToolSettings &settings, std::size_t least,
                                      std::size_t most)
{
    const std::size_t count = settings.arguments.size();
    if (count >= least && count <= most) {
        return {};
    }
    const std::string range
            = least == most ? std::to_string(least) : absl::StrFormat("%d to %d", least, most);
    return Common::failure(Common::ErrorCode::InvalidInput, "read settings", {},
                           absl::StrFormat("%s takes %s arguments, found %d; see --help",
                                           settings.command, range, count));
}

Common::Result<Platform::PlatformClient> connectPlatform(const ToolSettings &settings)
{
    // Leaves time to resolve one unanswered write by reading the row.
    const Platform::PlatformTimeouts timeouts = { settings.timeout / 4, settings.timeout / 4 };
    return settings.required(settings.platform, "platform")
            .and_then([&](const std::string &address) {
                return Platform::PlatformClient::create(address, timeouts);
            });
}

Platform::RevisionStore<Platform::PlatformClient> revisionStore(Platform::PlatformClient &client,
                                                                const ToolSettings &settings,
                                                                const std::string &environment)
{
    Platform::RevisionStoreSettings store;
    store.environment = environment;
    store.timeout = settings.timeout;
    return Platform::RevisionStore<Platform::PlatformClient>(client, std::move(store));
}

ExitCode showRevision(const std::string &environment, const Platform::EnvironmentRow &row,
                      Output &output)
{
    const std::string text
            = absl::StrFormat("accepted revision %d of %s: document %s, operation %s\n",
                              row.revision(), environment, row.document(), row.operation());
    return output.show(text, { { "environment", environment },
                               { "revision", row.revision() },
                               { "document", row.document() },
                               { "operation", row.operation() },
                               { "operator", row.operatorName() } });
}

} // namespace Currantfall::Tool
