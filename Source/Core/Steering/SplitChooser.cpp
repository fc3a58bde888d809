#include "currantfall/Steering/SplitChooser.h"

#include <algorithm>
#include <cmath>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Steering {

namespace {

// A service may be this many requests ahead of its share before objects go to another one.
constexpr double requestsAhead = 2.0;
// Counts are halved at this number, so that old requests lose their weight.
constexpr double countedRequests = 200.0;

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
    double weights = 0.0;
    for (const WeightedService &part : route.services) {
        weights += part.weight;
    }
    const WeightedService *preferred = nullptr;
    const WeightedService *behind = nullptr;
    double bestScore = 0.0;
    double mostBehind = 0.0;
    for (const WeightedService &part : route.services) {
        const double scale = std::ldexp(1.0, -64);
        const double unit
                = (static_cast<double>(Common::rendezvousWeight(object, part.service.value()))
                   + 1.0)
                  * scale;
        const double score = -std::log(unit) / part.weight;
        if (preferred == nullptr || score < bestScore) {
            preferred = &part;
            bestScore = score;
        }
        const double missing
                = (counts.total + 1.0) * part.weight / weights - counts.requests[part.service];
        if (behind == nullptr || missing > mostBehind) {
            behind = &part;
            mostBehind = missing;
        }
    }
    const double ahead = counts.requests[preferred->service] + 1.0
                         - (counts.total + 1.0) * preferred->weight / weights;
    const WeightedService *chosen = object.empty() || ahead > requestsAhead ? behind : preferred;
    counts.requests[chosen->service] += 1.0;
    counts.total += 1.0;
    if (counts.total >= countedRequests) {
        counts.total /= 2.0;
        for (auto &[service, requests] : counts.requests) {
            requests /= 2.0;
        }
    }
    return chosen->service;
}

} // namespace Currantfall::Steering
