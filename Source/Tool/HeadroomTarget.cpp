#include "HeadroomTarget.h"

#include <algorithm>
#include <optional>

namespace Currantfall::Tool {

namespace {

using Configuration::Environment;

std::optional<Common::RegionName> regionOf(const Environment &environment,
                                           const DaemonReport &report)
{
    if (!report.status) {
        return std::nullopt;
    }
    const Configuration::Region *region = environment.regionOf(report.status->zone);
    return region == nullptr ? std::nullopt : std::optional(region->name);
}

/// A VM that was not heard from can't be counted on to own backend servers.
bool isInService(const Environment &environment, const std::vector<Drain::DrainTarget> &drains,
                 const DaemonReport &report)
{
    return report.status && report.daemon.expectedLive()
           && !Drain::isVmDrained(environment, drains, report.status->vm, report.status->zone);
}

} // namespace

Drain::DrainTarget headroomTarget(const Drain::DrainTarget &target, const Environment &environment,
                                  const std::vector<Drain::DrainTarget> &drains,
                                  const std::vector<DaemonReport> &reports)
{
    if (target.kind != Drain::DrainKind::Vm) {
        return target;
    }
    const auto drained
            = std::find_if(reports.begin(), reports.end(), [&target](const DaemonReport &report) {
                  return report.status && report.status->vm.value() == target.name;
              });
    if (drained == reports.end() || !isInService(environment, drains, *drained)) {
        return target;
    }
    const auto region = regionOf(environment, *drained);
    const bool otherInService
            = std::any_of(reports.begin(), reports.end(), [&](const DaemonReport &report) {
                  return &report != &*drained && regionOf(environment, report) == region
                         && isInService(environment, drains, report);
              });
    if (!region || otherInService) {
        return target;
    }
    return { Drain::DrainKind::Region, region->value() };
}

} // namespace Currantfall::Tool
