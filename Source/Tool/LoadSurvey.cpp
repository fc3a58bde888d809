#include "LoadSurvey.h"

#include <map>
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

std::vector<Drain::ServiceLoad> serviceLoads(const std::vector<DaemonReport> &reports)
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
    std::vector<Drain::ServiceLoad> loads;
    for (const auto &[place, sum] : sums) {
        if (sum.slots > 0) {
            loads.push_back({ place.first, place.second,
                              static_cast<double>(sum.inUse) / static_cast<double>(sum.slots) });
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
