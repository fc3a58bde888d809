#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"

#include "Load/BalancerSettings.h"
#include "Load/Endpoint.h"

namespace Currantfall::Load {

/// One kind of request with its own arrival rate.
struct RequestClass
{
    std::string service;
    std::string tenant;
    std::string method = "GET";
    std::string path = "/";
    /// Mean arrivals per second.
    double rate = 1.0;
    std::size_t bodyBytes = 0;
    /// Sends an idempotency key, as non-idempotent routes require.
    bool key = false;
    /// Gets all requests instead of the entries of lookups.
    std::optional<Endpoint> entry;
    /// Makes the keys of requests to `entry`.
    std::string keyPrefix;
    /// Remaining time that is announced to the entry VM; zero announces none.
    absl::Duration deadline = absl::ZeroDuration();
    /// Addresses that lookups name as the caller's, in turn; without any, the generator's own. They
    /// place the callers in zones.
    std::vector<std::string> clients;
    /// Connections, and threads; 0 for those of the settings.
    std::size_t connections = 0;

    bool idempotent() const;
    std::string toString() const;

    /// Parses "service=...,tenant=...,method=...,path=...,rate=...,body-bytes=...,key=yes|no,
    /// deadline-ms=...,clients=IP+IP...,connections=...,key-prefix=...,entry=IP:PORT". Only the
    /// service is required.
    static Common::Result<RequestClass> parse(const std::string &text);
};

struct Settings
{
    std::vector<Endpoint> lookups;
    std::vector<Endpoint> direct;
    std::vector<Endpoint> verify;
    /// With groups, `direct` has the addresses of all of them.
    BalancerSettings balancers;
    std::vector<RequestClass> classes;
    absl::Duration duration = absl::Seconds(10);
    absl::Duration timeout = absl::Seconds(10);
    /// Planned requests that could not be sent within this time are abandoned, so that a flood
    /// beyond the connections ends on time; zero sends all of them.
    absl::Duration abandonAfter = absl::ZeroDuration();
    /// Wait between the last answer and the verification, for executions that are still running.
    absl::Duration settle = absl::Seconds(1);
    std::uint64_t seed = 1;
    /// Connections, and threads, of each class. Classes share none, so that the flood of one class
    /// does not delay another one here.
    std::size_t connections = 32;
    /// Pairs of a direct and a steered phase; 0 for one phase.
    std::size_t alternate = 0;
    /// Opens every connection before the first planned request, so that connecting is not measured.
    bool openConnections = false;
    /// Length of the intervals of the timeline; zero for none.
    absl::Duration timelineInterval = absl::ZeroDuration();
    bool json = false;

    /// Reads the command line and the variables CURRANTFALL_<FLAG>.
    static Common::Result<Settings> parse(int count, const char *const *arguments);
    static std::string help();
};

} // namespace Currantfall::Load
