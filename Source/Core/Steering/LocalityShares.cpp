#include "currantfall/Steering/LocalityShares.h"

#include <algorithm>

namespace Currantfall::Steering {

std::map<Common::RegionName, double> localityWeights(const Common::RegionName &from,
                                                     const std::vector<RegionCapacity> &capacities,
                                                     const std::vector<RegionDemand> &demands)
{
    std::map<Common::RegionName, double> freeSlots;
    double slots = 0.0;
    for (const RegionCapacity &region : capacities) {
        freeSlots[region.region] += region.slots;
        slots += region.slots;
    }
    double demand = 0.0;
    for (const RegionDemand &region : demands) {
        demand += region.demand;
    }
    std::map<Common::RegionName, double> weights;
    if (slots <= 0.0 || demand <= 0.0) {
        return weights;
    }
    // Scales the total demand to the total number of slots, so that all slots get the same load.
    const double scale = slots / demand;
    double fromDemand = 0.0;
    double fromUnmet = 0.0;
    double fromLocal = 0.0;
    double totalFreeSlots = 0.0;
    double unmetDemand = 0.0;
    for (const RegionDemand &region : demands) {
        const double scaledDemand = region.demand * scale;
        const double local = std::min(scaledDemand, freeSlots[region.region]);
        freeSlots[region.region] -= local;
        unmetDemand += scaledDemand - local;
        if (region.region == from) {
            fromDemand = scaledDemand;
            fromLocal = local;
            fromUnmet = scaledDemand - local;
        }
    }
    for (const auto &[region, regionFreeSlots] : freeSlots) {
        totalFreeSlots += regionFreeSlots;
    }
    if (fromDemand <= 0.0) {
        return weights;
    }
    for (const RegionCapacity &region : capacities) {
        if (region.slots <= 0.0) {
            continue;
        }
        double allocated = region.region == from ? fromLocal : 0.0;
        if (unmetDemand > 0.0 && totalFreeSlots > 0.0) {
            allocated += fromUnmet * freeSlots[region.region] / totalFreeSlots;
        }
        // Demand that the region would get without locality.
        const double evenShare = fromDemand * region.slots / slots;
        weights[region.region] = allocated / evenShare;
    }
    return weights;
}

} // namespace Currantfall::Steering
