#include "SingleEntryVm.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;

constexpr int readinessPort = 8640;
constexpr int peersPort = 8649;
constexpr int metricsPort = 9464;
constexpr int storePort = 8642;
constexpr int serverPort = 8080;
// Third octets of the addresses, one network for each purpose.
constexpr int vmNetwork = 1;
constexpr int storeNetwork = 3;
constexpr int serverNetwork = 5;
constexpr int serverCount = 4;

const std::string serviceName = "catalog";

std::string endpoint(const std::string &host, int port)
{
    return host + ":" + std::to_string(port);
}

json route(const std::string &name, const std::string &kind)
{
    return { { "name", name },           { "prefix", "/" + name + "/" },
             { "kind", kind },           { "timeout_ms", 20000 },
             { "service", serviceName }, { "target_latency_ms", 1000 },
             { "priority", 0 },          { "max_attempts", 2 },
             { "sticky", true },         { "allowed_regions", json::array() } };
}

json configuration(const VmLimits &limits)
{
    const json service { { "name", serviceName }, { "health_path", "/health" },
                         { "max_conns", 10000 },  { "cold_s", 1.0 },
                         { "cold_per_s", 1e6 },   { "protocol", "h1" },
                         { "tls", false } };
    const json host { { "host", "shop.example" },
                      { "paths", { route("read", "safe"), route("write", "unsafe") } } };
    return { { "version", "r1" },
             { "services", { service } },
             { "limits",
               { { "max_header_bytes", limits.maxHeaderBytes },
                 { "max_body_bytes", limits.maxBodyBytes },
                 { "header_timeout_ms", 3000 },
                 { "idle_timeout_ms", 15000 } } },
             { "virtual_hosts", { host } } };
}

json serverRow(int index, const std::string &address)
{
    return {
        { "service", serviceName }, { "address", address }, { "zone", "north-a" },
        { "version", "v1" },        { "slots", 1000 },      { "state", "ready" },
        { "cold_remaining_ms", 0 }, { "seq", 1 },           { "born", 1700000000000 + index }
    };
}

json settings(const VmLimits &limits, const std::string &host, const std::string &store)
{
    return { { "vm", "entry-1" },
             { "zone", "north-a" },
             { "region", "north" },
             { "address", host },
             { "first_start", true },
             { "zones", { { "north-a", "north" } } },
             { "listeners",
               { { "callers", endpoint(host, SingleEntryVm::callersPort) },
                 { "readiness", endpoint(host, readinessPort) },
                 { "directory", endpoint(host, SingleEntryVm::directoryPort) },
                 { "peers", endpoint(host, peersPort) },
                 { "metrics", endpoint(host, metricsPort) } } },
             { "seeds", json::array() },
             { "store", { { "address", store } } },
             { "memory_mb", limits.memoryMb },
             { "max_descriptors", limits.maxDescriptors },
             { "link_mbit_per_s", 1000 },
             { "processor_share", 1 },
             { "shutdown_grace_s", 4 },
             { "lookup_ttl_max_s", 5 },
             { "server_drain_ms", 2000 },
             { "retries", { { "ratio", 0.5 }, { "extra", 600 }, { "window_s", 10 } } },
             { "cold", { { "overage", 1.5 }, { "extra", 5 } } } };
}

int connectTo(const std::string &host, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("can't connect to the entry VM");
    }
    return descriptor;
}

} // namespace

SingleEntryVm::SingleEntryVm(VmLimits limits, std::size_t responseBytes)
    : limits(limits), vmHost(this->address(vmNetwork, 1))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "currantfall-clients-XXXXXX");
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary directory");
    }
    this->directory = pattern;
    const std::string storeHost = this->address(storeNetwork, 1);
    this->store = std::make_unique<StoreStandin>(storeHost, storePort);
    this->store->put("op", "config", configuration(limits).dump());
    for (int index = 0; index < serverCount; ++index) {
        const std::string host = this->address(serverNetwork, index + 1);
        const std::string body(responseBytes, 'r');
        this->servers.push_back(std::make_unique<ScriptedBackend>(
                [body](ScriptedConnection &connection) {
                    for (std::string request = connection.readRequest(); !request.empty();
                         request = connection.readRequest()) {
                        connection.write(answerTo(request, body));
                    }
                },
                host, serverPort));
        this->store->put("servers", "i-" + std::to_string(index),
                         serverRow(index, endpoint(host, serverPort)).dump());
    }
    const std::string settingsPath = this->directory + "/entry-1.json";
    std::ofstream(settingsPath)
            << settings(limits, this->vmHost, endpoint(storeHost, storePort)).dump(2);
    this->process.emplace(
            CURRANTFALLD_PATH,
            std::vector<std::string> { "--entry-settings-from", "CURRANTFALL_TEST_SETTINGS" },
            std::vector<std::string> { "CURRANTFALL_TEST_SETTINGS=" + settingsPath });
    waitUntil([this] {
        httplib::Client client(this->vmHost, readinessPort);
        const auto response = client.Get("/readiness");
        return response && response->status == 200;
    });
    waitUntil([this] {
        return this->statusOfOrdinaryRequest() == 200 && this->statusOfLookup() == 200;
    });
}

SingleEntryVm::~SingleEntryVm()
{
    this->process.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

std::string SingleEntryVm::address(int network, int index) const
{
    return "127." + std::to_string(this->addresses.firstOctet()) + "." + std::to_string(network)
           + "." + std::to_string(index);
}

std::size_t SingleEntryVm::peakMemory() const
{
    std::ifstream status("/proc/" + std::to_string(this->process->pid()) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::size_t kibibytes = 0;
            status >> kibibytes;
            return kibibytes * 1024;
        }
    }
    throw std::runtime_error("the entry VM's process has ended");
}

std::size_t SingleEntryVm::memoryLimit() const
{
    return static_cast<std::size_t>(this->limits.memoryMb) * 1024 * 1024;
}

std::size_t SingleEntryVm::openDescriptors() const
{
    const std::filesystem::directory_iterator entries(
            "/proc/" + std::to_string(this->process->pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t SingleEntryVm::descriptorLimit() const
{
    return static_cast<std::size_t>(this->limits.maxDescriptors);
}

int SingleEntryVm::statusOf(const std::string &request, int port) const
{
    const int descriptor = connectTo(this->vmHost, port);
    std::string response;
    std::size_t sent = 0;
    while (sent < request.size()) {
        const auto count
                = ::send(descriptor, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    char bytes[4096];
    while (response.find("\r\n\r\n") == std::string::npos) {
        const auto count = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            break;
        }
        response.append(bytes, static_cast<std::size_t>(count));
    }
    ::close(descriptor);
    const std::size_t start = response.find(' ');
    return start == std::string::npos ? 0 : std::atoi(response.c_str() + start + 1);
}

int SingleEntryVm::statusOfLookup() const
{
    return this->statusOf("GET /resolve?name=shop.example&region=north&zone=north-a HTTP/1.1\r\n"
                          "Host: directory\r\n\r\n",
                          directoryPort);
}

int SingleEntryVm::statusOfOrdinaryRequest() const
{
    return this->statusOf("GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ordinary\r\n"
                          "Deadline-Ms: 10000\r\nCookie: Affinity-Key=1\r\n\r\n");
}

} // namespace Currantfall::Tests
