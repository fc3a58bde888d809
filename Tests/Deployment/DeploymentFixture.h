#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "AddressBlock.h"
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
    /// Links between zones and to the platform run through relays.
    bool zoneLinks = false;
    /// Changes the text of the document before it is promoted.
    std::function<std::string(std::string)> editDocument = {};
    std::vector<std::string> backendArguments = {};
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

    const ZoneLinks &links() const { return *this->zoneLinks; }
    std::vector<EntryVm> &allVms() { return this->vms; }
    ProcessFixture &platform() { return *this->platformProcess; }
    void setPlatformFaults(const nlohmann::json &faults) const;
    /// Of one server, or with the scope "all" of all.
    void setBackendBehaviour(const nlohmann::json &behaviour, const std::string &scope = {}) const;

    nlohmann::json status(const EntryVm &vm) const;
    nlohmann::json lookup(const std::string &service, const std::string &zone) const;

    /// Runs the operator tool; returns its exit code.
    int runTool(std::vector<std::string> arguments) const;

    /// How often each request id was started and ran at the backend servers.
    nlohmann::json executions(const std::vector<std::string> &requestIds) const;
    nlohmann::json executionSummary() const;
    std::size_t slotOverruns() const;

    const std::string &documentPath() const { return this->document; }
    const std::vector<std::string> &zoneNames() const { return this->zones; }
    /// An address in the client block of the zone.
    std::string clientIn(const std::string &zone) const;

private:
    std::string addressOf(int second, int third, int fourth) const;
    void writeDocument(const DeploymentOptions &options);
    void startPlatform(bool withLinks);

    AddressBlock addresses;
    std::string directory;
    std::string document;
    std::vector<std::string> zones;
    std::vector<EntryVm> vms;
    std::unique_ptr<ProcessFixture> platformProcess;
    std::unique_ptr<ZoneLinks> zoneLinks;
    std::unique_ptr<ProcessFixture> backendProcess;
};

/// What became of one logical request.
struct CallRecord
{
    std::string requestId;
    std::string outcome; ///< "answered", "not-run", "outcome-unknown" or "unreachable".
    int status = 0;
    std::string refusal; ///< Body of an answer that is not "answered".
    bool wrong = false;  ///< The answer is not the one to this request.
    bool keyed = false;
};

/// Callers in closed loops. Each looks up, sends to the first entry, and repeats a keyed request
/// with the same key at the next entry after a lost connection.
class Callers
{
public:
    /// Clients in `zones`, by default in all. With `uploadBytes` they send uploads of that size
    /// instead of queries.
    Callers(const DeploymentFixture &deployment, std::size_t threads, bool keyed,
            const std::vector<std::string> &zones = {}, std::size_t uploadBytes = 0);
    ~Callers();

    std::size_t completed() const { return this->completedCalls; }
    /// Ends the loops and returns all records.
    std::vector<CallRecord> finish();

private:
    void run(std::size_t index);
    std::string service() const;
    httplib::Result send(httplib::Client &client, const std::string &requestId,
                         const std::string &key) const;
    CallRecord call(std::size_t index, std::uint64_t number, const std::string &zone);

    const DeploymentFixture &deployment;
    int instance;
    bool keyed;
    std::vector<std::string> zones;
    std::size_t uploadBytes;
    std::atomic<bool> stopping { false };
    std::atomic<std::size_t> completedCalls { 0 };
    std::mutex mutex;
    std::vector<CallRecord> records;
    std::vector<std::thread> threads;
};

} // namespace Currantfall::Tests
