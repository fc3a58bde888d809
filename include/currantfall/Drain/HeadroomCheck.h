#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Configuration/Environment.h"
#include "currantfall/Drain/DrainTarget.h"

namespace Currantfall::Drain {

/// The current load of a service in a zone.
struct ServiceLoad
{
    Common::ZoneName zone;
    Common::ServiceName service;
    /// Demand as a fraction of the slots in the zone that are not drained yet; of all its slots if
    /// the zone is drained, but its VMs still report load. Above 1 if requests are queued or
    /// refused.
    double fraction = 0.0;

    friend bool operator==(const ServiceLoad &left, const ServiceLoad &right) = default;
};

/// A place that would have too few slots for a service.
struct Overload
{
    Common::ServiceName service;
    DrainKind scope = DrainKind::Zone; ///< Zone or Region.
    std::string place;                 ///< Name of the zone or region.
    double demand = 0.0;               ///< Slots needed there.
    std::size_t slots = 0;             ///< Slots that remain there.
    double excess = 0.0;               ///< Slots needed above the limit.

    /// "bellbook: zone lm-a would need 9 of 6 slots, 3.9 above the limit".
    std::string toString() const;

    friend bool operator==(const Overload &left, const Overload &right) = default;
};

struct HeadroomVerdict
{
    /// Empty if the drain is safe.
    std::vector<Overload> overloads;

    bool allowed() const { return this->overloads.empty(); }

    friend bool operator==(const HeadroomVerdict &left, const HeadroomVerdict &right) = default;
};

/// Decides whether the capacity that remains during a drain is enough. The load of lost slots moves
/// within the zone first, then within the region, then over links to other regions.
class HeadroomCheck
{
public:
    static constexpr double defaultLimit = 0.85;

    /// `limit` is the largest fraction (0..1] of the slots of a service in a zone that may be used.
    static Common::Result<HeadroomCheck> create(double limit = defaultLimit);

    /// Fails if the target or a load's zone or service is not in the document, or a load is not a
    /// number of at least zero. A missing load counts as zero.
    Common::Result<HeadroomVerdict> evaluate(const Configuration::Environment &environment,
                                             const std::vector<DrainTarget> &drains,
                                             const DrainTarget &target,
                                             const std::vector<ServiceLoad> &loads) const;

private:
    explicit HeadroomCheck(double limit) : limit(limit) { }

    double limit;
};

} // namespace Currantfall::Drain
