#include "DeploymentFixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include <httplib.h>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;

constexpr int portBase = 7000;
constexpr int adminPort = portBase + 9;
constexpr int platformPort = 7900;
constexpr int firstOctet = 40;
constexpr int octetStep = 10;
constexpr int octetChoices = 20;
constexpr int callTimeoutSeconds = 15;
constexpr std::size_t backendSlots = 144;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

bool canListen(const std::string &address, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Closed connections of an earlier deployment don't count; listeners do.
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    const bool free
            = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0;
    ::close(descriptor);
    return free;
}

/// Second octet of a deployment's addresses. Process ids alone let deployments of test programs
/// that run at the same time collide.
int unusedOctet()
{
    const int first = static_cast<int>(getpid());
    for (int choice = first; choice < first + octetChoices; ++choice) {
        const int octet = firstOctet + octetStep * (choice % octetChoices);
        if (canListen("127." + std::to_string(octet) + ".9.9", platformPort)) {
            return octet;
        }
    }
    throw std::runtime_error("the addresses of all deployments are in use");
}

/// The document at `path`; an empty object if there is no answer.
json getJson(const std::string &address, int port, const std::string &path)
{
    httplib::Client client(address, port);
    client.set_read_timeout(callTimeoutSeconds);
    const auto response = client.Get(path);
    json document = response ? json::parse(response->body, nullptr, false) : json::object();
    return document.is_object() ? document : json::object();
}

} // namespace

DeploymentFixture::DeploymentFixture(const std::vector<std::string> &without,
                                     const std::vector<std::string> &separate)
    : octet(unusedOctet()), directory("/tmp/currantfall-" + std::to_string(getpid())),
      document(this->directory + "/environment.yaml"), zones { "lm-a", "lm-b", "ok-a",
                                                               "ok-b", "is-a", "is-b" }
{
    std::filesystem::create_directories(this->directory);
    this->writeDocument();
    this->platformProcess = std::make_unique<ProcessFixture>(
            STANDIN_PLATFORM_PATH,
            std::vector<std::string> { "--address", this->addressOf(0, 9, 9), "--port",
                                       std::to_string(platformPort), "--vms",
                                       this->directory + "/vms.json" });
    this->platformProcess->waitListening();
    std::vector<std::string> common;
    for (const auto &[name, address] : this->backendAddresses) {
        if (std::find(separate.begin(), separate.end(), name) == separate.end()) {
            common.push_back(name);
        }
    }
    this->backendProcess = this->startBackends(common);
    if (!separate.empty()) {
        this->separateProcess = this->startBackends(separate);
    }
    if (this->runTool({ "promote", this->document }) != 0) {
        throw std::runtime_error("the document could not be promoted");
    }
    for (EntryVm &vm : this->vms) {
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

void DeploymentFixture::startVm(EntryVm &vm)
{
    vm.process = std::make_unique<ProcessFixture>(
            CURRANTFALLD_PATH,
            std::vector<std::string> {
                    "--vm", vm.name, "--zone", vm.zone, "--region", vm.region, "--environment",
                    "production", "--address", vm.address, "--port-base", std::to_string(portBase),
                    "--platform", this->addressOf(0, 9, 9) + ":" + std::to_string(platformPort),
                    "--log-level", "info" });
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

void DeploymentFixture::setBackendBehaviour(const json &behaviour) const
{
    httplib::Client client(this->addressOf(1, 1, 1), 9000);
    client.Post("/_control/behaviour", behaviour.dump(), "application/json");
}

void DeploymentFixture::setBackendBehaviour(const json &behaviour, const std::string &part) const
{
    for (const auto &[name, address] : this->backendAddresses) {
        if (name.find(part) != std::string::npos) {
            httplib::Client client("http://" + address);
            client.Post("/_control/behaviour", behaviour.dump(), "application/json");
        }
    }
}

json DeploymentFixture::status(const EntryVm &vm) const
{
    return getJson(vm.address, adminPort, "/status");
}

json DeploymentFixture::lookup(const std::string &service, const std::string &zone) const
{
    for (const EntryVm &vm : this->vms) {
        if (vm.process == nullptr) {
            continue;
        }
        json answer = getJson(vm.address, portBase,
                              "/v1/lookup?service=" + service + "&client=" + this->clientIn(zone));
        if (answer.contains("entries")) {
            return answer;
        }
    }
    return json::object();
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
    return "127." + std::to_string(this->octet + second) + "." + std::to_string(third) + "."
           + std::to_string(fourth);
}

void DeploymentFixture::writeDocument()
{
    std::string text = readFile(CURRANTFALL_EXAMPLES "/bellringer.yaml");
    // The example has zone N at 127.1N. The new octets are at least 40, so that no replacement is
    // replaced again.
    for (int zone = 1; zone <= static_cast<int>(this->zones.size()); ++zone) {
        const std::regex before("127\\.1" + std::to_string(zone) + "\\.");
        text = std::regex_replace(text, before, "127." + std::to_string(this->octet + zone) + ".");
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
                        "127." + std::to_string(this->octet) + ".");
        row["address"] = address;
        this->vms.push_back({ row["vm"], row["zone"], row["region"], address, nullptr });
    }
    std::ofstream(this->directory + "/vms.json") << list.dump();
}

std::unique_ptr<ProcessFixture>
DeploymentFixture::startBackends(const std::vector<std::string> &servers) const
{
    std::vector<std::string> arguments { "--environment", this->document, "--log-level", "warn" };
    for (const std::string &server : servers) {
        arguments.push_back("--server");
        arguments.push_back(server);
    }
    return std::make_unique<ProcessFixture>(STANDIN_BACKEND_PATH, arguments);
}

Callers::Callers(const DeploymentFixture &deployment, std::size_t threads, bool keyed)
    : deployment(deployment), keyed(keyed), idPrefix(keyed ? "booking-" : "query-")
{
    static std::atomic<int> instances { 0 };
    this->idPrefix += std::to_string(++instances) + "-";
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
    const auto &zones = this->deployment.zoneNames();
    for (std::uint64_t number = 0; !this->stopping; ++number) {
        CallRecord record = this->call(index, number, zones[(index + number) % zones.size()]);
        const std::lock_guard lock(this->mutex);
        this->records.push_back(std::move(record));
        ++this->completedCalls;
    }
}

CallRecord Callers::call(std::size_t index, std::uint64_t number, const std::string &zone)
{
    CallRecord record;
    record.requestId = this->idPrefix + std::to_string(index) + "-" + std::to_string(number);
    record.keyed = this->keyed;
    record.outcome = "unreachable";
    const json found = this->deployment.lookup(this->keyed ? "bellbook" : "slotview", zone);
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
        const httplib::Headers headers { { "Currantfall-Request", record.requestId },
                                         { "Idempotency-Key", key } };
        const std::string body = "body of " + record.requestId;
        const auto response
                = this->keyed
                          ? client.Post("/bellbook/bookings", headers, body, "text/plain")
                          : client.Get("/slotview/availability?id=" + record.requestId, headers);
        if (!response) {
            continue;
        }
        record.outcome = response->get_header_value("Currantfall-Outcome");
        record.status = response->status;
        const bool whole
                = record.outcome != "answered"
                  || json::parse(response->body, nullptr, false).value("request", std::string())
                             == record.requestId;
        record.wrong = !whole;
        return record;
    }
    return record;
}

} // namespace Currantfall::Tests
