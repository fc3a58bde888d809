#include "currantfall/Configuration/Environment.h"

#include <algorithm>

namespace Currantfall::Configuration {

namespace {

bool coversPath(const std::string &prefix, const std::string &path)
{
    if (prefix == "/" || path == prefix) {
        return true;
    }
    return path.size() > prefix.size() && path.compare(0, prefix.size(), prefix) == 0
           && path[prefix.size()] == '/';
}

template<typename Range, typename Name>
auto findNamed(const Range &range, const Name &name)
{
    const auto found = std::find_if(range.begin(), range.end(),
                                    [&name](const auto &item) { return item.name == name; });
    return found == range.end() ? nullptr : &*found;
}

} // namespace

const Route *Service::findRoute(const std::string &method, const std::string &path) const
{
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        const bool allowed = std::find(route.methods.begin(), route.methods.end(), method)
                             != route.methods.end();
        if (!allowed || !coversPath(route.path, path)) {
            continue;
        }
        if (best == nullptr || route.path.size() > best->path.size()) {
            best = &route;
        }
    }
    return best;
}

const Service *Environment::findService(const Common::ServiceName &service) const
{
    return findNamed(this->services, service);
}

const Region *Environment::regionOf(const Common::ZoneName &zone) const
{
    for (const Region &region : this->regions) {
        if (std::find(region.zones.begin(), region.zones.end(), zone) != region.zones.end()) {
            return &region;
        }
    }
    return nullptr;
}

const Link *Environment::findLink(const Common::RegionName &from,
                                  const Common::RegionName &to) const
{
    for (const Link &link : this->links) {
        const bool forward = link.first == from && link.second == to;
        const bool backward = link.first == to && link.second == from;
        if (forward || backward) {
            return &link;
        }
    }
    return nullptr;
}

const Tenant *Environment::findTenant(const Common::TenantName &tenant) const
{
    return findNamed(this->tenants, tenant);
}

} // namespace Currantfall::Configuration
