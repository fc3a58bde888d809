#pragma once

#include <string>
#include <vector>

#include "currantfall/Common/Time.h"
#include "currantfall/Configuration/Environment.h"
#include "currantfall/Placement/PlacementMember.h"

namespace Currantfall::Placement::Testing {

inline Common::Instant at(int milliseconds)
{
    return Common::Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

/// Two regions: r1 with the zones r1-a and r1-b, r2 with r2-a. Service "s" has `serversPerZone`
/// servers of two slots in each zone, named such as "s-r1-a-1".
inline Configuration::Environment environment(int serversPerZone)
{
    Configuration::Environment result;
    result.regions = {
        { Common::RegionName("r1"), { Common::ZoneName("r1-a"), Common::ZoneName("r1-b") } },
        { Common::RegionName("r2"), { Common::ZoneName("r2-a") } },
    };
    Configuration::Service service;
    service.name = Common::ServiceName("s");
    for (const Configuration::Region &region : result.regions) {
        for (const Common::ZoneName &zone : region.zones) {
            for (int index = 1; index <= serversPerZone; ++index) {
                const std::string name = "s-" + zone.value() + "-" + std::to_string(index);
                service.backendServers.push_back(
                        { Common::BackendServerName(name), zone, "127.0.0.1:1", 2 });
            }
        }
    }
    result.services = { service };
    return result;
}

/// A member of zone "r1-a" and so on; the region is the first part of the zone's name.
inline PlacementMember member(const std::string &vm, const std::string &zone,
                              std::size_t freeSlots = 0, std::size_t totalSlots = 0,
                              std::size_t queued = 0)
{
    PlacementMember result;
    result.vm = Common::VmName(vm);
    result.zone = Common::ZoneName(zone);
    result.region = Common::RegionName(zone.substr(0, 2));
    result.incarnation = 1;
    result.loads = { { Common::ServiceName("s"), freeSlots, totalSlots, queued } };
    return result;
}

} // namespace Currantfall::Placement::Testing
