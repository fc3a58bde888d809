#include "EntryDeployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <httplib.h>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;

constexpr int readinessPort = 8640;
constexpr int peersPort = 8649;
constexpr int metricsPort = 9464;
constexpr int storePort = 8642;
constexpr int serverPort = 8080;
constexpr int controlPort = 7901;
// Third octets of the addresses, one network for each purpose.
constexpr int vmNetwork = 1;
constexpr int vmRelayNetwork = 2;
constexpr int storeNetwork = 3;
constexpr int storeRelayNetwork = 4;
constexpr int serverNetwork = 5;
constexpr int serverRelayNetwork = 6;
constexpr int controlNetwork = 7;

constexpr double graceSeconds = 4.0;

struct Zone
{
    std::string name;
    std::string region;
};
const std::vector<Zone> allZones { { "north-a", "north" },
                                   { "north-b", "north" },
                                   { "south-a", "south" } };
const std::vector<std::string> services { "catalog", "orders", "photos" };

std::string endpoint(const std::string &host, int port)
{
    return host + ":" + std::to_string(port);
}

json serviceEntry(const std::string &name)
{
    return { { "name", name },  { "health_path", "/health" }, { "max_conns", 500 },
             { "cold_s", 1.0 }, { "cold_per_s", 20.0 },       { "protocol", "h1" },
             { "tls", false } };
}

json routeEntry(const std::string &name, const std::string &kind, int priority, int timeoutMs)
{
    return { { "name", name },
             { "prefix", "/" + name + "/" },
             { "kind", kind },
             { "timeout_ms", timeoutMs },
             { "target_latency_ms", 500 },
             { "priority", priority },
             { "max_attempts", 3 },
             { "sticky", true },
             { "allowed_regions", json::array() } };
}

bool answersOk(const std::string &host, int port, const std::string &path)
{
    httplib::Client client(host, port);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    const auto response = client.Get(path);
    return response && response->status == 200;
}

} // namespace

EntryDeployment::EntryDeployment()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "currantfall-soak-XXXXXX");
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary directory");
    }
    this->directory = pattern;
    this->storeStandin = std::make_unique<StoreStandin>(this->host(storeNetwork, 0), storePort);
    this->configure(0);
    for (const Zone &zone : allZones) {
        for (const std::string &service : services) {
            const std::size_t index = this->backendServers.size();
            this->backendServers.push_back(std::make_unique<SoakServer>(
                    this->executions,
                    SoakServer::Identity { "i-" + std::to_string(++this->incarnations), service,
                                           zone.name },
                    this->host(serverNetwork, index), serverPort));
            this->registerServer(index);
        }
        for (int number = 0; number < 2; ++number) {
            EntryVm vm;
            const std::size_t index = this->entryVms.size();
            vm.name = "entry-" + std::to_string(index + 1);
            vm.zone = zone.name;
            vm.region = zone.region;
            vm.host = this->host(vmNetwork, index);
            vm.relayHost = this->host(vmRelayNetwork, index);
            vm.settingsPath = this->directory + "/" + vm.name + ".json";
            this->entryVms.push_back(std::move(vm));
        }
    }
    this->startLinks();
    for (EntryVm &vm : this->entryVms) {
        this->writeSettings(vm, this->settingsOf(vm));
        this->start(vm);
    }
    this->awaitReady();
}

EntryDeployment::~EntryDeployment()
{
    for (EntryVm &vm : this->entryVms) {
        vm.process.reset();
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

std::string EntryDeployment::host(int network, std::size_t index) const
{
    return "127." + std::to_string(this->addresses.firstOctet()) + "." + std::to_string(network)
           + "." + std::to_string(index + 1);
}

void EntryDeployment::startLinks()
{
    std::vector<std::string> arguments { "--control",
                                         endpoint(this->host(controlNetwork, 0), controlPort) };
    const auto relay = [&arguments](const std::string &listen, const std::string &target) {
        arguments.insert(arguments.end(), { "--listen", listen, "--target", target });
    };
    for (std::size_t index = 0; index < this->entryVms.size(); ++index) {
        const EntryVm &vm = this->entryVms[index];
        relay(this->linkAddress(LinkKind::Callers, index), endpoint(vm.host, callersPort));
        relay(this->linkAddress(LinkKind::Peers, index), endpoint(vm.host, peersPort));
        relay(this->linkAddress(LinkKind::Store, index),
              endpoint(this->host(storeNetwork, 0), storePort));
    }
    for (std::size_t index = 0; index < this->backendServers.size(); ++index) {
        relay(this->linkAddress(LinkKind::Server, index),
              endpoint(this->host(serverNetwork, index), serverPort));
    }
    this->links.emplace(STANDIN_LINK_PATH, arguments);
    waitUntil([this] { return !this->links->output().empty() || !this->links->running(); });
    if (!this->links->running()) {
        throw std::runtime_error("the relay has ended: " + this->links->errors());
    }
}

std::string EntryDeployment::linkAddress(LinkKind kind, std::size_t index) const
{
    switch (kind) {
    case LinkKind::Callers:
        return endpoint(this->host(vmRelayNetwork, index), callersPort);
    case LinkKind::Peers:
        return endpoint(this->host(vmRelayNetwork, index), peersPort);
    case LinkKind::Store:
        return endpoint(this->host(storeRelayNetwork, index), storePort);
    case LinkKind::Server:
        return endpoint(this->host(serverRelayNetwork, index), serverPort);
    }
    return {};
}

std::size_t EntryDeployment::linkCount(LinkKind kind) const
{
    return kind == LinkKind::Server ? this->backendServers.size() : this->entryVms.size();
}

void EntryDeployment::setLink(LinkKind kind, std::size_t index, const json &settings) const
{
    httplib::Client client(this->host(controlNetwork, 0), controlPort);
    json body = settings;
    body["listen"] = this->linkAddress(kind, index);
    const auto response = client.Post("/_control", body.dump(), "application/json");
    if (!response || response->status != 200) {
        throw std::runtime_error("the link could not be set: " + body.dump());
    }
}

json EntryDeployment::settingsOf(const EntryVm &vm) const
{
    json zones = json::object();
    for (const Zone &zone : allZones) {
        zones[zone.name] = zone.region;
    }
    const std::size_t index = static_cast<std::size_t>(&vm - this->entryVms.data());
    return { { "vm", vm.name },
             { "zone", vm.zone },
             { "region", vm.region },
             { "address", vm.relayHost },
             { "first_start", true },
             { "zones", zones },
             { "listeners",
               { { "callers", endpoint(vm.host, callersPort) },
                 { "readiness", endpoint(vm.host, readinessPort) },
                 { "directory", endpoint(vm.host, directoryPort) },
                 { "peers", endpoint(vm.host, peersPort) },
                 { "metrics", endpoint(vm.host, metricsPort) } } },
             { "seeds", json::array() },
             { "store", { { "address", this->linkAddress(LinkKind::Store, index) } } },
             { "memory_mb", 260 },
             { "max_descriptors", 4100 },
             { "link_mbit_per_s", 1000 },
             { "processor_share", 1 },
             { "shutdown_grace_s", graceSeconds },
             { "lookup_ttl_max_s", 5 },
             { "server_drain_ms", 2000 },
             { "retries", { { "ratio", 0.5 }, { "extra", 600 }, { "window_s", 10 } } },
             { "cold", { { "overage", 1.5 }, { "extra", 5 } } },
             { "quota", { { "window_s", 5 }, { "overage", 0.1 }, { "extra", 20 } } } };
}

void EntryDeployment::writeSettings(const EntryVm &vm, const json &settings) const
{
    std::ofstream(vm.settingsPath) << settings.dump(2);
}

void EntryDeployment::rewriteSettings(EntryVm &vm, unsigned variant)
{
    json settings = this->settingsOf(vm);
    settings["lookup_ttl_max_s"] = 2 + variant % 4;
    this->writeSettings(vm, settings);
}

double EntryDeployment::shutdownGrace()
{
    return graceSeconds;
}

void EntryDeployment::start(EntryVm &vm, int clockShiftMs)
{
    vm.process.emplace(
            clockShiftMs == 0 ? CURRANTFALLD_PATH : CURRANTFALLD_SHIFTED_CLOCK_PATH,
            std::vector<std::string> { "--entry-settings-from", "CURRANTFALL_SOAK_SETTINGS" },
            std::vector<std::string> { "CURRANTFALL_SOAK_SETTINGS=" + vm.settingsPath,
                                       "CURRANTFALL_CLOCK_SHIFT_MS="
                                               + std::to_string(clockShiftMs) });
}

bool EntryDeployment::ready(const EntryVm &vm) const
{
    return answersOk(vm.host, readinessPort, "/readiness");
}

void EntryDeployment::awaitReady()
{
    for (const EntryVm &vm : this->entryVms) {
        waitUntil([&] { return this->ready(vm); });
        // The directory names all VMs of the caller's region once the VMs know each other.
        waitUntil([&] {
            httplib::Client client(vm.host, directoryPort);
            const auto response = client.Get("/resolve?name=shop.example&region=" + vm.region
                                             + "&zone=" + vm.zone);
            return response && response->status == 200
                   && json::parse(response->body).at("addresses").size() == 2;
        });
    }
}

void EntryDeployment::registerServer(std::size_t index, const std::string &state)
{
    SoakServer &server = *this->backendServers[index];
    this->storeStandin->put(
            "servers", server.identity().id,
            server.nextRow(this->linkAddress(LinkKind::Server, index), state).dump());
}

void EntryDeployment::unregisterServer(std::size_t index)
{
    this->storeStandin->remove("servers", this->backendServers[index]->identity().id);
}

void EntryDeployment::replaceServer(std::size_t index, const std::string &service)
{
    SoakServer &server = *this->backendServers[index];
    server.replace(
            { "i-" + std::to_string(++this->incarnations), service, server.identity().zone });
    this->registerServer(index);
}

void EntryDeployment::configure(unsigned variant)
{
    json read = routeEntry("read", "safe", 0, 6000);
    read["service"] = "catalog";
    json order = routeEntry("order", "unsafe", 1, variant % 2 == 0 ? 6000 : 5000);
    order["service"] = "orders";
    json photo = routeEntry("photo", "upload", 1, 6000);
    if (variant % 3 == 0) {
        photo["service"] = "photos";
    } else if (variant % 3 == 1) {
        photo["service"] = "catalog";
    } else {
        photo["traffic_split"] = json::array({ { { "service", "photos" }, { "weight", 80 } },
                                               { { "service", "catalog" }, { "weight", 20 } } });
    }
    json resident = routeEntry("resident", "unsafe", 1, 6000);
    resident["service"] = "orders";
    resident["allowed_regions"] = json::array({ "north" });
    json moving = routeEntry("moving", "safe", 0, 6000);
    moving["service"] = "catalog";
    if (variant % 3 != 2) {
        moving["allowed_regions"] = json::array({ variant % 3 == 0 ? "north" : "south" });
    }
    json list = json::array();
    for (const std::string &service : services) {
        list.push_back(serviceEntry(service));
    }
    json configuration {
        { "version", "r" + std::to_string(this->version += 1 + variant % 3) },
        { "services", list },
        { "limits",
          { { "max_header_bytes", 16384 },
            { "max_body_bytes", 1 << 20 },
            { "header_timeout_ms", 3000 },
            { "idle_timeout_ms", 15000 } } },
        { "virtual_hosts",
          json::array({ { { "host", "shop.example" },
                          { "paths", json::array({ read, order, photo, resident, moving }) } } }) }
    };
    if (!this->tenants.empty()) {
        configuration["tenants"] = this->tenants;
    }
    const auto begin = SoakClock::now();
    this->storeStandin->put("op", "config", configuration.dump());
    this->endPeriods();
    this->beginPeriod(begin);
}

std::vector<StoreStandin::LostWrite> EntryDeployment::restoreStore()
{
    const auto begin = SoakClock::now();
    std::vector<StoreStandin::LostWrite> lost = this->storeStandin->restoreCopy();
    this->beginPeriod(begin);
    return lost;
}

void EntryDeployment::writeAgain(const std::vector<StoreStandin::LostWrite> &lost)
{
    const auto begin = SoakClock::now();
    this->storeStandin->writeAgain(lost);
    this->endPeriods();
    this->beginPeriod(begin);
}

void EntryDeployment::beginPeriod(SoakClock::time_point begin)
{
    ConfigurationPeriod period { begin, {}, {} };
    const json configuration = json::parse(this->storeStandin->value("op", "config").value());
    for (const json &route : configuration.at("virtual_hosts").at(0).at("paths")) {
        const auto regions = route.at("allowed_regions").get<std::set<std::string>>();
        if (!regions.empty()) {
            period.homes[route.at("name")] = regions;
        }
    }
    this->periods.push_back(std::move(period));
}

void EntryDeployment::endPeriods()
{
    const auto now = SoakClock::now();
    for (ConfigurationPeriod &period : this->periods) {
        period.end = period.end.value_or(now);
    }
}

void EntryDeployment::evacuate(const std::string &zone, bool wanted)
{
    const std::string key = "evacuate/" + zone;
    if (wanted) {
        this->storeStandin->put("op", key, "{}");
    } else {
        this->storeStandin->remove("op", key);
    }
}

const std::string &EntryDeployment::zoneOf(unsigned choice)
{
    return allZones[choice % allZones.size()].name;
}

std::string EntryDeployment::regionOfServer(const std::string &address) const
{
    const auto server
            = std::find_if(this->backendServers.begin(), this->backendServers.end(),
                           [&](const auto &candidate) { return candidate->address() == address; });
    const std::string zoneName = (*server)->identity().zone;
    return std::find_if(allZones.begin(), allZones.end(),
                        [&](const Zone &zone) { return zone.name == zoneName; })
            ->region;
}

std::vector<std::string> EntryDeployment::servicesOf(const std::string &route)
{
    if (route == "read" || route == "moving") {
        return { "catalog" };
    }
    return route == "order" || route == "resident"
                   ? std::vector<std::string> { "orders" }
                   : std::vector<std::string> { "photos", "catalog" };
}

} // namespace Currantfall::Tests
