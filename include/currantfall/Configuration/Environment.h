#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Configuration {

struct Tenant
{
    Common::TenantName name;
    /// Share among the tenants of one rank, relative to the other tenants' weights.
    double weight = 1.0;

    friend bool operator==(const Tenant &left, const Tenant &right) = default;
};

struct Rank
{
    Common::RankName name;
    /// Fraction (0..1) of capacity that the rank keeps while higher ranks flood.
    double floor = 0.0;

    friend bool operator==(const Rank &left, const Rank &right) = default;
};

struct Region
{
    Common::RegionName name;
    std::vector<Common::ZoneName> zones;

    friend bool operator==(const Region &left, const Region &right) = default;
};

/// The link between two regions; both directions have the same limits.
struct Link
{
    Common::RegionName first;
    Common::RegionName second;
    /// Mbit/s each way.
    double capacity = 0.0;
    /// Fraction (0..1) of the capacity that shifted traffic may use.
    double shiftCap = 0.0;

    friend bool operator==(const Link &left, const Link &right) = default;
};

struct ShiftPolicy
{
    absl::Duration interval = absl::Seconds(1);
    /// Largest change per interval as a fraction (0..1) of the receiver's slots.
    double maxStep = 0.1;
    /// Fraction (0..1) of its slots that a receiver never grants to other regions.
    double reserve = 0.15;
    absl::Duration slowStart = absl::Seconds(10);

    friend bool operator==(const ShiftPolicy &left, const ShiftPolicy &right) = default;
};

struct ClientBlock
{
    /// IPv4 network in CIDR notation.
    std::string cidr;
    Common::ZoneName zone;

    friend bool operator==(const ClientBlock &left, const ClientBlock &right) = default;
};

struct Route
{
    /// Matches this path and everything below it.
    std::string path;
    std::vector<std::string> methods;
    bool idempotent = false;

    friend bool operator==(const Route &left, const Route &right) = default;
};

struct BackendServer
{
    Common::BackendServerName name;
    Common::ZoneName zone;
    /// IPv4 address and port, "127.11.1.1:9001".
    std::string address;
    /// Requests that the server runs at the same time.
    std::size_t slots = 0;

    friend bool operator==(const BackendServer &left, const BackendServer &right) = default;
};

struct Service
{
    Common::ServiceName name;
    Common::RankIndex rank = 0;
    /// Time from arrival at the entry VM to the answer.
    absl::Duration deadline = absl::ZeroDuration();
    std::size_t bodyLimit = 0; ///< Bytes.
    std::vector<Route> routes;
    std::vector<BackendServer> backendServers;

    /// The route with the longest matching path among those that allow `method`; nullptr if none.
    /// `path` starts with '/'; a query string must have been removed.
    const Route *findRoute(const std::string &method, const std::string &path) const;

    friend bool operator==(const Service &left, const Service &right) = default;
};

/// A checked environment document. Made by parseEnvironment(); never changed afterwards.
struct Environment
{
    std::string name;
    std::vector<Tenant> tenants;
    std::vector<Rank> ranks;
    std::vector<Region> regions;
    std::vector<Link> links;
    ShiftPolicy shift;
    absl::Duration lookupTtl = absl::Seconds(2);
    std::vector<ClientBlock> clientBlocks;
    std::vector<Service> services;

    const Service *findService(const Common::ServiceName &service) const;
    /// The region that has `zone`; nullptr if there is none.
    const Region *regionOf(const Common::ZoneName &zone) const;
    const Link *findLink(const Common::RegionName &from, const Common::RegionName &to) const;
    const Tenant *findTenant(const Common::TenantName &tenant) const;

    friend bool operator==(const Environment &left, const Environment &right) = default;
};

} // namespace Currantfall::Configuration
