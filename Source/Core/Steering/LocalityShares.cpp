#include "currantfall/Steering/LocalityShares.h"

#include <algorithm>

namespace Currantfall::Steering {

std::map<Common::RegionName, double> localityWeights(const Common::RegionName &from,
                                                     const std::vector<RegionCapacity> &capacities,
                                                     const std::vector<RegionDemand> &demands)
{
    std::map<Common::RegionName, double> free;
    double slots = 0.0;
    for (const RegionCapacity &region : capacities) {
        free[region.region] += region.slots;
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
    // All demand is scaled to all slots, so that every slot gets its share.
    const double scale = slots / demand;
    double fromDemand = 0.0;
    double fromLeft = 0.0;
    double fromLocal = 0.0;
    double freeSlots = 0.0;
    double left = 0.0;
    for (const RegionDemand &region : demands) {
        const double wanted = region.demand * scale;
        const double local = std::min(wanted, free[region.region]);
        free[region.region] -= local;
        left += wanted - local;
        if (region.region == from) {
            fromDemand = wanted;
            fromLocal = local;
            fromLeft = wanted - local;
        }
    }
    for (const auto &[region, unused] : free) {
        freeSlots += unused;
    }
    if (fromDemand <= 0.0) {
        return weights;
    }
    for (const RegionCapacity &region : capacities) {
        if (region.slots <= 0.0) {
            continue;
        }
        double granted = region.region == from ? fromLocal : 0.0;
        if (left > 0.0 && freeSlots > 0.0) {
            granted += fromLeft * free[region.region] / freeSlots;
        }
        // Without locality the region would get this part of the demand.
        const double even = fromDemand * region.slots / slots;
        weights[region.region] = granted / even;
    }
    return weights;
}

} // namespace Currantfall::Steering
