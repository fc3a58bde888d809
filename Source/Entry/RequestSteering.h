#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Steering/RegionShareGuard.h"
#include "currantfall/Steering/RequestScope.h"
#include "currantfall/Steering/RetryAllowance.h"
#include "currantfall/Steering/RoutingConfiguration.h"
#include "currantfall/Steering/ServerNotices.h"
#include "currantfall/Steering/ServerSelector.h"
#include "currantfall/Steering/SplitChooser.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "Asio.h"
#include "BackendPool.h"
#include "CallerState.h"
#include "EntrySettings.h"
#include "QuotaGate.h"

namespace Currantfall::Entry {

/// Forwards requests of callers to backend servers: matches the route, selects a server, sends
/// attempts and handles retries and timeouts. Runs on the entry thread.
class RequestSteering
{
public:
    RequestSteering(boost::asio::io_context &context, const EntrySettings &settings,
                    Common::EventLog &log, Telemetry::MetricsRegistry &metrics);

    /// Returns the response for the caller, or nothing if the caller has closed its connection.
    boost::asio::awaitable<std::optional<Adapter::HttpResponse>>
    handle(const Adapter::HttpRequest &request, SharedCaller caller);

    /// Whether the request may be executed more than once. Also true if it will not be executed.
    bool mayRepeat(const Adapter::HttpRequest &request) const;

    void setConfiguration(std::shared_ptr<const Steering::RoutingConfiguration> configuration);
    const std::shared_ptr<const Steering::RoutingConfiguration> &configuration() const
    {
        return this->currentConfiguration;
    }
    Steering::ServerTable &servers() { return this->table; }
    Steering::ServerSelector &selector() { return this->serverSelector; }
    BackendPool &pool() { return this->backendPool; }
    Telemetry::MetricsRegistry &metricsRegistry() { return this->metrics; }
    /// Outcomes of requests at backend servers, recorded by this VM and by the other VMs.
    Steering::FleetOutcomes &outcomes() { return this->fleetOutcomes; }
    /// Admits requests of tenants as far as their limits allow.
    QuotaGate &quotas() { return this->quotaGate; }
    /// What backend servers said about themselves.
    Steering::ServerNotices &notices() { return this->serverNotices; }
    /// Sets when the list of backend servers was last confirmed. Log lines contain its age.
    void setServersConfirmed(Common::Instant time)
    {
        this->serversConfirmed = time;
        this->serverSelector.setServersConfirmed(time);
    }

    /// Starts health checks and connection checks that are due and closes connections that have
    /// been idle for too long.
    void advance(Common::Instant now);

    /// Requests of callers, and attempts that have not ended.
    std::size_t requestsInProgress() const
    {
        return this->activeCallers.size() + this->attemptsInProgress;
    }

    /// The process ends at this time. Requests that could not finish before are refused.
    void setProcessEnd(Common::Instant end) { this->processEnd = end; }
    /// Gives every request in progress its final response now, because the process ends.
    void endRequests();

private:
    /// State of a request that is in progress.
    struct ActiveRequest;
    /// One attempt to execute a request at a backend server. May outlive the request.
    struct Attempt;

    boost::asio::awaitable<Adapter::HttpResponse> steer(ActiveRequest &activeRequest);
    /// Refuses a request that lies beyond its tenant's limit, or that would change the regions in
    /// which requests run too fast. Returns nothing if it may go on.
    boost::asio::awaitable<std::optional<Adapter::HttpResponse>>
    refuseBeyondShare(ActiveRequest &activeRequest);
    /// Whether a request that is sent now may still run when the process ends.
    bool mayOutliveProcess(const ActiveRequest &activeRequest, Common::Instant now) const;
    /// Whether the caller gets its final response now, finished or not.
    bool timeIsUp(const ActiveRequest &activeRequest, Common::Instant now) const;
    using SharedAttempt = std::shared_ptr<Attempt>;
    /// Waits for the attempt that determines the response: `first`, or a hedge at another server if
    /// `first` is overdue. Returns nothing if the caller closes its connection or the response
    /// deadline passes before.
    boost::asio::awaitable<SharedAttempt> awaitDecisiveAttempt(ActiveRequest &activeRequest,
                                                               SharedAttempt first);
    /// Waits until one of the attempts ends, the caller closes its connection or the time `until`
    /// is reached.
    Task awaitAny(ActiveRequest &activeRequest, const std::vector<SharedAttempt> &attempts,
                  Common::Instant until);
    /// Sends the request to a second server in parallel. Returns nothing if the maximum number of
    /// attempts is reached, no server can take the request or the retry budget is exhausted.
    SharedAttempt startHedge(ActiveRequest &activeRequest);
    SharedAttempt startAttempt(ActiveRequest &activeRequest, const Steering::SendTo &choice);
    /// Adds the attempt to the log line of the request.
    static void addToHistory(ActiveRequest &activeRequest, const Attempt &attempt);
    static Steering::RequestTarget targetOf(const ActiveRequest &activeRequest);
    /// Returns nullptr if no route matches.
    static const Steering::Route *matchRoute(const Steering::RoutingConfiguration &configuration,
                                             const Adapter::HttpRequest &request);
    /// Whether the caller may still use the route. The configuration may change while a request
    /// waits or runs.
    bool mayStillUse(const ActiveRequest &activeRequest) const;
    Steering::SelectionRequest selectionRequestFor(const ActiveRequest &activeRequest,
                                                   Common::Instant now) const;
    Task runAttempt(SharedAttempt attempt);
    Task checkHealth(Common::BackendServerName name);
    /// Starts a connection check for servers whose requests take much longer than expected.
    void checkOverdueAttempts(Common::Instant now);
    Task checkConnection(Common::BackendServerName name);
    /// Records the outcome of the attempt in the outcomes that are shared with the other VMs.
    void recordOutcome(const Attempt &attempt, const ExchangeResult &result);
    /// Applies what the response says of the server. Returns whether the server asks for a pause.
    bool recordNotice(const Exchange &exchange, const Adapter::BackendResponse &response);
    /// Makes the pool send a health check only if the server still takes requests by then.
    void withholdIfNotAccepting(Exchange &exchange);
    /// Makes the pool send the request of a caller only if the caller still waits and the server
    /// may still get it by then. Keys, homes, evacuations, entries and notices may change while a
    /// connection is established.
    void withholdIfNotEligible(Exchange &exchange, const SharedCaller &caller,
                               const Steering::RequestScope &scope);
    /// Whether the run of the server that is listed now takes requests.
    bool acceptsRequests(const Common::BackendServerName &server) const;
    /// Interrupts idempotent attempts at a server that has become unreachable, so that their
    /// requests are retried at another server.
    void interruptAttempts(const Common::BackendServerName &server);
    /// Cancels an idempotent attempt with a short delay after its caller got a timeout.
    void cancelLater(SharedAttempt attempt);

    /// Whether the request is retried at another server after this result.
    bool mayRetry(ActiveRequest &activeRequest, const ExchangeResult &result);
    Adapter::HttpResponse finalResponse(ActiveRequest &activeRequest, ExchangeResult &result);
    Adapter::HttpResponse refuse(ActiveRequest &activeRequest, const std::string &reason,
                                 absl::Duration retryAfter);
    /// Time after which a caller should retry, if all servers pause and the first one returns after
    /// `untilReturn`.
    absl::Duration retryAfterReturn(absl::Duration untilReturn);
    /// Refuses a request because all servers pause.
    Adapter::HttpResponse refusePausing(ActiveRequest &activeRequest, absl::Duration untilReturn);
    Adapter::HttpResponse fail(ActiveRequest &activeRequest, Adapter::Failure failure,
                               const std::string &reason);
    /// Gives the services and tenants of the configuration series of their own.
    void nameMetrics();
    void countAttempt(const Attempt &attempt, Steering::AttemptEnd end);
    void countRequest(const ActiveRequest &activeRequest, unsigned status);
    /// Returns the permit of a request that has not run and never will.
    void giveBackPermit(const ActiveRequest &activeRequest, unsigned status);
    void logRequest(const ActiveRequest &activeRequest, unsigned status);
    /// Empty if the region of the zone is not known.
    Common::RegionName regionOf(const Common::ZoneName &zone) const;

    Steering::RetryAllowance &retryAllowance(const Common::ServiceName &service);

    boost::asio::io_context &context;
    const EntrySettings &settings;
    Common::EventLog &log;
    Telemetry::MetricsRegistry &metrics;
    std::shared_ptr<const Steering::RoutingConfiguration> currentConfiguration;
    Steering::ServerTable table;
    Steering::FleetOutcomes fleetOutcomes;
    Steering::ServerNotices serverNotices;
    Steering::ServerSelector serverSelector;
    Steering::SplitChooser splitChooser;
    QuotaGate quotaGate;
    Steering::RegionShareGuard regionShares;
    BackendPool backendPool;
    std::map<Common::ServiceName, Steering::RetryAllowance> retryAllowances;
    std::set<SharedAttempt> runningAttempts;
    /// Callers of the requests in progress.
    std::set<SharedCaller> activeCallers;
    Common::Instant processEnd = Common::Instant::infinite();
    bool ending = false;
    Common::Instant serversConfirmed;
    std::size_t attemptsInProgress = 0;
    std::minstd_rand random;
};

} // namespace Currantfall::Entry
