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

/// Load that a backend server reported about itself in a response.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on the server's machine at this moment; 100 means as usual.
    std::uint32_t workTimePercent = 100;

    friend bool operator==(const LoadReport &left, const LoadReport &right) = default;
};

/// How an attempt at a backend server ended.
enum class AttemptEnd {
    Answered,    ///< A complete response.
    ServerError, ///< A complete response that reports a server error.
    NotExecuted, ///< The server reports that it did not run the request.
    Misdirected, ///< A different server uses the address now.
    Unreachable, ///< No connection was made and nothing was sent.
    Broken,      ///< The connection or the response failed after the request was sent.
    Abandoned,   ///< This VM cancelled the attempt. The server is not judged by it.
    /// This VM sent nothing: the server became ineligible or the caller left while it connected.
    Withheld,
};

std::string toString(AttemptEnd end);

/// State that this VM keeps for one backend server.
class ServerRecord
{
public:
    ServerRecord(BackendServer server, Common::Instant readAt);

    /// Applies a newer store entry of the same server.
    void update(const BackendServer &server, Common::Instant readAt);

    const BackendServer &server() const { return this->current; }
    /// The server's slots, limited to a multiple of what most servers of its service have.
    std::uint32_t plausibleSlots() const { return this->slotsInUse; }
    void setPlausibleSlots(std::uint32_t slots) { this->slotsInUse = slots; }
    Common::Instant coldUntil() const { return this->coldEnd; }
    bool cold(Common::Instant now) const { return now < this->coldEnd; }
    /// Marks the server as cold for `remaining`, as reported by its health response or its store
    /// entry.
    void setCold(Common::Instant now, absl::Duration remaining);

    /// Estimated number of requests on the server: this VM's requests in flight, plus the requests
    /// of other VMs according to the last load report. The latter decay with the report's age.
    double load(Common::Instant now) const;
    /// Moving average of the reported requests per slot. Decays while no reports arrive.
    double meanLoad(Common::Instant now) const;
    std::uint32_t ownRequests() const { return this->inFlight; }

    void onSent(Common::Instant now, const std::string &object);
    /// A server that asks for a pause with its response is not judged by the response.
    void onEnd(Common::Instant now, AttemptEnd end, const LoadReport *report,
               bool asksForPause = false);
    void onHealthCheck(Common::Instant now, bool healthy);
    /// The health check was not sent.
    void onProbeWithheld();
    /// Opens the circuit breaker because no connection can be made. The server gets no requests
    /// until a health check succeeds.
    void onUnreachable(Common::Instant now);

    /// Whether this VM recently sent a request for the object, so that the server's cache is
    /// expected to contain it.
    bool likelyCaches(const std::string &object, Common::Instant now) const;

    /// Whether the server may get new requests. The rate limit of cold servers is not considered.
    bool usable(Common::Instant now) const;
    /// Whether a health check should be sent to test if the server has recovered.
    bool needsProbe(Common::Instant now) const;
    void onProbeStarted(Common::Instant now);

    /// Moving average of the fraction (0 to 1) of requests that failed, or that the server refused
    /// while it had free slots.
    double failureRate() const { return this->failures; }

    Common::Instant lastSent() const { return this->latestSend; }
    /// When the server last responded.
    Common::Instant lastHeard() const { return this->heardAt; }
    void onHeard(Common::Instant now) { this->heardAt = now; }

private:
    BackendServer current;
    std::uint32_t slotsInUse;
    Common::Instant coldEnd;
    std::uint32_t inFlight = 0;
    LoadReport report;
    Common::Instant reportedAt;
    std::uint32_t inFlightAtReport = 0;
    double smoothedLoad = 0.0;
    Common::Instant smoothedAt;
    bool hasReport = false;
    bool misdirected = false;
    double failures = 0.0;
    Admission::CircuitBreaker breaker;
    Common::Instant latestSend = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    Common::Instant heardAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    Common::Instant probeUntil = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    /// Time of the last request for each object, limited to `maxRecentObjects` entries.
    absl::flat_hash_map<std::string, Common::Instant> recentObjects;
};

/// All backend servers listed in the platform's store, indexed by service.
class ServerTable
{
public:
    /// Adds a server, or updates it from a newer entry.
    void put(const BackendServer &server, Common::Instant readAt);
    void remove(const Common::BackendServerName &name);

    ServerRecord *find(const Common::BackendServerName &name);
    const ServerRecord *find(const Common::BackendServerName &name) const;
    /// Servers of the service, including draining ones. Pointers are valid until the next put() or
    /// remove().
    const std::vector<ServerRecord *> &ofService(const Common::ServiceName &service) const;
    std::vector<ServerRecord *> all();
    /// All servers by name. Pointers into it are valid until their server is removed.
    std::map<Common::BackendServerName, ServerRecord> &byName() { return this->records; }
    std::size_t size() const { return this->records.size(); }
    /// Changes whenever a server is added, updated or removed, as this may change which servers
    /// can be used.
    std::uint64_t generation() const { return this->generationCount; }

private:
    struct ServiceServers
    {
        /// Sorted by name.
        std::map<Common::BackendServerName, ServerRecord *> members;
        /// The same servers, and their limited slots, unless `outdated`.
        std::vector<ServerRecord *> list;
        bool outdated = false;
    };

    /// Returns nullptr if there is no server of the service.
    const ServiceServers *refresh(const Common::ServiceName &service) const;
    /// The servers of a service and the limit of their slots have to be determined again.
    void markChanged(const Common::ServiceName &service);
    /// Limits the slots of each server of a service.
    static void limitSlots(const std::vector<ServerRecord *> &servers);

    std::map<Common::BackendServerName, ServerRecord> records;
    /// Many servers change at the same time; what follows from them is determined when it is used.
    mutable std::map<Common::ServiceName, ServiceServers> byService;
    std::uint64_t generationCount = 0;
};

} // namespace Currantfall::Steering
