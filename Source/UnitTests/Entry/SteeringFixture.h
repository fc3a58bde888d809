#pragma once

#include <memory>
#include <optional>
#include <string>

#include "RequestSteering.h"

namespace Currantfall::Entry::Tests {

/// Settings of an entry VM on loopback ports.
EntrySettings loopbackSettings();

/// The request steering of one VM with one service, run by the test's thread.
class SteeringFixture
{
public:
    SteeringFixture();

    /// Adds a server of the service that listens on `port`.
    void addServer(const std::string &name, std::uint16_t port);
    /// Replaces the configuration by one with a route that may be repeated (/read/) and one that
    /// must not (/write/).
    void configure(absl::Duration timeout = absl::Seconds(5), std::uint32_t maxAttempts = 3);

    static Adapter::HttpRequest request(const std::string &path, const std::string &id = "id-1");

    /// The response; nothing if the caller has left. With `leaveAfter` the caller leaves then.
    std::optional<Adapter::HttpResponse> run(const Adapter::HttpRequest &request,
                                             std::optional<absl::Duration> leaveAfter = {});
    /// Starts a request that goes on during run() and runFor().
    std::shared_ptr<std::optional<Adapter::HttpResponse>>
    launch(const Adapter::HttpRequest &request);
    /// Lets attempts and timers go on that outlive their request.
    void runFor(absl::Duration duration);

    boost::asio::io_context context { 1 };
    EntrySettings settings;
    Common::EventLog log;
    Telemetry::MetricsRegistry metrics;
    RequestSteering steering;
};

} // namespace Currantfall::Entry::Tests
