#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "DeploymentFixture.h"
#include "FaultSchedule.h"

namespace Currantfall::Tests {

/// Brings about the faults of a schedule in a deployment and checks it in between: no daemon ends
/// by itself, no revision decreases, no slot is used twice. Belongs to one thread, which must
/// outlive the processes it starts.
class FaultDriver
{
public:
    explicit FaultDriver(DeploymentFixture &deployment);

    /// Returns when all faults have ended and all VMs run again.
    void run(const std::vector<Fault> &faults);

    /// Ends what faults have left behind and waits until the deployment is well: platform and
    /// backend servers behave, nothing is drained, every VM is ready with the same revision, every
    /// slot has an owner and no work is in progress.
    void settle();

    /// What went wrong so far.
    const std::vector<std::string> &violations() const { return this->found; }
    /// How often each kind of fault was brought about.
    const std::map<std::string, std::size_t> &counts() const { return this->faultCounts; }

private:
    using Clock = std::chrono::steady_clock;

    enum class VmCondition {
        Running,
        Paused,
        Stopping,
        Down,
    };

    struct VmState
    {
        VmCondition condition = VmCondition::Running;
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0;
    };

    struct Due
    {
        Clock::time_point time;
        std::function<void()> action;
    };

    struct Tool
    {
        std::string name;
        ProcessFixture process;
    };

    void begin(const Fault &fault);
    void beginAtVm(const Fault &fault);
    void beginAtPlatform(const Fault &fault);
    void beginDrain(const Fault &fault, const std::string &kind);
    void beginAtBackend(const Fault &fault);
    void promote(unsigned choice);
    void startTool(const std::vector<std::string> &arguments,
                   const std::string &operatorName = "test");
    void after(std::chrono::milliseconds delay, std::function<void()> action);

    void poll();
    void reapTools();
    void checkVm(const std::string &name);
    void checkProcess(const std::string &name);
    void startAgain(const std::string &name);
    void violation(const std::string &text);
    void writeVariants();
    void setBackend(const std::string &server, const nlohmann::json &behaviour,
                    const std::string &scope = {}) const;
    void finishAllDrains();

    DeploymentFixture &deployment;
    std::map<std::string, VmState> vms;
    std::list<Due> due;
    std::list<Tool> tools;
    std::vector<std::string> documents; ///< The original and its variants.
    std::vector<std::string> found;
    std::map<std::string, std::size_t> faultCounts;
    Clock::time_point nextCheck;
};

} // namespace Currantfall::Tests
