#include "ServicePlan.h"

#include <algorithm>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace Currantfall::Drain {

namespace {

// Absorbs rounding, so that a demand of exactly the limit is accepted.
constexpr double slotTolerance = 1e-6;

} // namespace

ServicePlan::ServicePlan(const Configuration::Environment &environment,
                         const Configuration::Service &service,
                         const std::vector<DrainTarget> &before,
                         const std::vector<DrainTarget> &after, double limit)
    : environment(environment), service(service), limit(limit)
{
    absl::flat_hash_map<std::string, std::size_t> indexes;
    for (const Configuration::Region &region : environment.regions) {
        for (const Common::ZoneName &zone : region.zones) {
            indexes.emplace(zone.value(), this->zones.size());
            this->zones.push_back({ zone, &region });
        }
    }
    for (const Configuration::BackendServer &server : service.backendServers) {
        ZonePlan &plan = this->zones[indexes.at(server.zone.value())];
        const bool drainedBefore = isBackendServerDrained(environment, before, server);
        const bool drainedAfter = isBackendServerDrained(environment, after, server);
        plan.documentSlots += server.slots;
        plan.slotsBefore += drainedBefore ? 0 : server.slots;
        plan.slots += drainedAfter ? 0 : server.slots;
    }
}

bool ServicePlan::losesSlots() const
{
    return std::any_of(this->zones.begin(), this->zones.end(),
                       [](const ZonePlan &plan) { return plan.slots < plan.slotsBefore; });
}

void ServicePlan::addLoad(const ServiceLoad &load)
{
    for (ZonePlan &plan : this->zones) {
        if (plan.zone == load.zone) {
            const std::size_t slots = plan.slotsBefore > 0 ? plan.slotsBefore : plan.documentSlots;
            plan.demand += load.fraction * static_cast<double>(slots);
        }
    }
}

std::vector<Overload> ServicePlan::place()
{
    this->spread(Scope::Zone);
    this->spread(Scope::Region);
    this->spread(Scope::LinkedRegions);
    std::vector<Overload> overloads;
    for (const ZonePlan &plan : this->zones) {
        if (plan.demand > slotTolerance) {
            overloads.push_back(this->overload(plan));
        }
    }
    return overloads;
}

bool ServicePlan::reaches(const ZonePlan &from, const ZonePlan &to, Scope scope) const
{
    switch (scope) {
    case Scope::Zone:
        return &from == &to;
    case Scope::Region:
        return from.region == to.region;
    case Scope::LinkedRegions: {
        const Configuration::Link *const link
                = this->environment.findLink(from.region->name, to.region->name);
        return from.region != to.region && link != nullptr && link->shiftCap > 0.0;
    }
    }
    return false;
}

// The slots below the limit that are still free. A receiver never grants its reserve to other
// regions.
double ServicePlan::room(const ZonePlan &to, Scope scope) const
{
    const double reserved = 1.0 - this->environment.shift.reserve;
    const double usable
            = scope == Scope::LinkedRegions ? std::min(this->limit, reserved) : this->limit;
    return std::max(0.0, usable * static_cast<double>(to.slots) - to.placed);
}

// Moves the demand of each zone to the zones within reach in proportion to their room.
void ServicePlan::spread(Scope scope)
{
    for (ZonePlan &from : this->zones) {
        double totalRoom = 0.0;
        for (const ZonePlan &to : this->zones) {
            totalRoom += this->reaches(from, to, scope) ? this->room(to, scope) : 0.0;
        }
        const double moved = std::min(from.demand, totalRoom);
        if (moved <= 0.0) {
            continue;
        }
        const double share = moved / totalRoom;
        for (ZonePlan &to : this->zones) {
            if (this->reaches(from, to, scope)) {
                to.placed += share * this->room(to, scope);
            }
        }
        from.demand -= moved;
    }
}

// Demand without room stays where it arises: in its zone if that has slots, else in its region.
Overload ServicePlan::overload(const ZonePlan &from) const
{
    Overload result;
    result.service = this->service.name;
    result.excess = from.demand;
    if (from.slots > 0) {
        result.scope = DrainKind::Zone;
        result.place = from.zone.value();
        result.slots = from.slots;
        result.demand = from.placed + from.demand;
        return result;
    }
    result.scope = DrainKind::Region;
    result.place = from.region->name.value();
    result.demand = from.demand;
    for (const ZonePlan &plan : this->zones) {
        if (plan.region == from.region) {
            result.slots += plan.slots;
            result.demand += plan.placed;
        }
    }
    return result;
}

} // namespace Currantfall::Drain
