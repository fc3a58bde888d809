#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "EntryDeployment.h"
#include "HomeChecks.h"
#include "NoticeChecks.h"

namespace Currantfall::Tests {

enum class SoakFaultKind {
    KillVm,
    StopVm,
    PauseVm,
    ReloadVm,
    LinkDelayed,
    LinkReset,
    LinkOneWay,
    LinkSilent,
    LinkCut,
    StoreMisbehaves,
    StoreForgets,
    ServerMisbehaves,
    ServerSlow,
    ServerDrains,
    ServerReplaced,
    Configure,
    ConfigureOften,
    Evacuate,
    ServerAsksForPause,
    ServerLeaves,  ///< The server announces it in its responses only, not in the store.
    StoreRestored, ///< The store returns to the copy of the fault's start when the fault ends.
};
/// Kinds that soakFaults() draws.
inline constexpr int soakFaultKindCount = static_cast<int>(SoakFaultKind::Evacuate) + 1;

std::string toString(SoakFaultKind kind);

/// One fault of a run. Faults may overlap.
struct SoakFault
{
    SoakFaultKind kind = SoakFaultKind::KillVm;
    std::chrono::milliseconds start { 0 };
    std::chrono::milliseconds duration { 0 };
    unsigned target = 0;  ///< Selects the VM, link, server or zone.
    unsigned variant = 0; ///< Selects a variant of the fault.

    std::string describe() const;
};

/// The faults of `length`, in the order of their start; they depend on the arguments only. Now and
/// then a fault comes several times in a row.
std::vector<SoakFault> soakFaults(std::uint64_t seed, std::chrono::milliseconds length,
                                  std::chrono::milliseconds meanGap);

/// Times at which servers ask for a pause or leave, for a run of `length`. They are drawn apart
/// from the other faults, so that the faults of a seed that failed stay as they were.
std::vector<SoakFault> noticeFaults(std::uint64_t seed, std::chrono::milliseconds length,
                                    std::chrono::milliseconds meanGap);

/// Times at which the store returns from a copy, for a run of `length`. They are drawn apart as
/// well.
std::vector<SoakFault> restoreFaults(std::uint64_t seed, std::chrono::milliseconds length,
                                     std::chrono::milliseconds meanGap);

/// Brings faults about from outside the entry VMs and checks that none of them ends by itself, and
/// that each ends in time when it is told to. Belongs to one thread, which must outlive the VMs
/// that it starts.
class SoakFaultDriver
{
public:
    explicit SoakFaultDriver(EntryDeployment &deployment);

    /// Returns when all faults have ended, and all VMs run and are ready.
    void run(const std::vector<SoakFault> &faults);
    /// Ends the VM with SIGTERM, waits and starts it again. Returns the exit code.
    int restart(EntryVm &vm, int clockShiftMs = 0);

    const std::vector<std::string> &violations() const { return this->found; }
    /// Times in which entry VMs did not run and links of backend servers were impaired.
    const std::vector<Disruption> &disruptions() const { return this->seenDisruptions; }
    /// When the last pause that a server asked for is over.
    SoakClock::time_point pausesEnd() const { return this->latestPauseEnd; }
    /// Times after which entry VMs may not know the latest configuration.
    const std::vector<ConfigurationDelay> &configurationDelays() const { return this->seenDelays; }
    /// What processes that have ended wrote, each followed by how it ended.
    const std::map<std::string, std::string> &logs() const { return this->endedLogs; }

private:
    using Clock = std::chrono::steady_clock;

    struct VmState
    {
        bool endExpected = false;
        unsigned pauses = 0;
        bool pausedWhileStopping = false;
        std::optional<Clock::time_point> stopSince;
        std::optional<Clock::time_point> startAt;
        std::optional<Clock::time_point> endingSince;
        int clockShiftMs = 0; ///< Of the next process.
        /// Signals that were sent before the program's first instruction blocked them.
        std::set<int> earlySignals;
    };
    struct Due
    {
        Clock::time_point time;
        std::function<void()> action;
    };
    using LinkKey = std::pair<LinkKind, std::size_t>;

    void begin(const SoakFault &fault);
    void beginAtVm(const SoakFault &fault);
    void beginAtLink(const SoakFault &fault);
    void beginAtStore(const SoakFault &fault);
    /// Saves a copy of the store, to which it returns when the fault ends.
    void beginRestore(const SoakFault &fault);
    void beginAtServer(const SoakFault &fault);
    void beginLeaving(std::size_t index);
    void addDisruption(const std::string &subject, std::chrono::milliseconds duration);
    /// Notes that the VM, or all of them if it is empty, could not learn of configurations from
    /// `begin` until now.
    void addDelay(const std::string &entry, Clock::time_point begin, bool restarted = false);
    void applyLink(const LinkKey &link);
    void poll();
    void checkVm(std::size_t index);
    void recordEnd(const EntryVm &vm, int code);
    /// Sends a signal that the VM handles; notes whether it came too early for that.
    void sendHandled(std::size_t index, int signal);
    void after(std::chrono::milliseconds delay, std::function<void()> action);

    EntryDeployment &deployment;
    std::vector<VmState> vms;
    /// Faults in force on each link.
    std::map<LinkKey, std::vector<SoakFaultKind>> links;
    bool restoring = false;  ///< A copy was saved, and what was lost has not been written again.
    std::vector<int> drains; ///< Drains of each server that have not ended.
    std::list<Due> due;
    std::vector<std::string> found;
    std::vector<Disruption> seenDisruptions;
    std::vector<ConfigurationDelay> seenDelays;
    SoakClock::time_point latestPauseEnd;
    std::map<std::string, std::string> endedLogs;
};

} // namespace Currantfall::Tests
