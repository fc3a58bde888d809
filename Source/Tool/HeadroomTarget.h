#pragma once

#include <vector>

#include "currantfall/Configuration/Environment.h"
#include "currantfall/Drain/DrainTarget.h"

#include "Daemons.h"

namespace Currantfall::Tool {

/// What the headroom check must assume to be lost when `target` is drained. Documents list no VMs,
/// but the backend servers of a region without a VM in service have no owner: the drain of a
/// region's last VM is checked as a drain of the region. `drains` are those in force.
Drain::DrainTarget headroomTarget(const Drain::DrainTarget &target,
                                  const Configuration::Environment &environment,
                                  const std::vector<Drain::DrainTarget> &drains,
                                  const std::vector<DaemonReport> &reports);

} // namespace Currantfall::Tool
