#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Steering/HomeRegions.h"
#include "currantfall/Tenants/TenantTable.h"

namespace Currantfall::Steering {

/// Settings of a service in the configuration of the operator.
struct ServiceSettings
{
    Common::ServiceName name;
    std::string healthPath;
    /// Connections that one backend server accepts from all callers together.
    std::uint32_t maxConnections = 0;
    /// Requests per second that a backend server can handle while it is cold.
    double coldRequestsPerSecond = 0.0;

    friend bool operator==(const ServiceSettings &left, const ServiceSettings &right) = default;
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
    /// Maximum time until a caller gets an answer.
    absl::Duration timeout = absl::InfiniteDuration();
    /// An answer within this time has its full value for the caller.
    absl::Duration targetLatency = absl::Seconds(1);
    Common::RankIndex rank = 0;
    /// Never empty.
    std::vector<WeightedService> services;
    std::uint32_t maxAttempts = 1;
    /// Regions whose servers may handle the route; all regions if empty.
    std::vector<Common::RegionName> allowedRegions;
    /// Callers need no key of a tenant.
    bool publicAccess = false;

    friend bool operator==(const Route &left, const Route &right) = default;
};

/// Size limits and timeouts for requests of callers.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 64 } * 1024 * 1024;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);

    friend bool operator==(const CallerLimits &left, const CallerLimits &right) = default;
};

/// Immutable version of the routes, services and limits that the operator configured.
class RoutingConfiguration
{
public:
    RoutingConfiguration(Common::Revision version, std::vector<ServiceSettings> services,
                         std::vector<Route> routes, CallerLimits limits,
                         Tenants::TenantTable tenants = {});

    Common::Revision version() const { return this->versionNumber; }
    const CallerLimits &limits() const { return this->callerLimits; }
    /// Returns nullptr if there is no such service.
    const ServiceSettings *service(const Common::ServiceName &name) const;
    std::vector<Common::ServiceName> serviceNames() const;
    /// Returns the route of `host` with the longest prefix of `path`, or nullptr if none matches.
    /// `host` may contain a port and is compared case-insensitively.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Regions that are homes of all routes of `host` that have homes. `host` is compared as in
    /// match().
    HomeRegions homesOf(std::string_view host) const;
    std::size_t routeCount() const { return this->routeTotal; }
    const Tenants::TenantTable &tenants() const { return this->tenantTable; }

    friend bool operator==(const RoutingConfiguration &left, const RoutingConfiguration &right)
            = default;

private:
    Common::Revision versionNumber;
    CallerLimits callerLimits;
    std::map<Common::ServiceName, ServiceSettings> servicesByName;
    /// Routes by host and prefix. The longest prefix of a path is found by truncating the path at
    /// its slashes.
    std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>> routesByHost;
    std::size_t routeTotal = 0;
    Tenants::TenantTable tenantTable;
};

} // namespace Currantfall::Steering
