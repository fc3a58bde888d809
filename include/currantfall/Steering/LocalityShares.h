#pragma once

#include <map>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// Slots of one service in one region.
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

/// For callers of `from`: the weight per slot of each region's backend servers in weighted
/// rendezvous hashing, where 1 is the weight that all would have without locality. Each region uses
/// its own capacity first, then what is left elsewhere, so that all slots carry the same load while
/// few bytes cross regions. The weights are the same in all zones of a region, because its zones'
/// callers ask for the same objects.
std::map<Common::RegionName, double> localityWeights(const Common::RegionName &from,
                                                     const std::vector<RegionCapacity> &capacities,
                                                     const std::vector<RegionDemand> &demands);

} // namespace Currantfall::Steering
