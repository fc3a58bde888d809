#include "DeploymentFixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

#include <httplib.h>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;

constexpr int portBase = 7000;
constexpr int peerPort = portBase + 8;
constexpr int adminPort = portBase + 9;
constexpr int platformPort = 7900;
constexpr int callTimeoutSeconds = 15;
// A caller asks the next VM if one is frozen.
constexpr int lookupTimeoutSeconds = 1;
constexpr std::size_t backendSlots = 144;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The document at `path`; an empty object if there is no answer.
json getJson(const std::string &address, int port, const std::string &path,
             int timeoutSeconds = callTimeoutSeconds)
{
    httplib::Client client(address, port);
    client.set_read_timeout(timeoutSeconds);
    const auto response = client.Get(path);
    json document = response ? json::parse(response->body, nullptr, false) : json::object();
    return document.is_object() ? document : json::object();
}

} // namespace

DeploymentFixture::DeploymentFixture(const DeploymentOptions &options)
    : directory("/tmp/currantfall-" + std::to_string(getpid())),
      document(this->directory + "/environment.yaml"), zones { "lm-a", "lm-b", "ok-a",
                                                               "ok-b", "is-a", "is-b" }
{
    this->vmArguments = options.vmArguments;
    std::filesystem::create_directories(this->directory);
    this->writeDocument(options);
    this->startPlatform(options.zoneLinks);
    std::vector<std::string> common;
    for (const auto &[name, address] : this->backendAddresses) {
        const auto &separate = options.separate;
        if (std::find(separate.begin(), separate.end(), name) == separate.end()) {
            common.push_back(name);
        }
    }
    this->backendProcess = this->startBackends(common, options.backendArguments);
    if (!options.separate.empty()) {
        this->separateProcess = this->startBackends(options.separate, options.backendArguments);
    }
    if (this->runTool({ "promote", this->document }) != 0) {
        throw std::runtime_error("the document could not be promoted");
    }
    for (EntryVm &vm : this->vms) {
        const auto &without = options.without;
        if (std::find(without.begin(), without.end(), vm.name) == without.end()) {
            this->startVm(vm);
        }
    }
    for (const EntryVm &vm : this->vms) {
        if (vm.process != nullptr) {
            this->waitReady(vm);
        }
    }
    this->waitAllSlotsOwned();
    if (options.zoneLinks) {
        // VMs that hear of each other before they read the platform's list connect directly.
        waitUntil([this] { return this->directLinks() == 0; });
    }
}

DeploymentFixture::~DeploymentFixture()
{
    this->vms.clear();
    std::filesystem::remove_all(this->directory);
}

EntryVm &DeploymentFixture::vm(const std::string &name)
{
    for (EntryVm &vm : this->vms) {
        if (vm.name == name) {
            return vm;
        }
    }
    throw std::runtime_error("no VM " + name);
}

void DeploymentFixture::startPlatform(bool withLinks)
{
    const std::string address = this->addressOf(0, 9, 9);
    std::vector<std::string> arguments { "--address", address,
                                         "--port",    std::to_string(platformPort),
                                         "--vms",     this->directory + "/vms.json" };
    if (withLinks) {
        std::vector<LinkedVm> linked;
        for (const EntryVm &vm : this->vms) {
            linked.push_back({ vm.name, vm.zone, vm.address + ":" + std::to_string(peerPort) });
        }
        this->zoneLinks = std::make_unique<ZoneLinks>(
                this->zones, linked, address + ":" + std::to_string(platformPort),
                [this](int third, int fourth) { return this->addressOf(7, third, fourth); });
        const std::string views = this->directory + "/views.json";
        std::ofstream(views) << this->zoneLinks->platformViews().dump();
        arguments.insert(arguments.end(), { "--views", views });
    }
    this->platformProcess = std::make_unique<ProcessFixture>(STANDIN_PLATFORM_PATH, arguments);
    this->platformProcess->waitListening();
    if (withLinks) {
        this->zoneLinks->start();
    }
}

void DeploymentFixture::startVm(EntryVm &vm)
{
    const std::string platform
            = this->zoneLinks != nullptr
                      ? this->zoneLinks->platformOf(vm.zone)
                      : this->addressOf(0, 9, 9) + ":" + std::to_string(platformPort);
    std::vector<std::string> arguments { "--vm",          vm.name,       "--zone",
                                         vm.zone,         "--region",    vm.region,
                                         "--environment", "production",  "--address",
                                         vm.address,      "--port-base", std::to_string(portBase),
                                         "--platform",    platform,      "--log-level",
                                         "info" };
    arguments.insert(arguments.end(), this->vmArguments.begin(), this->vmArguments.end());
    vm.process = std::make_unique<ProcessFixture>(CURRANTFALLD_PATH, arguments);
}

void DeploymentFixture::waitReady(const EntryVm &vm) const
{
    waitUntil([&] { return getJson(vm.address, adminPort, "/healthz").value("ready", false); });
}

void DeploymentFixture::waitAllSlotsOwned() const
{
    waitUntil([this] {
        std::size_t slots = 0;
        for (const EntryVm &vm : this->vms) {
            if (vm.process == nullptr) {
                continue;
            }
            slots += this->status(vm).value("owned_slots", std::size_t { 0 });
        }
        return slots == backendSlots;
    });
}

std::size_t DeploymentFixture::directLinks() const
{
    std::map<std::uint32_t, std::string> zoneOf;
    for (const EntryVm &vm : this->vms) {
        zoneOf[inet_addr(vm.address.c_str())] = vm.zone;
    }
    const auto zoneAt = [&zoneOf](std::uint32_t address) {
        const auto found = zoneOf.find(address);
        return found == zoneOf.end() ? std::string() : found->second;
    };
    // Lines: number, local address, remote address, state; the addresses as in_addr.
    std::ifstream table("/proc/net/tcp");
    std::size_t links = 0;
    for (std::string line; std::getline(table, line);) {
        unsigned local = 0;
        unsigned remote = 0;
        unsigned port = 0;
        unsigned state = 0;
        constexpr unsigned established = 1;
        if (std::sscanf(line.c_str(), " %*u: %x:%*x %x:%x %x", &local, &remote, &port, &state) == 4
            && state == established && port == peerPort) {
            const std::string from = zoneAt(local);
            const std::string to = zoneAt(remote);
            links += !from.empty() && !to.empty() && from != to ? 1 : 0;
        }
    }
    return links;
}

void DeploymentFixture::setPlatformFaults(const json &faults) const
{
    httplib::Client client(this->addressOf(0, 9, 9), platformPort);
    client.Post("/_faults", faults.dump(), "application/json");
}

std::size_t DeploymentFixture::setBackendBehaviour(const json &behaviour,
                                                   const std::string &part) const
{
    std::size_t changed = 0;
    for (const auto &[name, address] : this->backendAddresses) {
        if (name.find(part) != std::string::npos) {
            httplib::Client client("http://" + address);
            const auto response
                    = client.Post("/_control/behaviour", behaviour.dump(), "application/json");
            changed += response ? 1 : 0;
        }
    }
    return changed;
}

json DeploymentFixture::status(const EntryVm &vm) const
{
    return getJson(vm.address, adminPort, "/status");
}

json DeploymentFixture::lookup(const std::string &service, const std::string &zone) const
{
    // VMs of the zone first. Not by whether the process runs: callers' threads come here while
    // the test starts and ends processes.
    std::vector<const EntryVm *> order;
    for (const EntryVm &vm : this->vms) {
        order.push_back(&vm);
    }
    std::stable_partition(order.begin(), order.end(),
                          [&](const EntryVm *vm) { return vm->zone == zone; });
    for (const EntryVm *vm : order) {
        json answer = getJson(vm->address, portBase,
                              "/v1/lookup?service=" + service + "&client=" + this->clientIn(zone),
                              lookupTimeoutSeconds);
        if (answer.contains("entries")) {
            return answer;
        }
    }
    return json::object();
}

int DeploymentFixture::runTool(const std::vector<std::string> &arguments) const
{
    return this->startTool(arguments).wait();
}

ProcessFixture DeploymentFixture::startTool(std::vector<std::string> arguments,
                                            const std::string &operatorName) const
{
    for (const std::string &argument :
         { std::string("--platform"), this->addressOf(0, 9, 9) + ":" + std::to_string(platformPort),
           std::string("--environment"), std::string("production"), std::string("--operator"),
           operatorName }) {
        arguments.push_back(argument);
    }
    return { CURRANTFALL_PATH, arguments };
}

json DeploymentFixture::executions(const std::vector<std::string> &requestIds) const
{
    httplib::Client client(this->addressOf(1, 1, 1), 9000);
    client.set_read_timeout(callTimeoutSeconds);
    const auto response = client.Post(
            "/_control/executions", json { { "requests", requestIds } }.dump(), "application/json");
    return response ? json::parse(response->body).at("requests") : json();
}

json DeploymentFixture::executionSummary() const
{
    return getJson(this->addressOf(1, 1, 1), 9000, "/_control/executions");
}

std::size_t DeploymentFixture::slotOverruns() const
{
    std::size_t overruns = 0;
    for (const EntryVm &vm : this->vms) {
        if (vm.process != nullptr) {
            overruns += this->status(vm).value("slot_overruns", std::size_t { 0 });
        }
    }
    return overruns;
}

double DeploymentFixture::metric(const std::string &name, const std::string &label) const
{
    double total = 0.0;
    for (const EntryVm &vm : this->vms) {
        httplib::Client client(vm.address, adminPort);
        const auto response = client.Get("/metrics");
        std::istringstream lines(response ? response->body : std::string());
        for (std::string line; std::getline(lines, line);) {
            const bool matches = line.starts_with(name + "{") || line.starts_with(name + " ");
            if (matches && line.find(label) != std::string::npos) {
                total += std::stod(line.substr(line.rfind(' ')));
            }
        }
    }
    return total;
}

std::string DeploymentFixture::clientIn(const std::string &zone) const
{
    const auto found = std::find(this->zones.begin(), this->zones.end(), zone);
    return this->addressOf(1 + static_cast<int>(found - this->zones.begin()), 200, 200);
}

std::string DeploymentFixture::addressOf(int second, int third, int fourth) const
{
    return "127." + std::to_string(this->addresses.firstOctet() + second) + "."
           + std::to_string(third) + "." + std::to_string(fourth);
}

void DeploymentFixture::writeDocument(const DeploymentOptions &options)
{
    std::string text = readFile(CURRANTFALL_EXAMPLES "/bellringer.yaml");
    // The example has zone N at 127.1N. The new octets are at least 40, so that no replacement is
    // replaced again.
    for (int zone = 1; zone <= static_cast<int>(this->zones.size()); ++zone) {
        const std::regex before("127\\.1" + std::to_string(zone) + "\\.");
        text = std::regex_replace(
                text, before, "127." + std::to_string(this->addresses.firstOctet() + zone) + ".");
    }
    if (options.editDocument) {
        text = options.editDocument(std::move(text));
    }
    std::ofstream(this->document) << text;
    const std::regex server("name: ([a-z0-9-]+), zone: [a-z0-9-]+, address: \"([0-9.:]+)\"");
    for (std::sregex_iterator match(text.begin(), text.end(), server), end; match != end; ++match) {
        this->backendAddresses[(*match)[1]] = (*match)[2];
    }
    json list = json::parse(readFile(CURRANTFALL_EXAMPLES "/bellringer-vms.json"));
    for (json &row : list) {
        std::string address = row["address"];
        address.replace(0, std::string("127.1.").size(),
                        "127." + std::to_string(this->addresses.firstOctet()) + ".");
        row["address"] = address;
        this->vms.push_back({ row["vm"], row["zone"], row["region"], address, nullptr });
    }
    std::ofstream(this->directory + "/vms.json") << list.dump();
}

std::unique_ptr<ProcessFixture>
DeploymentFixture::startBackends(const std::vector<std::string> &servers,
                                 const std::vector<std::string> &extra) const
{
    std::vector<std::string> arguments { "--environment", this->document, "--log-level", "warn" };
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    for (const std::string &server : servers) {
        arguments.push_back("--server");
        arguments.push_back(server);
    }
    return std::make_unique<ProcessFixture>(STANDIN_BACKEND_PATH, arguments);
}

} // namespace Currantfall::Tests
