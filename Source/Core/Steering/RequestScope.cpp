#include "currantfall/Steering/RequestScope.h"

#include <utility>

namespace Currantfall::Steering {

namespace {

HomeRegions homesOf(const Route &route, const Tenants::Tenant *tenant)
{
    const HomeRegions homes = HomeRegions::fromList(route.allowedRegions);
    return tenant == nullptr ? homes
                             : homes.intersectedWith(HomeRegions::fromList(tenant->allowedRegions));
}

Common::TenantName nameOf(const Tenants::Tenant *tenant)
{
    return tenant == nullptr ? Common::TenantName() : tenant->name;
}

} // namespace

std::optional<RequestScope> RequestScope::atArrival(const RoutingConfiguration &configuration,
                                                    const Route &route, RequestTarget target)
{
    const auto decision
            = Tenants::decideAccess(configuration.tenants(), route.publicAccess, target.key);
    if (decision.access == Tenants::Access::Denied) {
        return std::nullopt;
    }
    RequestScope scope;
    scope.target = std::move(target);
    scope.tenant = nameOf(decision.tenant);
    scope.hasTenants = !configuration.tenants().empty();
    scope.homes = homesOf(route, decision.tenant);
    scope.rank
            = decision.tenant == nullptr ? route.rank : decision.tenant->rank.value_or(route.rank);
    return scope;
}

std::optional<HomeRegions> RequestScope::homesNow(const RoutingConfiguration &current) const
{
    const Route *route = current.match(this->target.host, this->target.path);
    // A route that was removed still serves the requests that arrived before.
    const bool publicAccess = route == nullptr || route->publicAccess;
    const auto decision = Tenants::decideAccess(current.tenants(), publicAccess, this->target.key);
    const bool withdrawn = !this->tenant.empty() && nameOf(decision.tenant) != this->tenant;
    if (decision.access == Tenants::Access::Denied || withdrawn) {
        return std::nullopt;
    }
    return route == nullptr ? this->homes
                            : this->homes.intersectedWith(homesOf(*route, decision.tenant));
}

} // namespace Currantfall::Steering
