#include "currantfall/Steering/SplitChooser.h"

#include <algorithm>
#include <cmath>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Steering {

namespace {

// Number of requests by which a service may exceed its share before its objects go to another
// service.
constexpr double maxExcessRequests = 2.0;
// Total number of requests at which the counts are halved, so that recent requests weigh more.
constexpr double halvingThreshold = 200.0;

} // namespace

Common::ServiceName SplitChooser::choose(const Route &route, const std::string &object)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    Counts &counts = this->routes[route.host + route.prefix];
    if (counts.services != route.services) {
        counts = { route.services, {}, 0.0 };
    }
    double totalWeight = 0.0;
    for (const WeightedService &candidate : route.services) {
        totalWeight += candidate.weight;
    }
    const WeightedService *preferred = nullptr;
    const WeightedService *underserved = nullptr;
    double bestScore = 0.0;
    double maxDeficit = 0.0;
    for (const WeightedService &candidate : route.services) {
        const double scale = std::ldexp(1.0, -64);
        const double unit
                = (static_cast<double>(Common::rendezvousWeight(object, candidate.service.value()))
                   + 1.0)
                  * scale;
        const double score = -std::log(unit) / candidate.weight;
        if (preferred == nullptr || score < bestScore) {
            preferred = &candidate;
            bestScore = score;
        }
        const double deficit = (counts.total + 1.0) * candidate.weight / totalWeight
                               - counts.requests[candidate.service];
        if (underserved == nullptr || deficit > maxDeficit) {
            underserved = &candidate;
            maxDeficit = deficit;
        }
    }
    const double excess = counts.requests[preferred->service] + 1.0
                          - (counts.total + 1.0) * preferred->weight / totalWeight;
    const WeightedService *chosen
            = object.empty() || excess > maxExcessRequests ? underserved : preferred;
    counts.requests[chosen->service] += 1.0;
    counts.total += 1.0;
    if (counts.total >= halvingThreshold) {
        counts.total /= 2.0;
        for (auto &[service, requests] : counts.requests) {
            requests /= 2.0;
        }
    }
    return chosen->service;
}

} // namespace Currantfall::Steering
