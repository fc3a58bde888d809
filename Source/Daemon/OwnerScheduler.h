#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Admission/AdmissionQueue.h"
#include "currantfall/Admission/CircuitBreaker.h"
#include "currantfall/Admission/ConcurrencyLimit.h"
#include "currantfall/Drain/DrainState.h"
#include "currantfall/Drain/LoadAverage.h"
#include "currantfall/Membership/Member.h"
#include "currantfall/Placement/OwnershipTable.h"
#include "currantfall/Steering/ServerNotices.h"

#include "BackendPool.h"
#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// Answer of an owned backend server, or a refusal, with the server that was tried.
struct OwnerResult
{
    Common::Answer answer;
    Common::BackendServerName server; ///< Empty if no server was tried.
};

/// Runs requests on the backend servers that this VM owns: one admission queue per service, exact
/// slot accounting, circuit breakers and lowered limits.
class OwnerScheduler
{
public:
    using Ticket = std::uint64_t;
    using ResultHandler = std::function<void(OwnerResult)>;

    OwnerScheduler(SteeringContext &context, const Placement::OwnershipTable &ownership,
                   BackendPool::CompletionHandler completions);

    /// Applies a changed document, ownership or drain.
    void reconfigure();

    /// Queues the request; `done` is called exactly once, perhaps before the return. Servers in
    /// `avoid` are used only if there is no other.
    Ticket offer(SharedRequest request, std::vector<Common::BackendServerName> avoid,
                 ResultHandler done);

    /// Ends a request early. `done` is still called.
    void cancel(Ticket ticket);

    void onCompletion(const BackendCompletion &completion);

    std::vector<Membership::ServiceLoad> loads() const;
    Membership::ServiceLoad loadOf(const Common::ServiceName &service) const;

    /// Slots of the backend servers that are owned and not drained, whether or not a breaker or a
    /// lowered limit keeps some of them from use.
    std::size_t ownedSlots() const;
    /// Mean of the service's slots in use over about ten seconds.
    double meanInUse(const Common::ServiceName &service) const;

    /// Work on the target's backend servers.
    Drain::HeldWork held(const Drain::DrainTarget &target) const;
    /// True if a backend server that is not in `tried` could start a request of the service.
    bool hasUntriedServer(const Common::ServiceName &service,
                          const std::vector<Common::BackendServerName> &tried) const;
    std::size_t inFlight(const Common::BackendServerName &server) const;
    std::size_t inFlight() const { return this->running.size(); }
    std::size_t slotOverruns() const { return this->overruns; }

private:
    struct Server
    {
        explicit Server(const Configuration::BackendServer &settings)
            : settings(settings), limit(settings.slots)
        { }

        Configuration::BackendServer settings;
        Common::ServiceName service;
        bool startable = false; // Owned and not being drained.
        std::size_t inUse = 0;
        Common::Instant nextProbe;
        Admission::CircuitBreaker breaker;
        Admission::ConcurrencyLimit limit;
    };

    struct Waiting
    {
        SharedRequest request;
        std::vector<Common::BackendServerName> avoid;
        ResultHandler done;
    };

    struct Running
    {
        Ticket ticket = 0;
        Common::BackendServerName server;
        Common::ServiceName service;
        ResultHandler done;
    };

    struct ServiceQueue
    {
        std::unique_ptr<Admission::AdmissionQueue> queue;
        std::vector<Common::BackendServerName> servers;
        Drain::LoadAverage use;
    };

    void tick();
    void updateServers();
    void updateQueues();
    void refuseStranded(const Common::ServiceName &service, ServiceQueue &queue);
    /// Ends a request that has left the queue without being started.
    void refuseWaiting(Ticket ticket, Common::Answer answer);
    void requireStartAllowed(const Server &server) const;
    void startReady(const Common::ServiceName &service);
    void start(ServiceQueue &queue, Admission::RequestId id);
    Server *chooseServer(const ServiceQueue &queue, const Waiting &waiting);
    /// Opens or closes the server's breaker, or lowers its limit. `usual`: high service time.
    void judge(Server &server, const BackendResult &result, absl::Duration usual);
    /// The run of the server that answered last.
    Steering::ServerIncarnation incarnationOf(const Common::BackendServerName &server) const;
    Steering::ServerUse useOf(const Server &server) const;
    /// True for some time after a pause, in which requests are sent one at a time.
    bool isReturning(const Server &server) const;
    /// Applies what the server said about itself.
    void recordNotice(const Common::BackendServerName &server, const BackendResult &result);
    /// Asks servers that have left for their health, to see whether another run has begun.
    void probeServersThatLeft();
    std::string attemptName(char kind, Ticket ticket) const;
    std::size_t usableSlots(const Server &server) const;
    std::size_t usableSlots(const ServiceQueue &queue) const;
    Admission::QueueSettings queueSettings(const ServiceQueue &queue) const;
    void finish(const ResultHandler &done, Common::Answer answer,
                const Common::BackendServerName &server = {});

    SteeringContext &context;
    const Placement::OwnershipTable &ownership;
    BackendPool pool;
    absl::flat_hash_map<Common::BackendServerName, Server> servers;
    absl::flat_hash_map<Common::ServiceName, ServiceQueue> queues;
    absl::flat_hash_map<Ticket, Waiting> waiting;
    absl::flat_hash_map<std::string, Running> running; // By backend attempt.
    absl::flat_hash_map<Ticket, std::string> attemptOf;
    Ticket lastTicket = 0;
    std::size_t overruns = 0;
    Steering::ServerNotices notices;
    /// Servers that stated their start, with the latest one.
    absl::flat_hash_map<Common::BackendServerName, absl::Time> startTimes;
    /// Servers that ever gave a notice.
    Steering::ServerTable serversWithNotices;
};

} // namespace Currantfall::Daemon
