#pragma once

#include <cstddef>
#include <vector>

#include "currantfall/Configuration/Environment.h"
#include "currantfall/Drain/DrainTarget.h"
#include "currantfall/Drain/HeadroomCheck.h"

namespace Currantfall::Drain {

/// Moves the demand of one service to the slots that remain during a drain.
class ServicePlan
{
public:
    /// `before` are the drains in force, `after` those and the new one.
    ServicePlan(const Configuration::Environment &environment,
                const Configuration::Service &service, const std::vector<DrainTarget> &before,
                const std::vector<DrainTarget> &after, double limit);

    /// True if the new drain takes slots of the service.
    bool losesSlots() const;

    /// Adds the demand of a zone. A zone that is drained already still has demand if its VMs
    /// report some: they have not adopted the drain yet.
    void addLoad(const ServiceLoad &load);

    /// Places all demand on the slots that are left. Returns the places where it is too much.
    std::vector<Overload> place();

private:
    struct ZonePlan
    {
        Common::ZoneName zone;
        const Configuration::Region *region = nullptr;
        std::size_t documentSlots = 0; ///< Without any drain.
        std::size_t slotsBefore = 0;
        std::size_t slots = 0; ///< Left during the new drain.
        double demand = 0.0;   ///< Demand that has no slot yet.
        double placed = 0.0;
    };

    enum class Scope {
        Zone,
        Region,
        LinkedRegions,
    };

    bool reaches(const ZonePlan &from, const ZonePlan &to, Scope scope) const;
    double room(const ZonePlan &to, Scope scope) const;
    void spread(Scope scope);
    Overload overload(const ZonePlan &from) const;

    const Configuration::Environment &environment;
    const Configuration::Service &service;
    double limit;
    std::vector<ZonePlan> zones;
};

} // namespace Currantfall::Drain
