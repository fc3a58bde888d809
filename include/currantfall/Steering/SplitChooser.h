#pragma once

#include <map>
#include <string>

#include "currantfall/Steering/RoutingConfiguration.h"

namespace Currantfall::Steering {

/// Chooses one of a route's services for each request according to their weights. Requests for the
/// same object go to the same service as long as the services get their shares; otherwise the
/// service that is furthest below its share gets the request.
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
