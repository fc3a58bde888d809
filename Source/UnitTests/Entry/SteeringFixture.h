#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "RequestSteering.h"

namespace Currantfall::Entry::Tests {

/// Settings of an entry VM that listens on the loopback interface.
EntrySettings loopbackSettings();

/// RequestSteering of one VM with one service. Runs on the thread of the test.
class SteeringFixture
{
public:
    SteeringFixture();

    /// Adds a server of the service that listens on `port`. Zone "a" is in region "west", zone "b"
    /// in region "east".
    void addServer(const std::string &name, std::uint16_t port, const std::string &zone = "a");
    /// Sets a configuration with an idempotent route (/read/) and one that is not idempotent
    /// (/write/). Both may be handled in the regions `homes`, or in all if it is empty.
    void configure(absl::Duration timeout = absl::Seconds(5), std::uint32_t maxAttempts = 3,
                   const std::vector<Common::RegionName> &homes = {},
                   const Steering::CallerLimits &limits = {},
                   std::vector<Tenants::Tenant> tenants = {});

    static Adapter::HttpRequest request(const std::string &path, const std::string &id = "id-1");

    /// Handles the request and returns the response, or nothing if the caller has disconnected. The
    /// caller disconnects after `disconnectAfter` if it is set.
    std::optional<Adapter::HttpResponse> run(const Adapter::HttpRequest &request,
                                             std::optional<absl::Duration> disconnectAfter = {});
    /// Starts a request that continues during run() and runFor().
    std::shared_ptr<std::optional<Adapter::HttpResponse>>
    startRequest(const Adapter::HttpRequest &request);
    /// Runs the event loop, for attempts and timers that outlive their request.
    void runFor(absl::Duration duration);
    /// Runs the event loop until the condition holds. Returns false if it does not in 20 s.
    bool runUntil(const std::function<bool()> &condition);

    boost::asio::io_context context { 1 };
    EntrySettings settings;
    Common::EventLog log;
    Telemetry::MetricsRegistry metrics;
    RequestSteering steering;
};

} // namespace Currantfall::Entry::Tests
