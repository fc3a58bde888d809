#pragma once

#include <vector>

#include "currantfall/Configuration/Environment.h"
#include "currantfall/Drain/HeadroomCheck.h"

#include "Daemons.h"

namespace Currantfall::Tool {

/// The load per zone and service as reported by the VMs of each zone. The load of VMs that did not
/// report is taken to be that of the others in their zone. A zone without a report, such as one
/// whose slots a VM of another zone owns, is taken to be as loaded as the most loaded one of its
/// region, unless `drains`, those in force, cover it: its load is in the reports of the others
/// then. Services and zones that the document does not have are left out: they come from VMs with
/// another revision.
std::vector<Drain::ServiceLoad> serviceLoads(const std::vector<DaemonReport> &reports,
                                             const Configuration::Environment &environment,
                                             const std::vector<Drain::DrainTarget> &drains);

/// Refuses if less than two thirds of the live VMs, or less than half of those of a zone, reported
/// their load: the headroom of the rest would be a guess.
Common::Result<void> requireLoadData(const std::vector<DaemonReport> &reports);

} // namespace Currantfall::Tool
