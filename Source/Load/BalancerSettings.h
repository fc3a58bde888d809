#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"

#include "Load/Endpoint.h"

namespace Currantfall::Load {

/// Balancers that share the backend servers of one service in one region.
struct BalancerGroup
{
    std::string service;
    std::size_t balancers = 0;
    std::vector<Endpoint> servers;

    /// Parses "SERVICE/BALANCERS=IP:PORT,IP:PORT".
    static Common::Result<BalancerGroup> parse(const std::string &text);
};

/// How requests are balanced without slot owners.
struct BalancerSettings
{
    std::vector<BalancerGroup> groups;
    absl::Duration reportInterval = absl::Milliseconds(250);
    /// Limit of a balancer's concurrent requests, as a multiple of its share of the group's slots.
    double limitFactor = 2.0;
    /// A balancer takes a server as at least as loaded as by its own requests there.
    bool countsOwn = false;
};

} // namespace Currantfall::Load
