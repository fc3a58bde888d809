#pragma once

#include <utility>

#include "currantfall/Steering/RequestScope.h"

#include "RequestSteering.h"

// State of requests and attempts, shared by the source files of RequestSteering.

namespace Currantfall::Entry {

struct RequestSteering::Attempt
{
    std::shared_ptr<Exchange> exchange;
    SharedCaller caller;
    Common::ServiceName service;
    std::string object;
    Common::RegionName region; ///< Of the server.
    bool warm = false;
    std::size_t position = 0;
    Common::Instant start;
    /// Version of the configuration that was in force when the attempt was started.
    Common::Revision configuration = 0;
    /// Expected time until the server responds.
    absl::Duration expectedDuration;
    /// Sent while another attempt of the same request was running.
    bool hedge = false;
    /// A connection check of the server was considered because this attempt is overdue.
    bool connectionChecked = false;
    std::optional<ExchangeResult> result;
};

struct RequestSteering::ActiveRequest
{
    ActiveRequest(const Adapter::HttpRequest &request, SharedCaller callerState,
                  std::shared_ptr<const Steering::RoutingConfiguration> configuration)
        : request(request), callerRequest(Adapter::readCaller(request)),
          callerState(std::move(callerState)), configuration(std::move(configuration))
    { }

    const Adapter::HttpRequest &request;
    Adapter::CallerRequest callerRequest;
    SharedCaller callerState;
    std::shared_ptr<const Steering::RoutingConfiguration> configuration;
    const Steering::Route *route = nullptr;
    /// Set once the caller may use the route.
    Steering::RequestScope scope;
    Common::ServiceName service;
    Common::Instant start;
    /// When the caller stops waiting for the response.
    Common::Instant deadline;
    /// Latest time at which the caller gets its final response: the earlier of the caller's
    /// deadline and the route's timeout.
    Common::Instant responseDeadline;
    /// The right to one request of the tenant, if it has a limit.
    std::optional<Quotas::Permit> permit;
    std::set<Common::BackendServerName> attemptedServers;
    std::size_t attempts = 0;
    std::size_t unreachableAttempts = 0;
    /// An attempt ended without proof that the server has not executed the request.
    bool mayHaveRun = false;
    nlohmann::ordered_json history = nlohmann::ordered_json::array();
    std::string outcome;
};

} // namespace Currantfall::Entry
