#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "currantfall/Admission/CircuitBreaker.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Steering/BackendServer.h"

namespace Currantfall::Steering {

/// A backend server's own count of its work, as of one response.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const LoadReport &left, const LoadReport &right) = default;
};

/// How an attempt at a backend server ended.
enum class AttemptEnd {
    Answered,    ///< A whole response.
    ServerError, ///< A whole response that says that the server failed.
    NotExecuted, ///< The server says that it did not run the request.
    Misdirected, ///< Another server has the address.
    Unreachable, ///< No connection; nothing was sent.
    Broken,      ///< The connection or the response failed after the request was sent.
    Abandoned,   ///< This VM ended it; says nothing about the server.
};

std::string toString(AttemptEnd end);

/// What this VM knows of one backend server.
class ServerRecord
{
public:
    ServerRecord(BackendServer server, Common::Instant readAt);

    /// A later entry of the same server.
    void update(const BackendServer &server, Common::Instant readAt);

    const BackendServer &server() const { return this->current; }
    Common::Instant coldUntil() const { return this->coldEnd; }
    bool cold(Common::Instant now) const { return now < this->coldEnd; }
    /// The server's health response or entry says that it is cold for `remaining`.
    void setCold(Common::Instant now, absl::Duration remaining);

    /// Requests on the server that this VM knows of: its own, and those of others by the last
    /// report, which loses its weight as it ages.
    double load(Common::Instant now) const;
    /// Mean of the reported requests per slot over the last seconds; falls without reports.
    double meanLoad(Common::Instant now) const;
    std::uint32_t ownRequests() const { return this->inFlight; }

    void onSent(Common::Instant now, const std::string &object);
    void onEnd(Common::Instant now, AttemptEnd end, const LoadReport *report);
    void onHealth(Common::Instant now, bool healthy);
    /// No connection to the server can be made: no work goes there until it is found healthy.
    void onUnreachable(Common::Instant now);

    /// Whether this VM has sent a request for the object lately, so that it is in the server's
    /// cache.
    bool hasHandled(const std::string &object, Common::Instant now) const;

    /// Whether new work may be sent, apart from the pace of cold servers.
    bool usable(Common::Instant now) const;
    /// Whether a health check should find out if the server works again.
    bool needsProbe(Common::Instant now) const;
    void onProbeStarted(Common::Instant now);

    /// Part of the latest requests that the server failed or refused without being full, 0 to 1.
    double failureRate() const { return this->failures; }

    Common::Instant lastSent() const { return this->latestSend; }
    /// When the server last gave a sign of life.
    Common::Instant lastHeard() const { return this->heardAt; }
    void onHeard(Common::Instant now) { this->heardAt = now; }

private:
    BackendServer current;
    Common::Instant coldEnd;
    std::uint32_t inFlight = 0;
    LoadReport report;
    Common::Instant reportedAt;
    std::uint32_t ownAtReport = 0;
    double smoothedLoad = 0.0;
    Common::Instant smoothedAt;
    bool reported = false;
    bool misdirected = false;
    double failures = 0.0;
    Admission::CircuitBreaker breaker;
    Common::Instant latestSend = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    Common::Instant heardAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    Common::Instant probeUntil = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    /// Last use of objects, bounded by `handledObjects`.
    absl::flat_hash_map<std::string, Common::Instant> handled;
};

/// All backend servers that the platform's store names, by service.
class ServerTable
{
public:
    /// Adds a server or takes over its later entry.
    void put(const BackendServer &server, Common::Instant readAt);
    void remove(const Common::BackendServerName &name);

    ServerRecord *find(const Common::BackendServerName &name);
    /// Servers of the service; draining ones included. Pointers stay valid until put() or remove().
    const std::vector<ServerRecord *> &ofService(const Common::ServiceName &service) const;
    std::vector<ServerRecord *> all();
    std::size_t size() const { return this->records.size(); }
    /// Changes with every change that affects which servers may be used.
    std::uint64_t generation() const { return this->generationCount; }

private:
    void rebuild();

    std::map<Common::BackendServerName, ServerRecord> records;
    std::map<Common::ServiceName, std::vector<ServerRecord *>> byService;
    std::uint64_t generationCount = 0;
};

} // namespace Currantfall::Steering
