#include <cctype>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <absl/strings/str_cat.h>
#include <cxxopts.hpp>

#include "Fleet.h"
#include "currantfall/Common/Log.h"
#include "currantfall/Configuration/DocumentReader.h"

namespace {

using namespace Currantfall;
using Json = nlohmann::json;

constexpr int operationFailed = 1;
constexpr int invalidSettings = 2;

// "service_time_ms" is the option --service-time-ms.
std::string optionName(std::string field)
{
    for (char &character : field) {
        character = character == '_' ? '-' : character;
    }
    return field;
}

// "--log-level" is also CURRANTFALL_LOG_LEVEL.
std::string variableName(const std::string &option)
{
    std::string name = "CURRANTFALL_";
    for (const char character : option) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(character));
    }
    return name;
}

std::optional<std::string> setting(const cxxopts::ParseResult &parsed, const std::string &option)
{
    if (parsed.count(option) > 0) {
        return parsed[option].as<std::string>();
    }
    const char *const variable = std::getenv(variableName(option).c_str());
    return variable == nullptr ? std::nullopt : std::optional<std::string>(variable);
}

cxxopts::Options describeOptions()
{
    cxxopts::Options options("standin-backend", "Serves the backend servers of a document.");
    auto add = options.add_options();
    add("environment", "environment document", cxxopts::value<std::string>());
    add("zone", "serve only servers of this zone", cxxopts::value<std::vector<std::string>>());
    add("server", "serve only this server", cxxopts::value<std::vector<std::string>>());
    add("seed", "seed of service times and faults", cxxopts::value<std::string>());
    add("log-level", "trace, debug, info, warn, error or off", cxxopts::value<std::string>());
    add("help", "show the options");
    const Json defaults = BackendStandin::toJson({});
    for (const auto &[field, value] : defaults.items()) {
        add(optionName(field), "default " + value.dump(), cxxopts::value<std::string>());
    }
    return options;
}

std::set<std::string> nameSet(const cxxopts::ParseResult &parsed, const std::string &option)
{
    if (parsed.count(option) == 0) {
        return {};
    }
    const auto &names = parsed[option].as<std::vector<std::string>>();
    return { names.begin(), names.end() };
}

Common::Result<BackendStandin::FleetOptions> readOptions(const cxxopts::ParseResult &parsed)
{
    BackendStandin::FleetOptions options;
    options.zones = nameSet(parsed, "zone");
    options.servers = nameSet(parsed, "server");
    Json changes = Json::object();
    const Json defaults = BackendStandin::toJson({});
    for (const auto &[field, value] : defaults.items()) {
        const auto text = setting(parsed, optionName(field));
        if (text) {
            const Json json = Json::parse(*text, nullptr, false);
            changes[field] = json.is_discarded() ? Json(*text) : json;
        }
    }
    auto behaviour = changed(options.behaviour, changes);
    if (!behaviour) {
        return tl::unexpected(std::move(behaviour.error()));
    }
    options.behaviour = *std::move(behaviour);
    options.seed = std::strtoull(setting(parsed, "seed").value_or("1").c_str(), nullptr, 10);
    return options;
}

std::optional<Configuration::Environment> readDocument(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << "standin-backend: can't read " << path << "\n";
        return std::nullopt;
    }
    auto environment = Configuration::parseEnvironment(text.str());
    if (environment) {
        return *std::move(environment);
    }
    for (const Configuration::Diagnostic &diagnostic : environment.error()) {
        std::cerr << path << ":" << diagnostic.toString() << "\n";
    }
    return std::nullopt;
}

int serve(const Configuration::Environment &environment,
          const BackendStandin::FleetOptions &options)
{
    const auto log = Common::Log::forComponent("standin-backend");
    // Threads inherit the mask, so that only this thread takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto fleet = BackendStandin::Fleet::start(environment, options);
    if (!fleet) {
        log.error(fleet.error().toString());
        return operationFailed;
    }
    log.info(absl::StrCat("serving ", (*fleet)->servers().size(), " backend servers"));
    int received = 0;
    sigwait(&signals, &received);
    log.info("stopping");
    (*fleet)->stop();
    log.info("stopped");
    return 0;
}

int run(int argc, char **argv)
{
    cxxopts::Options options = describeOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto fleetOptions = readOptions(parsed);
    const auto level = Common::Log::setLevel(setting(parsed, "log-level").value_or("info"));
    const auto path = setting(parsed, "environment");
    if (!fleetOptions || !level || !path) {
        std::cerr << "standin-backend: "
                  << (!fleetOptions ? fleetOptions.error().toString()
                      : !level      ? level.error().toString()
                                    : "--environment is missing")
                  << "\n";
        return invalidSettings;
    }
    const auto environment = readDocument(*path);
    return environment ? serve(*environment, *fleetOptions) : invalidSettings;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "standin-backend: " << error.what() << "\n";
        return invalidSettings;
    }
}
