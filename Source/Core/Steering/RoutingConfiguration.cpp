#include "currantfall/Steering/RoutingConfiguration.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Currantfall::Steering {

namespace {

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return key;
}

} // namespace

RoutingConfiguration::RoutingConfiguration(Common::Revision version,
                                           std::vector<ServiceSettings> services,
                                           std::vector<Route> routes, CallerLimits limits,
                                           Tenants::TenantTable tenants)
    : versionNumber(version), callerLimits(limits), routeTotal(routes.size()),
      tenantTable(std::move(tenants))
{
    for (ServiceSettings &service : services) {
        Common::ServiceName name = service.name;
        this->servicesByName.emplace(std::move(name), std::move(service));
    }
    for (Route &route : routes) {
        std::string prefix = route.prefix;
        this->routesByHost[hostKey(route.host)].insert_or_assign(std::move(prefix),
                                                                 std::move(route));
    }
}

const ServiceSettings *RoutingConfiguration::service(const Common::ServiceName &name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : &found->second;
}

std::vector<Common::ServiceName> RoutingConfiguration::serviceNames() const
{
    std::vector<Common::ServiceName> names;
    names.reserve(this->servicesByName.size());
    for (const auto &[name, service] : this->servicesByName) {
        names.push_back(name);
    }
    return names;
}

const Route *RoutingConfiguration::match(std::string_view host, std::string_view path) const
{
    const auto routes = this->routesByHost.find(hostKey(host));
    if (routes == this->routesByHost.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    // Every prefix ends with a slash, so it is enough to truncate the path after each slash.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto route = routes->second.find(path.substr(0, slash + 1));
        if (route != routes->second.end()) {
            return &route->second;
        }
    }
    return nullptr;
}

HomeRegions RoutingConfiguration::homesOf(std::string_view host) const
{
    HomeRegions homes;
    const auto routes = this->routesByHost.find(hostKey(host));
    if (routes == this->routesByHost.end()) {
        return homes;
    }
    for (const auto &[prefix, route] : routes->second) {
        homes = homes.intersectedWith(HomeRegions::fromList(route.allowedRegions));
    }
    return homes;
}

} // namespace Currantfall::Steering
