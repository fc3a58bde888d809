#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Load/DirectBalancer.h"

namespace Currantfall::Load {

/// All independent balancers of a run.
class BalancerFleet
{
public:
    BalancerFleet(const BalancerSettings &settings, std::uint64_t seed);

    /// The balancer for the request `number` of a service: requests go to the groups in turn, as
    /// callers of all regions would, and to the balancers of a group in turn. The service must have
    /// a group.
    DirectBalancer &balancerFor(const std::string &service, std::uint64_t number);

private:
    using Group = std::vector<std::unique_ptr<DirectBalancer>>;

    std::map<std::string, std::vector<Group>> groups;
};

} // namespace Currantfall::Load
