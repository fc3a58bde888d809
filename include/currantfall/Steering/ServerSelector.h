#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"
#include "currantfall/Steering/FleetOutcomes.h"
#include "currantfall/Steering/HomeRegions.h"
#include "currantfall/Steering/LocalityShares.h"
#include "currantfall/Steering/RoutingConfiguration.h"
#include "currantfall/Steering/ServerNotices.h"
#include "currantfall/Steering/ServerTable.h"

namespace Currantfall::Steering {

/// Limit of the request rate to a cold server, summed over all VMs.
struct ColdRateLimit
{
    double overage = 1.0; ///< Multiple of the cold rate that the operator configured.
    double extra = 0.0;   ///< Requests per second in addition.

    friend bool operator==(const ColdRateLimit &left, const ColdRateLimit &right) = default;
};

/// Location of this VM, and the settings that all VMs share.
struct SelectorSettings
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    /// Region of each zone.
    std::map<Common::ZoneName, Common::RegionName> regions;
    ColdRateLimit coldRateLimit;
};

/// A request for which a backend server is selected.
struct SelectionRequest
{
    const Route *route = nullptr;
    Common::ServiceName service;
    /// Requests for the same object are faster on a server that has it in its cache. Empty if the
    /// request names no object.
    std::string object;
    /// Determines the order of servers for requests without an object. Differs from request to
    /// request.
    std::string requestId;
    /// Time until the deadline of the caller or the timeout of the route, whichever is first.
    absl::Duration remaining = absl::ZeroDuration();
    /// Time since the request arrived.
    absl::Duration waited = absl::ZeroDuration();
    /// Regions whose servers may handle the request.
    HomeRegions homes;
    /// Servers that this request was already sent to.
    std::set<Common::BackendServerName> tried;
};

enum class RejectReason {
    NoServer,   ///< No eligible server is known.
    Overloaded, ///< No server can answer within the remaining time.
    Pausing,    ///< All eligible servers asked for a pause; `retryAfter` is when the first ends.
};

struct SendTo
{
    ServerRecord *server = nullptr;
    /// Index of the server in the object's order of servers.
    std::size_t position = 0;
    /// Whether the object is expected to be in the server's cache.
    bool cacheHit = false;
    /// Expected time until the answer, including the queue of the server.
    absl::Duration expected;
};
struct WaitUntil
{
    Common::Instant time;
};
struct Reject
{
    RejectReason reason = RejectReason::NoServer;
    absl::Duration retryAfter;
};
using Selection = std::variant<SendTo, WaitUntil, Reject>;

/// Assignment of an object to a server other than the first one of its order.
struct ObjectMove
{
    Common::ServiceName service;
    std::string object;
    Common::BackendServerName server;
    /// Server that handled the object before.
    Common::BackendServerName from;
    /// If VMs move an object to different servers, the move with the highest sequence number wins.
    std::uint64_t sequence = 0;

    friend bool operator==(const ObjectMove &left, const ObjectMove &right) = default;
};

/// A zone whose evacuation has ended.
struct ReturnedZone
{
    Common::ZoneName zone;
    absl::Duration age; ///< Time since the evacuation ended.

    friend bool operator==(const ReturnedZone &left, const ReturnedZone &right) = default;
};

/// Selects the backend server for each request. Every object has its own order of servers, which is
/// the same on all VMs, and its requests are sent to the first server if that can answer in time.
/// Requests without an object may use any server of their order.
class ServerSelector
{
public:
    ServerSelector(SelectorSettings settings, ServerTable &servers, const FleetOutcomes &outcomes,
                   const ServerNotices &notices);

    /// Servers that leave are selected only if no other server can take the request now.
    Selection select(const SelectionRequest &request, const ServiceSettings *serviceSettings,
                     Common::Instant now);

    /// Records that a request is sent to the selected server.
    void onSent(const SelectionRequest &request, const SendTo &choice, Common::Instant now);
    /// Updates the mean service time of the service. `cacheHit` is the expectation that the
    /// selection returned.
    void onAnswered(const Common::ServiceName &service, bool cacheHit, absl::Duration time);

    /// Servers of a zone whose evacuation has ended are treated as cold until their entries in the
    /// store are up to date: they had no requests and may have been restarted.
    void setEvacuatedZones(std::set<Common::ZoneName> zones, Common::Instant now);
    /// Called when this VM starts. It does not know which evacuations ended before, so it treats
    /// all servers as cold until a peer reports the returned zones.
    void setStarted(Common::Instant now) { this->awaitingPeerSince = now; }
    /// Recently returned zones, for VMs that have just started.
    std::vector<ReturnedZone> returnedZones(Common::Instant now) const;
    void applyReturnedZones(const std::vector<ReturnedZone> &zones, Common::Instant now);
    /// The entries of the servers reflect the state of the store at `time`.
    void setServersConfirmed(Common::Instant time) { this->serversConfirmed = time; }
    /// All VMs that may send requests, including this one.
    void setVms(std::vector<Common::VmName> vms);
    std::size_t vmCount() const { return this->vms.size(); }

    /// Returns the moves that this VM has made since the last call, to be sent to the other VMs.
    std::vector<ObjectMove> takeMoves();
    /// Applies a move of another VM. Returns false if the move is already known, is older than the
    /// known one, or exceeds the number of stored moves.
    bool applyMove(const ObjectMove &move, Common::Instant now);
    /// All known moves, for a VM that did not receive them.
    std::vector<ObjectMove> moves() const;

    /// Whether the server may get a request with these homes now. A server whose region is unknown
    /// only gets requests that all regions may handle.
    bool mayUse(const ServerRecord &server, const HomeRegions &homes, Common::Instant now) const;

    /// Time until the first pause of an eligible server ends. Nothing if there is no such server,
    /// or if another server that the request was not sent to may be used.
    std::optional<absl::Duration> timeUntilReturn(const SelectionRequest &request,
                                                  Common::Instant now) const;

    /// Mean service time of the service's requests with a cache hit or a cache miss.
    absl::Duration meanServiceTime(const Common::ServiceName &service, const Route &route,
                                   bool cacheHit) const;

private:
    struct Candidate
    {
        ServerRecord *server = nullptr;
        double score = 0.0;
        bool failing = false;
    };
    struct ServiceTimes
    {
        absl::Duration cacheHit;
        absl::Duration cacheMiss;
        bool cacheHitKnown = false;
        bool cacheMissKnown = false;
    };
    struct CachedWeights
    {
        std::uint64_t generation = 0;
        std::uint64_t noticeGeneration = 0;
        /// When a pause or the last use of a leaving server ends.
        Common::Instant validUntil;
        std::map<Common::RegionName, double> weights;
    };

    /// Eligible servers of one use in the object's order. Servers that fail according to the
    /// reports of all VMs are ejected, unless too many of them fail.
    std::vector<Candidate> candidates(const SelectionRequest &request, ServerUse use,
                                      Common::Instant now);
    /// Selects among the servers of one use.
    Selection selectAmong(const SelectionRequest &request, ServerUse use,
                          const ServiceSettings *serviceSettings, Common::Instant now);
    /// Whether the server may get a request with these homes, regardless of its notices.
    bool eligible(const ServerRecord &server, const HomeRegions &homes, Common::Instant now) const;
    /// Result of the servers that were evaluated so far.
    struct Evaluation
    {
        std::optional<SendTo> best;
        absl::Duration bestCost;
        /// Earliest send time of the servers that limit the rate of requests.
        Common::Instant earliestSendTime = Common::Instant::infinite();
        absl::Duration minFinishTime = absl::InfiniteDuration();
    };
    using ObjectKey = std::pair<Common::ServiceName, std::string>;
    /// If the object was moved, puts its new server at the front of the order.
    void putMoveTargetFirst(const SelectionRequest &request, std::vector<Candidate> &order) const;
    /// Moves the object to another server of its order if the mean load of the first one is too
    /// high.
    void moveObjectFromBusyServer(const SelectionRequest &request, std::vector<Candidate> &order,
                                  Common::Instant now);
    /// Excludes servers that may be cold or return from a pause and have reached their rate, unless
    /// all have: during the evacuation or the pause the next server of the order handled their
    /// objects.
    void excludeRateLimited(std::vector<Candidate> &order, const ServiceSettings *serviceSettings,
                            Common::Instant now) const;
    void evaluate(const SelectionRequest &request, const ServiceSettings *serviceSettings,
                  Common::Instant now, ServerRecord &server, std::size_t position,
                  Evaluation &evaluation) const;
    const std::map<Common::RegionName, double> &regionWeights(const Common::ServiceName &service,
                                                              Common::Instant now);
    /// Whether the server may be cold although its entry does not say so.
    bool mayBeCold(const ServerRecord &server, Common::Instant now) const;
    /// Whether the server is cold according to its entry, or may be.
    bool cold(const ServerRecord &server, Common::Instant now) const;
    /// Earliest time at which this VM may send the next request to a cold server.
    Common::Instant nextColdSendTime(const ServerRecord &server,
                                     const ServiceSettings *serviceSettings) const;

    SelectorSettings settings;
    ServerTable &servers;
    const FleetOutcomes &outcomes;
    const ServerNotices &notices;
    std::set<Common::ZoneName> evacuatedZones;
    /// Time at which the evacuation of a zone ended.
    std::map<Common::ZoneName, Common::Instant> returnedAt;
    Common::Instant serversConfirmed;
    /// Start time of this VM; unset once a peer has reported the returned zones.
    std::optional<Common::Instant> awaitingPeerSince;
    std::vector<Common::VmName> vms;
    std::map<Common::ServiceName, ServiceTimes> serviceTimes;
    std::map<ObjectKey, ObjectMove> movedObjects;
    std::vector<ObjectMove> newMoves;
    std::uint64_t lastSequence = 0;
    /// Time at which an object was last moved from or to a server.
    std::map<Common::BackendServerName, Common::Instant> lastMoveAt;
    std::map<Common::ServiceName, CachedWeights> weights;
};

} // namespace Currantfall::Steering
