#pragma once

#include <optional>
#include <string>

#include "currantfall/Common/Names.h"
#include "currantfall/Steering/HomeRegions.h"
#include "currantfall/Steering/RoutingConfiguration.h"

namespace Currantfall::Steering {

/// What a request is for, as its caller states it.
struct RequestTarget
{
    std::string host;
    std::string path;
    /// Proves to which tenant the caller belongs; empty if it sent none.
    std::string key;

    friend bool operator==(const RequestTarget &left, const RequestTarget &right) = default;
};

/// On whose behalf a request runs, and where it may run. Follows from the configuration that was in
/// force at its arrival; homesNow() adds the one that is in force when it is sent.
struct RequestScope
{
    /// Returns nothing if the caller may not use the route.
    static std::optional<RequestScope> atArrival(const RoutingConfiguration &configuration,
                                                 const Route &route, RequestTarget target);

    /// Regions whose servers may handle the request if it is sent now. Returns nothing if the
    /// caller may not use the route any more, or its key belongs to another tenant.
    std::optional<HomeRegions> homesNow(const RoutingConfiguration &current) const;

    RequestTarget target;
    /// Empty if no key of a tenant was sent.
    Common::TenantName tenant;
    /// The configuration has tenants: their keys are not for backend servers.
    bool hasTenants = false;
    HomeRegions homes;
    Common::RankIndex rank = 0;

    friend bool operator==(const RequestScope &left, const RequestScope &right) = default;
};

} // namespace Currantfall::Steering
