#include "currantfall/Steering/LocalityShares.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace Currantfall::Steering {

namespace {

/// Demand and capacity that are not matched yet, and what `from` was given of each zone.
struct Matching
{
    std::vector<double> capacity;
    std::vector<double> demand;
    std::vector<double> granted;
    std::size_t from = 0;

    /// Serves the demand of `sources` from the capacity of `targets`, in proportion to both.
    void serve(const std::vector<std::size_t> &sources, const std::vector<std::size_t> &targets)
    {
        double wanted = 0.0;
        double free = 0.0;
        for (const std::size_t source : sources) {
            wanted += this->demand[source];
        }
        for (const std::size_t target : targets) {
            free += this->capacity[target];
        }
        if (wanted <= 0.0 || free <= 0.0) {
            return;
        }
        const double served = std::min(wanted, free);
        for (const std::size_t source : sources) {
            const double part = this->demand[source] / wanted * served;
            this->demand[source] -= part;
            if (source != this->from) {
                continue;
            }
            for (const std::size_t target : targets) {
                this->granted[target] += part * this->capacity[target] / free;
            }
        }
        for (const std::size_t target : targets) {
            this->capacity[target] -= served * this->capacity[target] / free;
        }
    }
};

std::vector<std::size_t> indicesWhere(std::size_t count,
                                      const std::function<bool(std::size_t)> &holds)
{
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < count; ++index) {
        if (holds(index)) {
            indices.push_back(index);
        }
    }
    return indices;
}

} // namespace

std::map<Common::ZoneName, double> localityWeights(const Common::ZoneName &from,
                                                   const std::vector<ZoneCapacity> &capacities,
                                                   const std::vector<ZoneDemand> &demands)
{
    Matching matching;
    double totalCapacity = 0.0;
    double totalDemand = 0.0;
    for (const ZoneCapacity &zone : capacities) {
        matching.capacity.push_back(zone.slots);
        totalCapacity += zone.slots;
    }
    for (const ZoneDemand &zone : demands) {
        totalDemand += zone.demand;
    }
    matching.from = demands.size();
    for (std::size_t index = 0; index < demands.size(); ++index) {
        // All demand is scaled to all capacity, so that every slot gets its share.
        matching.demand.push_back(
                totalDemand > 0.0 ? demands[index].demand / totalDemand * totalCapacity : 0.0);
        if (demands[index].zone == from) {
            matching.from = index;
        }
    }
    matching.granted.assign(capacities.size(), 0.0);

    for (std::size_t source = 0; source < demands.size(); ++source) {
        matching.serve({ source }, indicesWhere(capacities.size(), [&](std::size_t target) {
                           return capacities[target].zone == demands[source].zone;
                       }));
    }
    std::vector<Common::RegionName> regions;
    for (const ZoneDemand &zone : demands) {
        if (std::find(regions.begin(), regions.end(), zone.region) == regions.end()) {
            regions.push_back(zone.region);
        }
    }
    for (const Common::RegionName &region : regions) {
        matching.serve(indicesWhere(demands.size(),
                                    [&](std::size_t source) {
                                        return demands[source].region == region;
                                    }),
                       indicesWhere(capacities.size(), [&](std::size_t target) {
                           return capacities[target].region == region;
                       }));
    }
    const auto every = [](std::size_t) { return true; };
    matching.serve(indicesWhere(demands.size(), every), indicesWhere(capacities.size(), every));

    std::map<Common::ZoneName, double> weights;
    for (std::size_t target = 0; target < capacities.size(); ++target) {
        const double slots = capacities[target].slots;
        weights[capacities[target].zone] = slots > 0.0 ? matching.granted[target] / slots : 0.0;
    }
    return weights;
}

} // namespace Currantfall::Steering
