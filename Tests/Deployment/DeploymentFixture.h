#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Support/ProcessFixture.h"

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

/// Stand-ins, and ten entry VMs in six availability zones that serve Examples/bellringer.yaml, on
/// loopback addresses of this test process.
class DeploymentFixture
{
public:
    /// Starts everything and waits until every backend server has an owner. VMs named in `without`
    /// are listed but not started.
    explicit DeploymentFixture(const std::vector<std::string> &without = {});
    ~DeploymentFixture();

    EntryVm &vm(const std::string &name);
    void startVm(EntryVm &vm);
    /// Waits until the VM has a configuration in force.
    void waitReady(const EntryVm &vm) const;
    void waitAllSlotsOwned() const;

    ProcessFixture &platform() { return *this->platformProcess; }
    void setPlatformFaults(const nlohmann::json &faults) const;
    void setBackendBehaviour(const nlohmann::json &behaviour) const;

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

    const std::string &documentPath() const { return this->document; }
    const std::vector<std::string> &zoneNames() const { return this->zones; }
    /// An address in the client block of the zone.
    std::string clientIn(const std::string &zone) const;

private:
    std::string addressOf(int second, int third, int fourth) const;
    void writeDocument();

    int octet;
    std::string directory;
    std::string document;
    std::vector<std::string> zones;
    std::vector<EntryVm> vms;
    std::unique_ptr<ProcessFixture> platformProcess;
    std::unique_ptr<ProcessFixture> backendProcess;
};

/// What became of one logical request.
struct CallRecord
{
    std::string requestId;
    std::string outcome; ///< "answered", "not-run", "outcome-unknown" or "unreachable".
    int status = 0;
    bool wrong = false; ///< The answer is not the one to this request.
    bool keyed = false;
    bool repeated = false; ///< Sent more than once, after a lost connection.
    bool shortDeadline = false;
    std::string reason; ///< Of a refusal.
};

/// Callers in closed loops. Each looks up, sends to the first entry, and repeats a keyed request
/// with the same key at the next entry after a lost connection.
class Callers
{
public:
    /// `label` keeps the request ids of several instances apart. With `shortDeadlines` some
    /// requests have a deadline that they meet only sometimes.
    Callers(const DeploymentFixture &deployment, std::size_t threads, bool keyed,
            std::string label = {}, bool shortDeadlines = false);
    ~Callers();

    std::size_t completed() const { return this->completedCalls; }
    /// Ends the loops and returns all records.
    std::vector<CallRecord> finish();

private:
    void run(std::size_t index);
    CallRecord call(std::size_t index, std::uint64_t number, const std::string &zone);

    const DeploymentFixture &deployment;
    bool keyed;
    std::string label;
    bool shortDeadlines;
    std::atomic<bool> stopping { false };
    std::atomic<std::size_t> completedCalls { 0 };
    std::mutex mutex;
    std::vector<CallRecord> records;
    std::vector<std::thread> threads;
};

} // namespace Currantfall::Tests
