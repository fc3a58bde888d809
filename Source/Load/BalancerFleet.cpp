#include "Load/BalancerFleet.h"

#include <utility>

namespace Currantfall::Load {

BalancerFleet::BalancerFleet(const BalancerSettings &settings, std::uint64_t seed)
{
    for (const BalancerGroup &group : settings.groups) {
        Group balancers;
        for (std::size_t index = 0; index < group.balancers; ++index) {
            balancers.push_back(std::make_unique<DirectBalancer>(settings, group, ++seed));
        }
        this->groups[group.service].push_back(std::move(balancers));
    }
}

DirectBalancer &BalancerFleet::balancerFor(const std::string &service, std::uint64_t number)
{
    std::vector<Group> &found = this->groups.at(service);
    Group &group = found[number % found.size()];
    return *group[number / found.size() % group.size()];
}

} // namespace Currantfall::Load
