#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "currantfall/Common/Names.h"
#include "currantfall/Drain/DrainTarget.h"

namespace Currantfall::Drain {

/// Work that keeps a drain from being complete.
struct HeldWork
{
    std::size_t inFlight = 0;   ///< Requests that a backend server has got.
    std::size_t queued = 0;     ///< Admitted requests that wait for a slot.
    std::size_t keyRecords = 0; ///< Key records that are not handed over yet.

    bool empty() const { return this->inFlight == 0 && this->queued == 0 && this->keyRecords == 0; }

    friend HeldWork operator+(const HeldWork &left, const HeldWork &right);
    friend bool operator==(const HeldWork &left, const HeldWork &right) = default;
};

/// What each drain in force still holds, as reported by the entry VMs.
class DrainState
{
public:
    struct Holder
    {
        Common::VmName vm;
        /// Nothing if the VM has not reported since the drain started.
        std::optional<HeldWork> held;

        friend bool operator==(const Holder &left, const Holder &right) = default;
    };

    /// Takes the drains of a new revision. Reports of drains that stay in force are kept.
    void setTargets(const std::vector<DrainTarget> &targets);
    /// The VMs whose reports are needed. Reports of other VMs are dropped.
    void setReporters(const std::set<Common::VmName> &vms);

    /// Replaces the VM's last report. Ignored for a target that is not in force or for a VM that is
    /// not a reporter.
    void report(const DrainTarget &target, const Common::VmName &vm, const HeldWork &held);

    std::vector<DrainTarget> targets() const;
    /// Sum of all reports.
    HeldWork held(const DrainTarget &target) const;
    /// VMs that hold work or have not reported, in the order of their names.
    std::vector<Holder> holders(const DrainTarget &target) const;
    /// True if the drain is in force and every reporter reported that it holds nothing.
    bool empty(const DrainTarget &target) const;

private:
    using Reports = std::map<Common::VmName, HeldWork>;

    std::map<DrainTarget, Reports> reportsByTarget;
    std::set<Common::VmName> reporters;
};

} // namespace Currantfall::Drain
