#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/CommandLine.h"

#include "PlatformServer.h"

namespace {

using namespace Currantfall;

constexpr int exitFailed = 1;
constexpr int exitInvalid = 2;

const std::vector<Common::Flag> flags = {
    { "address", "IP address to listen on, default 127.0.0.1", "IP" },
    { "port", "port to listen on, default 0: chosen by the system", "PORT" },
    { "vms", "JSON array with the initial entries of GET /vms", "FILE" },
    { "views", "JSON object of peer addresses in GET /vms by the host that readers dial", "FILE" },
    { "reads-per-s", "reads allowed per second, default 0: unlimited", "N" },
    { "writes-per-s", "writes allowed per second, default 0: unlimited", "N" },
    { "threads", "connections served at the same time, default 128", "N" },
    { "help", "print this help", "" },
};

/// A rate that may be a fraction.
Common::Result<double> rateOf(const Common::CommandLine &line, const std::string &flag)
{
    const std::string text = line.valueOr(flag, "0");
    double rate = 0.0;
    if (!absl::SimpleAtod(text, &rate) || !(rate >= 0.0 && rate <= 1e6)) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read settings", {},
                               "--" + flag + ": expected 0 to 1000000, found '" + text + "'");
    }
    return rate;
}

Common::Result<Standins::PlatformServerSettings> settingsOf(const Common::CommandLine &line)
{
    const auto port = line.number("port", 0, 0, 65535);
    const auto reads = rateOf(line, "reads-per-s");
    const auto writes = rateOf(line, "writes-per-s");
    const auto threads = line.number("threads", 128, 1, 1024);
    for (const auto &number : { port, threads }) {
        if (!number) {
            return tl::unexpected<Common::Error>(number.error());
        }
    }
    for (const auto &rate : { reads, writes }) {
        if (!rate) {
            return tl::unexpected<Common::Error>(rate.error());
        }
    }
    if (!line.positional().empty()) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read settings", {},
                               "unexpected argument '" + line.positional().front() + "'");
    }
    return Standins::PlatformServerSettings { line.valueOr("address", "127.0.0.1"),
                                              static_cast<int>(*port), *reads, *writes,
                                              static_cast<std::size_t>(*threads) };
}

Common::Result<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read " + path);
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

Common::Result<void> presetVms(const Common::CommandLine &line, Standins::VmDirectory &vms)
{
    Common::Result<void> result;
    if (const auto path = line.value("vms")) {
        result = readFile(*path).and_then([&vms](const auto &text) { return vms.preset(text); });
    }
    const auto views = line.value("views");
    if (!result || !views) {
        return result;
    }
    return readFile(*views).and_then([&vms](const auto &text) { return vms.setViews(text); });
}

int fail(const Common::Error &error, int code)
{
    std::cerr << "standin-platform: " << error.toString() << "\n";
    return code;
}

int serve(Standins::PlatformServer &server, const std::string &address, const sigset_t &signals)
{
    const auto port = server.bind();
    if (!port) {
        return fail(port.error(), exitFailed);
    }
    std::thread listener([&server] { server.run(); });
    while (!server.running()) {
        std::this_thread::yield();
    }
    const nlohmann::json line = { { "listening", address + ":" + std::to_string(*port) } };
    std::cout << line.dump() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    server.stop();
    listener.join();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    // Blocked before the first thread starts, so that only sigwait() takes them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const auto line = Common::CommandLine::parse(flags, "STANDIN_PLATFORM_", argc, argv);
    if (!line) {
        return fail(line.error(), exitInvalid);
    }
    if (line->enabled("help")) {
        std::cout << "standin-platform: in-memory table service, object store and VM list\n"
                  << Common::CommandLine::describe(flags);
        return 0;
    }
    const auto settings = settingsOf(*line);
    if (!settings) {
        return fail(settings.error(), exitInvalid);
    }
    Standins::PlatformServer server(*settings);
    if (auto preset = presetVms(*line, server.vms()); !preset) {
        return fail(preset.error(), exitInvalid);
    }
    return serve(server, settings->address, signals);
}
