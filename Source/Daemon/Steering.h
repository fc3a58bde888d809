#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

#include "currantfall/Common/BoundedRing.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "ClusterFlow.h"
#include "ConfigurationFlow.h"
#include "CreditFlow.h"
#include "Dispatcher.h"
#include "Events.h"
#include "KeyedFlow.h"
#include "LookupService.h"
#include "OwnerScheduler.h"
#include "RoutingSnapshot.h"
#include "Settings.h"
#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// The steering thread: sole owner of membership, placement, admission, credits, execution and
/// drain state. Takes events from a bounded ring and drives the timers.
class Steering
{
public:
    /// What the steering thread asks of other threads.
    struct Outputs
    {
        SteeringContext::Send send;
        std::function<void(std::vector<Peering::PeerAddress>)> setPeers;
        std::function<void(const std::string &hash)> fetchDocument;
        std::function<void(std::string content)> loadDocument;
        std::function<void(bool often)> setPlatformReads;
        std::function<void(const Configuration::Environment &)> configureGate;
    };

    static Common::Result<std::unique_ptr<Steering>> create(const Settings &settings,
                                                            Common::Incarnation incarnation,
                                                            Telemetry::MetricsRegistry &metrics);
    ~Steering();

    void start(Outputs outputs);

    /// From caller threads. False if the ring is too full; the request was not taken then.
    bool submit(SharedRequest request, std::shared_ptr<Completion> completion);
    /// From other threads of the daemon; waits while the ring is full.
    void post(Event event);

    const Published<RoutingSnapshot> &routing() const { return this->routingSnapshots; }
    const Published<LookupSnapshot> &lookups() const { return this->lookupSnapshots; }

    /// Blocks until callers have had time to learn that this VM leaves.
    void awaitLeft();
    /// Blocks until all work has ended and records are handed over.
    void awaitStopped();

private:
    Steering(const Settings &settings, Common::Incarnation incarnation,
             Telemetry::MetricsRegistry &metrics);
    Common::Result<void> createFlows();

    void run();
    absl::Duration waitTime() const;
    void tick();
    void onAdopted();
    void updateLeaving();
    void publishLookups();
    void checkStop();

    void handle(CallerArrival &event);
    void handle(BackendCompletion &event);
    void handle(PeerMessage &event);
    void handle(PeerLinkUp &event);
    void handle(PeerLinkDown &event);
    void handle(RowRead &event);
    void handle(VmsListed &event);
    void handle(DocumentReady &event);
    void handle(StatusQuery &event);
    void handle(StopRequested &event);
    void handle(CallersGone &event);

    void handleForward(const Execution::VmRun &from, Peering::Wire::ForwardRequestT &message);
    void handleCluster(const Execution::VmRun &from, Peering::Wire::BodyUnion &body);
    void handleKeys(const Execution::VmRun &from, Peering::Wire::BodyUnion &body);
    void handleCredits(const Execution::VmRun &from, Peering::Wire::BodyUnion &body);
    void handleConfiguration(const Execution::VmRun &from, Peering::Wire::BodyUnion &body);
    std::string describeStatus() const;

    Settings settings;
    SteeringContext context;
    Outputs outputs;
    Common::BoundedRing<Event> events;
    Published<RoutingSnapshot> routingSnapshots;
    Published<LookupSnapshot> lookupSnapshots;
    std::shared_ptr<const Configuration::ClientBlockTable> clientBlocks;

    std::optional<ClusterFlow> cluster;
    std::optional<OwnerScheduler> scheduler;
    std::optional<CreditFlow> credits;
    std::optional<Dispatcher> dispatcher;
    std::optional<KeyedFlow> keyed;
    std::optional<ConfigurationFlow> configuration;

    std::size_t callersInProgress = 0;
    bool stopping = false;
    bool callersGone = false;
    bool finished = false;
    Common::Instant leftAt;
    Common::Mutex leftMutex;
    bool left = false;
    std::thread thread;
};

} // namespace Currantfall::Daemon
