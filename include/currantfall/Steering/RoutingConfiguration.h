#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// What the operator says of a service.
struct ServiceTerms
{
    Common::ServiceName name;
    std::string healthPath;
    /// Connections that one backend server accepts from all callers together.
    std::uint32_t maxConnections = 0;
    /// Requests per second that a backend server bears while it is cold.
    double coldRequestsPerSecond = 0.0;

    friend bool operator==(const ServiceTerms &left, const ServiceTerms &right) = default;
};

/// One destination of a route and its share of the route's requests.
struct WeightedService
{
    Common::ServiceName service;
    double weight = 1.0;

    friend bool operator==(const WeightedService &left, const WeightedService &right) = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    bool idempotent = false;
    /// Longest time that a caller is kept waiting.
    absl::Duration timeout = absl::InfiniteDuration();
    /// An answer within this time has its full value for the caller.
    absl::Duration targetLatency = absl::Seconds(1);
    Common::RankIndex rank = 0;
    /// Never empty.
    std::vector<WeightedService> services;
    std::uint32_t maxAttempts = 1;
    /// Regions that may serve the route; empty: all.
    std::vector<Common::RegionName> allowedRegions;

    friend bool operator==(const Route &left, const Route &right) = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 64 } * 1024 * 1024;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);

    friend bool operator==(const CallerLimits &left, const CallerLimits &right) = default;
};

/// One version of the operator's routes, services and limits. Immutable.
class RoutingConfiguration
{
public:
    RoutingConfiguration(Common::Revision version, std::vector<ServiceTerms> services,
                         std::vector<Route> routes, CallerLimits limits);

    Common::Revision version() const { return this->versionNumber; }
    const CallerLimits &limits() const { return this->callerLimits; }
    /// nullptr if there is no such service.
    const ServiceTerms *service(const Common::ServiceName &name) const;
    /// The route of `host` with the longest prefix of `path`; nullptr if none matches. `host` may
    /// carry a port and any case.
    const Route *match(std::string_view host, std::string_view path) const;
    std::size_t routeCount() const { return this->routeTotal; }

    friend bool operator==(const RoutingConfiguration &left, const RoutingConfiguration &right)
            = default;

private:
    Common::Revision versionNumber;
    CallerLimits callerLimits;
    std::map<Common::ServiceName, ServiceTerms> servicesByName;
    /// Routes by prefix; the longest prefix of a path is found by cutting the path at slashes.
    std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>> routesByHost;
    std::size_t routeTotal = 0;
};

} // namespace Currantfall::Steering
