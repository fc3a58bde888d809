#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ExecutionLedger.h"
#include "SoakServer.h"
#include "StoreStandin.h"
#include "Support/AddressBlock.h"
#include "Support/ProcessFixture.h"

namespace Currantfall::Tests {

/// Connections that the relay carries.
enum class LinkKind {
    Callers, ///< Of callers to one entry VM.
    Peers,   ///< Of other entry VMs to one entry VM.
    Store,   ///< Of one entry VM to the store.
    Server,  ///< Of all entry VMs to one backend server.
};

struct EntryVm
{
    std::string name;
    std::string zone;
    std::string region;
    std::string host;      ///< Where it listens.
    std::string relayHost; ///< Where callers and other VMs reach it.
    std::string settingsPath;
    std::optional<ProcessFixture> process;
};

/// A time in which a configuration may have been the latest one of the store.
struct ConfigurationPeriod
{
    SoakClock::time_point begin;
    std::optional<SoakClock::time_point> end; ///< When the store had acknowledged the next one.
    /// Home regions of each route that has some.
    std::map<std::string, std::set<std::string>> homes;
};

/// Entry VMs as processes, with stand-ins for the platform's store and the backend servers. Every
/// connection but those to directories and readiness goes through one relay process.
class EntryDeployment
{
public:
    EntryDeployment();
    ~EntryDeployment();
    EntryDeployment(const EntryDeployment &) = delete;
    EntryDeployment &operator=(const EntryDeployment &) = delete;

    std::vector<EntryVm> &vms() { return this->entryVms; }
    const std::vector<EntryVm> &vms() const { return this->entryVms; }
    /// Starts the VM's process; its time of day is off by `clockShiftMs`.
    void start(EntryVm &vm, int clockShiftMs = 0);
    /// Changes a setting that has no effect on callers.
    void rewriteSettings(EntryVm &vm, unsigned variant);
    /// Seconds from SIGTERM until the process must have ended.
    static double shutdownGrace();

    bool ready(const EntryVm &vm) const;
    void awaitReady();

    StoreStandin &store() { return *this->storeStandin; }
    ExecutionLedger &ledger() { return this->executions; }
    const ExecutionLedger &ledger() const { return this->executions; }
    std::vector<std::unique_ptr<SoakServer>> &servers() { return this->backendServers; }
    /// Writes the server's entry, or removes it.
    void registerServer(std::size_t index, const std::string &state = "ready");
    void unregisterServer(std::size_t index);
    /// Another server, maybe of another service, gets the address.
    void replaceServer(std::size_t index, const std::string &service);

    /// Writes the next configuration. `variant` selects where photos go, the timeouts, and the
    /// homes of the route "moving".
    void configure(unsigned variant);
    /// Sets the tenants of later configurations; without any, requests need no key.
    void setTenants(nlohmann::json list) { this->tenants = std::move(list); }
    /// The version of the latest configuration.
    unsigned configurationVersion() const { return this->version; }
    /// Returns the store to its copy. What it lost may stay in force until the next configuration.
    std::vector<StoreStandin::LostWrite> restoreStore();
    void writeAgain(const std::vector<StoreStandin::LostWrite> &lost);
    const std::vector<ConfigurationPeriod> &configurations() const { return this->periods; }
    void evacuate(const std::string &zone, bool wanted);
    /// One of the zones.
    static const std::string &zoneOf(unsigned choice);
    /// The region of the server that listens at `address`.
    std::string regionOfServer(const std::string &address) const;
    /// Services to which requests of the route may ever go.
    static std::vector<std::string> servicesOf(const std::string &route);

    /// `settings` as in POST /_control of standin-link.
    void setLink(LinkKind kind, std::size_t index, const nlohmann::json &settings) const;
    std::size_t linkCount(LinkKind kind) const;

    static constexpr int callersPort = 8641;
    static constexpr int directoryPort = 8644;

private:
    std::string host(int network, std::size_t index) const;
    std::string linkAddress(LinkKind kind, std::size_t index) const;
    nlohmann::json settingsOf(const EntryVm &vm) const;
    void writeSettings(const EntryVm &vm, const nlohmann::json &settings) const;
    void startLinks();
    /// Notes that the store's configuration is the latest one since `begin`.
    void beginPeriod(SoakClock::time_point begin);
    void endPeriods();

    AddressBlock addresses;
    std::string directory;
    ExecutionLedger executions;
    std::unique_ptr<StoreStandin> storeStandin;
    std::vector<std::unique_ptr<SoakServer>> backendServers;
    std::vector<EntryVm> entryVms;
    std::optional<ProcessFixture> links;
    std::vector<ConfigurationPeriod> periods;
    nlohmann::json tenants = nlohmann::json::array();
    unsigned version = 0;
    unsigned incarnations = 0;
};

} // namespace Currantfall::Tests
