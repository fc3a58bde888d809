#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Support/AddressBlock.h"
#include "Support/ProcessFixture.h"
#include "ZoneLinks.h"

namespace Currantfall::Tests {

/// One entry VM of the deployment.
struct EntryVm
{
    std::string name;
    std::string zone;
    std::string region;
    std::string address;
    std::unique_ptr<ProcessFixture> process;
};

struct DeploymentOptions
{
    /// VMs that are listed but not started.
    std::vector<std::string> without = {};
    /// Backend servers that get a process of their own.
    std::vector<std::string> separate = {};
    /// Links between zones and to the platform run through relays.
    bool zoneLinks = false;
    /// Changes the text of the document before it is promoted.
    std::function<std::string(std::string)> editDocument = {};
    std::vector<std::string> backendArguments = {};
    /// Further arguments of all entry VMs.
    std::vector<std::string> vmArguments = {};
};

/// Stand-ins, and ten entry VMs in six availability zones that serve Examples/bellringer.yaml, on
/// loopback addresses of this test process.
class DeploymentFixture
{
public:
    /// Starts everything and waits until every backend server has an owner.
    explicit DeploymentFixture(const DeploymentOptions &options);
    explicit DeploymentFixture(const std::vector<std::string> &without = {})
        : DeploymentFixture(DeploymentOptions { without })
    { }
    ~DeploymentFixture();

    EntryVm &vm(const std::string &name);
    void startVm(EntryVm &vm);
    /// Waits until the VM has a configuration in force.
    void waitReady(const EntryVm &vm) const;
    void waitAllSlotsOwned() const;
    /// Connections for peers between VMs of different zones that pass no zone link.
    std::size_t directLinks() const;

    const ZoneLinks &links() const { return *this->zoneLinks; }
    std::vector<EntryVm> &allVms() { return this->vms; }
    ProcessFixture &platform() { return *this->platformProcess; }
    void setPlatformFaults(const nlohmann::json &faults) const;
    /// Changes the behaviour of the backend servers whose name contains `part`. Returns how many
    /// took the change.
    std::size_t setBackendBehaviour(const nlohmann::json &behaviour,
                                    const std::string &part = {}) const;
    ProcessFixture &separateBackends() { return *this->separateProcess; }

    nlohmann::json status(const EntryVm &vm) const;
    nlohmann::json lookup(const std::string &service, const std::string &zone) const;

    /// Runs the operator tool; returns its exit code.
    int runTool(const std::vector<std::string> &arguments) const;
    ProcessFixture startTool(std::vector<std::string> arguments,
                             const std::string &operatorName = "test") const;

    /// How often each request id was started and ran at the backend servers.
    nlohmann::json executions(const std::vector<std::string> &requestIds) const;
    nlohmann::json executionSummary() const;
    std::size_t slotOverruns() const;
    /// Sum of a metric over all VMs and over the series whose labels contain `label`.
    double metric(const std::string &name, const std::string &label = {}) const;

    const std::string &documentPath() const { return this->document; }
    const std::vector<std::string> &zoneNames() const { return this->zones; }
    /// An address in the client block of the zone.
    std::string clientIn(const std::string &zone) const;

private:
    std::string addressOf(int second, int third, int fourth) const;
    void writeDocument(const DeploymentOptions &options);
    void startPlatform(bool withLinks);
    std::unique_ptr<ProcessFixture> startBackends(const std::vector<std::string> &servers,
                                                  const std::vector<std::string> &extra) const;

    AddressBlock addresses;
    std::string directory;
    std::string document;
    std::vector<std::string> zones;
    std::vector<EntryVm> vms;
    std::vector<std::string> vmArguments;
    std::unique_ptr<ProcessFixture> platformProcess;
    std::map<std::string, std::string> backendAddresses; // By name.
    std::unique_ptr<ZoneLinks> zoneLinks;
    std::unique_ptr<ProcessFixture> backendProcess;
    std::unique_ptr<ProcessFixture> separateProcess;
};

} // namespace Currantfall::Tests
