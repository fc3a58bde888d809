#pragma once

#include <map>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// Number of slots of one service in one region.
struct RegionCapacity
{
    Common::RegionName region;
    double slots = 0.0;

    friend bool operator==(const RegionCapacity &left, const RegionCapacity &right) = default;
};

/// Demand of one region's callers, in any unit.
struct RegionDemand
{
    Common::RegionName region;
    double demand = 1.0;

    friend bool operator==(const RegionDemand &left, const RegionDemand &right) = default;
};

/// Returns the weight per slot of each region's backend servers in weighted rendezvous hashing, for
/// callers in region `from`. A weight of 1 is the weight without locality. Each region uses its own
/// capacity first and then the free capacity of other regions, so that all slots get the same load
/// and little traffic crosses regions. The weights are the same in all zones of a region, because
/// the callers of its zones request the same objects.
std::map<Common::RegionName, double> localityWeights(const Common::RegionName &from,
                                                     const std::vector<RegionCapacity> &capacities,
                                                     const std::vector<RegionDemand> &demands);

} // namespace Currantfall::Steering
