#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Steering/RetryAllowance.h"
#include "currantfall/Steering/RoutingConfiguration.h"
#include "currantfall/Steering/ServerSelector.h"
#include "currantfall/Steering/SplitChooser.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "Asio.h"
#include "BackendPool.h"
#include "EntrySettings.h"

namespace Currantfall::Entry {

/// The caller's side of a request that is being steered. Signals wake the request up.
struct CallerState
{
    explicit CallerState(boost::asio::io_context &context) : wake(context) { }

    /// The caller has closed its connection.
    void leave()
    {
        this->gone = true;
        this->wake.cancel();
    }

    boost::asio::steady_timer wake;
    bool gone = false;
    /// The request has its response; its connection may not exist any more.
    bool answered = false;
};
using SharedCaller = std::shared_ptr<CallerState>;

/// Takes requests from callers to backend servers: route, selection, attempts, retries, timeouts.
/// Runs on the entry thread.
class RequestSteering
{
public:
    RequestSteering(boost::asio::io_context &context, const EntrySettings &settings,
                    Common::EventLog &log, Telemetry::MetricsRegistry &metrics);

    /// The response for the caller; nothing if it has left.
    boost::asio::awaitable<std::optional<Adapter::HttpResponse>>
    handle(const Adapter::HttpRequest &request, SharedCaller caller);

    void setConfiguration(std::shared_ptr<const Steering::RoutingConfiguration> configuration);
    const std::shared_ptr<const Steering::RoutingConfiguration> &configuration() const
    {
        return this->current;
    }
    Steering::ServerTable &servers() { return this->table; }
    Steering::ServerSelector &selector() { return this->serverSelector; }
    BackendPool &pool() { return this->backendPool; }
    /// How requests at backend servers ended, here and at other VMs.
    Steering::FleetOutcomes &outcomes() { return this->fleetOutcomes; }
    /// Age of the list of backend servers, for log lines.
    void setServersConfirmed(Common::Instant time)
    {
        this->serversConfirmed = time;
        this->serverSelector.setServersConfirmed(time);
    }

    /// Starts health checks that are due and closes idle connections.
    void advance(Common::Instant now);

    std::size_t requestsInProgress() const { return this->inProgress; }

private:
    /// One request while it is handled.
    struct Work;
    /// One attempt; lives on when the request has ended before it.
    struct Attempt;

    boost::asio::awaitable<Adapter::HttpResponse> steer(Work &work);
    using SharedAttempt = std::shared_ptr<Attempt>;
    /// Waits for the attempt that decides: `first`, or one at another server if that is overdue.
    /// Nothing if the caller leaves or the time limit passes before.
    boost::asio::awaitable<SharedAttempt> awaitDecision(Work &work, SharedAttempt first);
    /// Waits until one of the attempts ends, the caller leaves or it is `until`.
    Task awaitAny(Work &work, const std::vector<SharedAttempt> &attempts, Common::Instant until);
    /// Sends the request to another server as well; nothing if none can take it or the budget is
    /// used up.
    SharedAttempt startHedge(Work &work);
    SharedAttempt startAttempt(Work &work, const Steering::SendTo &choice);
    /// Adds the attempt to the request's log line.
    static void addToHistory(Work &work, const Attempt &attempt);
    Steering::SelectionRequest questionOf(const Work &work, Common::Instant now) const;
    Task runAttempt(SharedAttempt attempt);
    Task checkHealth(Common::BackendServerName name);
    /// Checks servers whose requests take much longer than expected.
    void checkOverdue(Common::Instant now);
    Task checkConnection(Common::BackendServerName name);
    /// Counts the attempt's end for all VMs.
    void noteOutcome(const Attempt &attempt, const ExchangeResult &result);
    /// Lets idempotent requests on a server that can't be reached any more go to another one.
    void releaseStranded(const Common::BackendServerName &server);
    /// Ends an idempotent request on its server a little after its caller got a timeout.
    void cancelLater(SharedAttempt attempt);

    /// Whether the request goes to another server after this result.
    bool mayRetry(Work &work, const ExchangeResult &result);
    Adapter::HttpResponse endOf(Work &work, ExchangeResult &result);
    Adapter::HttpResponse refuse(Work &work, const std::string &reason, absl::Duration retryAfter);
    Adapter::HttpResponse fail(Work &work, Adapter::Failure failure, const std::string &reason);
    void logEnd(const Work &work, unsigned status);

    Steering::RetryAllowance &allowance(const Common::ServiceName &service);

    boost::asio::io_context &context;
    const EntrySettings &settings;
    Common::EventLog &log;
    Telemetry::MetricsRegistry &metrics;
    std::shared_ptr<const Steering::RoutingConfiguration> current;
    Steering::ServerTable table;
    Steering::FleetOutcomes fleetOutcomes;
    Steering::ServerSelector serverSelector;
    Steering::SplitChooser splits;
    BackendPool backendPool;
    std::map<Common::ServiceName, Steering::RetryAllowance> allowances;
    /// Attempts that are running.
    std::set<SharedAttempt> running;
    Common::Instant serversConfirmed;
    std::size_t inProgress = 0;
    std::minstd_rand random;
};

} // namespace Currantfall::Entry
