#pragma once

#include <map>
#include <string>

#include "currantfall/Steering/RoutingConfiguration.h"

namespace Currantfall::Steering {

/// Chooses one of a route's services for each request. Requests for the same object go to the same
/// service as long as the services then get their shares; otherwise the one that lacks most gets
/// the request.
class SplitChooser
{
public:
    Common::ServiceName choose(const Route &route, const std::string &object);

private:
    struct Counts
    {
        std::vector<WeightedService> services;
        std::map<Common::ServiceName, double> requests;
        double total = 0.0;
    };

    std::map<std::string, Counts> routes;
};

} // namespace Currantfall::Steering
