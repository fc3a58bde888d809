#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <optional>
#include <pthread.h>
#include <string>
#include <thread>
#include <vector>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "Control.h"
#include "Relay.h"

namespace {

using namespace Currantfall;
using Standins::Endpoint;
using Standins::LinkPair;

constexpr int exitFailed = 1;
constexpr int exitInvalidSettings = 2;

struct Options
{
    std::vector<LinkPair> pairs;
    Endpoint control;
};

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string port = text.substr(colon + 1);
    constexpr std::size_t maxPortDigits = 5;
    if (port.empty() || port.size() > maxPortDigits
        || port.find_first_not_of("0123456789") != std::string::npos || std::stoi(port) > 65'535) {
        return std::nullopt;
    }
    return Endpoint { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(port)) };
}

Common::Result<Endpoint> endpointOption(const std::string &name, const std::string &text)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read option --" + name, {},
                               "'" + text + "' is not IP:PORT");
    }
    return *endpoint;
}

Common::Result<Options> parseOptions(int argc, char **argv)
{
    cxxopts::Options description("standin-link", "TCP relay with faults");
    // Strings instead of vectors: cxxopts splits the values of vectors at commas.
    description.add_options()("listen", "IP:PORT to accept on; repeat with --target",
                              cxxopts::value<std::vector<std::string>>())(
            "target", "IP:PORT to relay to, one for each --listen",
            cxxopts::value<std::vector<std::string>>())(
            "control", "IP:PORT of POST /_control",
            cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    Options options;
    try {
        const cxxopts::ParseResult parsed = description.parse(argc, argv);
        const auto listens = parsed["listen"].as<std::vector<std::string>>();
        const auto targets = parsed["target"].as<std::vector<std::string>>();
        if (listens.size() != targets.size()) {
            return Common::failure(Common::ErrorCode::InvalidInput, "read options", {},
                                   "every --listen needs one --target");
        }
        for (std::size_t index = 0; index < listens.size(); ++index) {
            const Common::Result<Endpoint> listen = endpointOption("listen", listens[index]);
            const Common::Result<Endpoint> target = endpointOption("target", targets[index]);
            if (!listen || !target) {
                return tl::unexpected(listen ? target.error() : listen.error());
            }
            options.pairs.push_back({ *listen, *target });
        }
        const Common::Result<Endpoint> control
                = endpointOption("control", parsed["control"].as<std::string>());
        if (!control) {
            return tl::unexpected(control.error());
        }
        options.control = *control;
    } catch (const std::exception &error) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read options", {}, error.what());
    }
    return options;
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int fail(const Common::Error &error, int exitCode)
{
    Common::Log::forComponent("standin-link").error(error.toString());
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    const Common::Result<Options> options = parseOptions(argc, argv);
    if (!options) {
        return fail(options.error(), exitInvalidSettings);
    }
    // Before any thread starts, so that only sigwait() below gets the signals.
    const sigset_t signals = blockStopSignals();
    auto relay = Standins::Relay::create(options->pairs);
    if (!relay) {
        return fail(relay.error(), exitFailed);
    }
    std::thread thread([&relay] { (*relay)->run(); });
    int exitCode = 0;
    {
        const auto control = Standins::Control::start(**relay, options->control);
        if (control) {
            const Endpoint address { options->control.address, (*control)->port() };
            const nlohmann::json line { { "listening", (*relay)->listening() },
                                        { "control", Standins::toString(address) } };
            std::cout << line.dump() << std::endl; // Readers of a pipe wait for this line.
            int received = 0;
            sigwait(&signals, &received);
        } else {
            exitCode = fail(control.error(), exitFailed);
        }
        (*relay)->stop();
    }
    thread.join();
    return exitCode;
}
