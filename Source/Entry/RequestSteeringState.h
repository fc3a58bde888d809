#pragma once

#include <utility>

#include "RequestSteering.h"

// State of one request, for the parts of RequestSteering.

namespace Currantfall::Entry {

struct RequestSteering::Attempt
{
    std::shared_ptr<Exchange> exchange;
    SharedCaller caller;
    Common::ServiceName service;
    std::string object;
    bool warm = false;
    std::size_t position = 0;
    Common::Instant start;
    /// How long the server should take.
    absl::Duration expected;
    /// It was sent while another attempt of the request was running.
    bool hedge = false;
    /// The server's reachability was checked because of this attempt.
    bool checked = false;
    std::optional<ExchangeResult> result;
};

struct RequestSteering::Work
{
    Work(const Adapter::HttpRequest &request, SharedCaller state,
         std::shared_ptr<const Steering::RoutingConfiguration> configuration)
        : request(request), caller(Adapter::readCaller(request)), state(std::move(state)),
          configuration(std::move(configuration))
    { }

    const Adapter::HttpRequest &request;
    Adapter::CallerRequest caller;
    SharedCaller state;
    std::shared_ptr<const Steering::RoutingConfiguration> configuration;
    const Steering::Route *route = nullptr;
    Common::ServiceName service;
    Common::Instant start;
    /// When the caller gives up.
    Common::Instant deadline;
    /// When the caller gets its final response at the latest.
    Common::Instant limit;
    std::set<Common::BackendServerName> tried;
    std::size_t attempts = 0;
    std::size_t unreachable = 0;
    /// An attempt at an idempotent request failed after it was sent.
    bool mayHaveRun = false;
    nlohmann::ordered_json history = nlohmann::ordered_json::array();
    std::string outcome;
};

} // namespace Currantfall::Entry
