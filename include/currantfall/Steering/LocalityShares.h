#pragma once

#include <map>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// Slots of one service in one zone.
struct ZoneCapacity
{
    Common::ZoneName zone;
    Common::RegionName region;
    double slots = 0.0;

    friend bool operator==(const ZoneCapacity &left, const ZoneCapacity &right) = default;
};

/// Demand of one zone's callers, in any unit.
struct ZoneDemand
{
    Common::ZoneName zone;
    Common::RegionName region;
    double demand = 1.0;

    friend bool operator==(const ZoneDemand &left, const ZoneDemand &right) = default;
};

/// For callers of `from`: the weight per slot of each zone's backend servers in weighted rendezvous
/// hashing. Each zone uses its own capacity first, then what is left in its region, then what is
/// left elsewhere, so that all slots carry the same load while few bytes cross zones and regions.
/// Zones that the callers do not need have weight zero.
std::map<Common::ZoneName, double> localityWeights(const Common::ZoneName &from,
                                                   const std::vector<ZoneCapacity> &capacities,
                                                   const std::vector<ZoneDemand> &demands);

} // namespace Currantfall::Steering
