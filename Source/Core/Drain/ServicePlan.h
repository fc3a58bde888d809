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
    ServicePlan(const Configuration::Environment &environment,
                const Configuration::Service &service, double limit);

    /// Adds the demand of a zone, in slots.
    void addDemand(const Common::ZoneName &zone, double slots);

    /// The slots of a zone that are not drained.
    static std::size_t slotsLeft(const Configuration::Environment &environment,
                                 const Configuration::Service &service,
                                 const Common::ZoneName &zone,
                                 const std::vector<DrainTarget> &drains);

    /// Places all demand on the slots that `drains` leave. Returns the places where it is too much.
    std::vector<Overload> place(const std::vector<DrainTarget> &drains);

private:
    struct ZonePlan
    {
        Common::ZoneName zone;
        const Configuration::Region *region = nullptr;
        std::size_t slots = 0;
        double demand = 0.0; ///< Demand that has no slot yet.
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
