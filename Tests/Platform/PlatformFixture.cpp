#include "PlatformFixture.h"

#include <stdexcept>
#include <unistd.h>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;

std::vector<std::string> standinArguments(const std::vector<std::string> &arguments)
{
    std::vector<std::string> all = { "--address", ownAddress() };
    all.insert(all.end(), arguments.begin(), arguments.end());
    return all;
}

std::string bodyOf(const httplib::Result &result)
{
    if (!result || result->status >= 300) {
        throw std::runtime_error("the stand-in refused: "
                                 + (result ? result->body : httplib::to_string(result.error())));
    }
    return result->body;
}

/// Lets a server end its first request before others start. The library initialises its tables
/// then; it is not built for ThreadSanitizer, which takes the first requests of two servers for a
/// race.
bool warmUpHttpServer()
{
    httplib::Server server;
    const int port = server.bind_to_any_port(ownAddress());
    std::thread thread([&server] { server.listen_after_bind(); });
    waitUntil([&server] { return server.is_running(); });
    const bool answered = static_cast<bool>(httplib::Client(ownAddress(), port).Get("/"));
    server.stop();
    thread.join();
    return answered;
}

} // namespace

std::string ownAddress()
{
    const int number = getpid() % 62500;
    return "127.60." + std::to_string(1 + number / 250) + "." + std::to_string(1 + number % 250);
}

PlatformFixture::PlatformFixture(const std::vector<std::string> &arguments)
    : server(STANDIN_PLATFORM_PATH, standinArguments(arguments)),
      listening(this->server.waitListening()), client("http://" + this->listening)
{ }

void PlatformFixture::setFaults(const json &change)
{
    bodyOf(this->client.Post("/_faults", change.dump(), "application/json"));
}

json PlatformFixture::statistics()
{
    return json::parse(bodyOf(this->client.Get("/_stats")));
}

void PlatformFixture::putVm(const std::string &vm, const json &entry)
{
    bodyOf(this->client.Put("/_vms/" + vm, entry.dump(), "application/json"));
}

json PlatformFixture::row(const std::string &environment)
{
    const auto result = this->client.Get("/tables/environments/rows/" + environment);
    if (result && result->status == 404) {
        return {};
    }
    return json::parse(bodyOf(result));
}

ProcessFixture PlatformFixture::start(const std::string &operatorName,
                                      const std::vector<std::string> &arguments)
{
    return { CURRANTFALL_PATH,
             arguments,
             { "CURRANTFALL_PLATFORM=" + this->listening, "CURRANTFALL_OPERATOR=" + operatorName,
               // Far above what a loaded machine needs, so that no verdict depends on time.
               "CURRANTFALL_TIMEOUT_MS=60000" } };
}

ToolResult PlatformFixture::run(const std::vector<std::string> &arguments)
{
    ProcessFixture tool = this->start("ana", arguments);
    return finish(tool);
}

ToolResult finish(ProcessFixture &tool)
{
    const int exitCode = tool.wait();
    return { exitCode, tool.output(), tool.errors() };
}

FakeDaemon::FakeDaemon(int portBase, const json &status) : portBase(portBase), status(status)
{
    this->admin.Get("/status", [this](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(this->mutex);
        response.set_content(this->status.dump(), "application/json");
    });
    this->lookups.Get("/v1/lookup", [this](const httplib::Request &, httplib::Response &response) {
        json entry = this->entry();
        entry["port"] = this->portBase + 1;
        const json answer = { { "entries", json::array({ entry }) } };
        response.set_content(answer.dump(), "application/json");
    });
    this->serve(this->lookups, portBase);
    this->serve(this->admin, portBase + 9);
}

FakeDaemon::~FakeDaemon()
{
    this->admin.stop();
    this->lookups.stop();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void FakeDaemon::serve(httplib::Server &server, int port)
{
    static const bool warmedUp = warmUpHttpServer();
    static_cast<void>(warmedUp);
    server.new_task_queue = [] { return new httplib::ThreadPool(2); };
    if (!server.bind_to_port(ownAddress(), port)) {
        throw std::runtime_error("the port is in use");
    }
    this->threads.emplace_back([&server] { server.listen_after_bind(); });
    waitUntil([&server] { return server.is_running(); });
}

void FakeDaemon::setStatus(const json &changed)
{
    const std::lock_guard lock(this->mutex);
    this->status = changed;
}

json FakeDaemon::entry() const
{
    const std::lock_guard lock(this->mutex);
    return { { "vm", this->status["vm"] },       { "zone", this->status["zone"] },
             { "region", "region-of-the-zone" }, { "address", ownAddress() },
             { "port_base", this->portBase },    { "state", "live" } };
}

} // namespace Currantfall::Tests
