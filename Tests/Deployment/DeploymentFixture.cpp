#include "DeploymentFixture.h"

#include <algorithm>
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

// Request ids of several groups of callers must differ.
std::atomic<int> instances { 0 };

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

/// Whether an answer is whole and belongs to the request. A backend server that gives up at the
/// deadline says so without naming the request.
bool isOwnAnswer(const httplib::Response &response, const std::string &requestId)
{
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return false;
    }
    constexpr int deadlinePassed = 504;
    return response.status == deadlinePassed
                   ? !body.value("finished", true) && body.value("reason", "") == "expired"
                   : body.value("request", "") == requestId;
}

} // namespace

DeploymentFixture::DeploymentFixture(const DeploymentOptions &options)
    : directory("/tmp/currantfall-" + std::to_string(getpid())),
      document(this->directory + "/environment.yaml"), zones { "lm-a", "lm-b", "ok-a",
                                                               "ok-b", "is-a", "is-b" }
{
    std::filesystem::create_directories(this->directory);
    this->writeDocument(options);
    this->startPlatform(options.zoneLinks);
    std::vector<std::string> arguments { "--environment", this->document, "--log-level", "warn" };
    arguments.insert(arguments.end(), options.backendArguments.begin(),
                     options.backendArguments.end());
    this->backendProcess = std::make_unique<ProcessFixture>(STANDIN_BACKEND_PATH, arguments);
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
    vm.process = std::make_unique<ProcessFixture>(
            CURRANTFALLD_PATH,
            std::vector<std::string> { "--vm", vm.name, "--zone", vm.zone, "--region", vm.region,
                                       "--environment", "production", "--address", vm.address,
                                       "--port-base", std::to_string(portBase), "--platform",
                                       platform, "--log-level", "info" });
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
            for (const auto &service : this->status(vm).value("services", json::object())) {
                slots += service.at("slots").get<std::size_t>();
            }
        }
        return slots == backendSlots;
    });
}

void DeploymentFixture::setPlatformFaults(const json &faults) const
{
    httplib::Client client(this->addressOf(0, 9, 9), platformPort);
    client.Post("/_faults", faults.dump(), "application/json");
}

void DeploymentFixture::setBackendBehaviour(const json &behaviour, const std::string &scope) const
{
    httplib::Client client(this->addressOf(1, 1, 1), 9000);
    client.Post("/_control/behaviour?scope=" + scope, behaviour.dump(), "application/json");
}

json DeploymentFixture::status(const EntryVm &vm) const
{
    return getJson(vm.address, adminPort, "/status");
}

json DeploymentFixture::lookup(const std::string &service, const std::string &zone) const
{
    const auto ask = [&](bool sameZone) {
        for (const EntryVm &vm : this->vms) {
            if (vm.process == nullptr || (vm.zone == zone) != sameZone) {
                continue;
            }
            json answer
                    = getJson(vm.address, portBase,
                              "/v1/lookup?service=" + service + "&client=" + this->clientIn(zone),
                              lookupTimeoutSeconds);
            if (answer.contains("entries")) {
                return answer;
            }
        }
        return json(json::object());
    };
    // A caller in a zone that is cut off reaches only that zone's VMs.
    json answer = ask(true);
    return answer.contains("entries") ? answer : ask(false);
}

int DeploymentFixture::runTool(std::vector<std::string> arguments) const
{
    for (const std::string &argument :
         { std::string("--platform"), this->addressOf(0, 9, 9) + ":" + std::to_string(platformPort),
           std::string("--environment"), std::string("production"), std::string("--operator"),
           std::string("test") }) {
        arguments.push_back(argument);
    }
    ProcessFixture tool(CURRANTFALL_PATH, arguments);
    return tool.wait();
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

Callers::Callers(const DeploymentFixture &deployment, std::size_t threads, bool keyed,
                 const std::vector<std::string> &zones, std::size_t uploadBytes)
    : deployment(deployment), instance(++instances), keyed(keyed),
      zones(zones.empty() ? deployment.zoneNames() : zones), uploadBytes(uploadBytes)
{
    for (std::size_t index = 0; index < threads; ++index) {
        this->threads.emplace_back([this, index] { this->run(index); });
    }
}

Callers::~Callers()
{
    this->finish();
}

std::vector<CallRecord> Callers::finish()
{
    this->stopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    const std::lock_guard lock(this->mutex);
    return this->records;
}

void Callers::run(std::size_t index)
{
    for (std::uint64_t number = 0; !this->stopping; ++number) {
        const std::string &zone = this->zones[(index + number) % this->zones.size()];
        CallRecord record = this->call(index, number, zone);
        const std::lock_guard lock(this->mutex);
        this->records.push_back(std::move(record));
        ++this->completedCalls;
    }
}

std::string Callers::service() const
{
    if (this->uploadBytes > 0) {
        return "scrollcast";
    }
    return this->keyed ? "bellbook" : "slotview";
}

httplib::Result Callers::send(httplib::Client &client, const std::string &requestId,
                              const std::string &key) const
{
    const httplib::Headers headers { { "Currantfall-Request", requestId },
                                     { "Idempotency-Key", key } };
    if (this->uploadBytes > 0) {
        return client.Put("/scrollcast/recordings/" + requestId, headers,
                          std::string(this->uploadBytes, 'x'), "application/octet-stream");
    }
    if (this->keyed) {
        return client.Post("/bellbook/bookings", headers, "body of " + requestId, "text/plain");
    }
    return client.Get("/slotview/availability?id=" + requestId, headers);
}

CallRecord Callers::call(std::size_t index, std::uint64_t number, const std::string &zone)
{
    CallRecord record;
    record.requestId = (this->keyed ? "booking-" : "query-") + std::to_string(this->instance) + "-"
                       + std::to_string(index) + "-" + std::to_string(number);
    record.keyed = this->keyed;
    record.outcome = "unreachable";
    const json found = this->deployment.lookup(this->service(), zone);
    const json entries = found.value("entries", json::array());
    if (entries.empty()) {
        return record;
    }
    // A repeat goes to another entry VM with the same key.
    const std::string key
            = entries.front().value("key_prefix", std::string()) + "." + record.requestId;
    for (const json &entry : entries) {
        httplib::Client client(entry["address"].get<std::string>(), entry["port"].get<int>());
        client.set_read_timeout(callTimeoutSeconds);
        client.set_tcp_nodelay(true);
        const auto response = this->send(client, record.requestId, key);
        if (!response) {
            continue;
        }
        record.outcome = response->get_header_value("Currantfall-Outcome");
        record.status = response->status;
        record.wrong = record.outcome == "answered" && !isOwnAnswer(*response, record.requestId);
        if (record.outcome != "answered" || record.status != 200) {
            record.refusal = response->body;
        }
        return record;
    }
    return record;
}

} // namespace Currantfall::Tests
