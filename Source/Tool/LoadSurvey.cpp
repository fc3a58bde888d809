#include "LoadSurvey.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <absl/strings/str_format.h>

namespace Currantfall::Tool {

namespace {

struct Coverage
{
    std::size_t live = 0;
    std::size_t reported = 0;
};

bool hasLoad(const DaemonReport &report)
{
    return report.status && report.status->hasServices;
}

/// The zone of a daemon; the address for one that neither is listed nor answers.
std::string zoneOf(const DaemonReport &report)
{
    if (report.daemon.listed) {
        return report.daemon.listed->zone.value();
    }
    return report.status ? report.status->zone.value() : report.daemon.name();
}

using Fractions = std::map<std::pair<Common::ZoneName, Common::ServiceName>, double>;

Fractions reportedFractions(const std::vector<DaemonReport> &reports)
{
    std::map<std::pair<Common::ZoneName, Common::ServiceName>, SlotUse> sums;
    for (const DaemonReport &report : reports) {
        if (!hasLoad(report)) {
            continue;
        }
        for (const auto &[service, use] : report.status->services) {
            SlotUse &sum = sums[{ report.status->zone, service }];
            sum.slots += use.slots;
            sum.inUse += use.inUse;
        }
    }
    Fractions fractions;
    for (const auto &[place, sum] : sums) {
        if (sum.slots > 0) {
            fractions[place] = sum.inUse / static_cast<double>(sum.slots);
        }
    }
    return fractions;
}

double highestInRegion(const Fractions &fractions, const Configuration::Region *region,
                       const Common::ServiceName &service)
{
    double highest = 0.0;
    for (const Common::ZoneName &zone :
         region == nullptr ? std::vector<Common::ZoneName> {} : region->zones) {
        const auto found = fractions.find({ zone, service });
        highest = found == fractions.end() ? highest : std::max(highest, found->second);
    }
    return highest;
}

std::string missingNames(const std::vector<DaemonReport> &reports)
{
    std::string names;
    for (const DaemonReport &report : reports) {
        if (report.daemon.expectedLive() && !hasLoad(report)) {
            names += (names.empty() ? "" : ", ") + report.daemon.name();
        }
    }
    return names;
}

} // namespace

std::vector<Drain::ServiceLoad> serviceLoads(const std::vector<DaemonReport> &reports,
                                             const Configuration::Environment &environment,
                                             const std::vector<Drain::DrainTarget> &drains)
{
    const Fractions reported = reportedFractions(reports);
    std::vector<Drain::ServiceLoad> loads;
    for (const Configuration::Service &service : environment.services) {
        std::set<Common::ZoneName> zones;
        for (const Configuration::BackendServer &server : service.backendServers) {
            zones.insert(server.zone);
        }
        for (const Common::ZoneName &zone : zones) {
            const auto own = reported.find({ zone, service.name });
            if (own != reported.end()) {
                loads.push_back({ zone, service.name, own->second });
            } else if (!Drain::isZoneDrained(environment, drains, zone)) {
                loads.push_back(
                        { zone, service.name,
                          highestInRegion(reported, environment.regionOf(zone), service.name) });
            }
        }
    }
    return loads;
}

Common::Result<void> requireLoadData(const std::vector<DaemonReport> &reports)
{
    Coverage total;
    std::map<std::string, Coverage> zones;
    for (const DaemonReport &report : reports) {
        if (!report.daemon.expectedLive()) {
            continue;
        }
        for (Coverage *coverage : { &total, &zones[zoneOf(report)] }) {
            ++coverage->live;
            coverage->reported += hasLoad(report) ? 1 : 0;
        }
    }
    bool enough = total.live > 0 && total.reported * 3 >= total.live * 2;
    for (const auto &[zone, coverage] : zones) {
        enough = enough && coverage.reported * 2 >= coverage.live;
    }
    if (enough) {
        return {};
    }
    return Common::failure(
            Common::ErrorCode::Refused, "check headroom", {},
            absl::StrFormat("%d of %d live VMs reported their load, too few to check the headroom; "
                            "missing: %s; --force drains without the check",
                            total.reported, total.live, missingNames(reports)));
}

} // namespace Currantfall::Tool
