#include "currantfall/Steering/OverduePolicy.h"

#include "RequestSteeringState.h"

// Tracks the state of backend servers: outcomes of requests, health checks and connection checks.

namespace Currantfall::Entry {

namespace {

using Steering::AttemptEnd;

// A failed connection is stronger evidence than a failed request: two failed connections are enough
// to consider a server failing.
constexpr double unreachableFailureWeight = 1.25;
constexpr absl::Duration healthCheckTimeout = absl::Milliseconds(800);

} // namespace

void RequestSteering::recordOutcome(const Attempt &attempt, const ExchangeResult &result)
{
    const Common::BackendServerName &server = attempt.exchange->server.name;
    const Common::Instant now = Common::monotonicNow();
    switch (result.end) {
    case AttemptEnd::Answered:
        this->fleetOutcomes.onAnswered(server, now);
        return;
    case AttemptEnd::ServerError:
    case AttemptEnd::Broken:
        this->fleetOutcomes.onFailed(server, now);
        return;
    case AttemptEnd::Unreachable:
        this->fleetOutcomes.onFailed(server, now, unreachableFailureWeight);
        return;
    case AttemptEnd::NotExecuted:
        if (result.parsed.load && result.parsed.load->running < result.parsed.load->slots) {
            this->fleetOutcomes.onFailed(server, now);
        }
        return;
    case AttemptEnd::Misdirected:
    case AttemptEnd::Abandoned:
        return;
    }
}

void RequestSteering::checkOverdueAttempts(Common::Instant now)
{
    for (const std::shared_ptr<Attempt> &attempt : this->runningAttempts) {
        const Common::BackendServerName &name = attempt->exchange->server.name;
        const absl::Duration checkAfter = Steering::OverduePolicy::checkAfter(
                attempt->expectedDuration, this->fleetOutcomes.failing(name, now));
        if (attempt->connectionChecked || now - attempt->start < checkAfter) {
            continue;
        }
        attempt->connectionChecked = true;
        const Steering::ServerRecord *server = this->table.find(name);
        if (server != nullptr && server->lastHeard() < attempt->start + attempt->expectedDuration) {
            boost::asio::co_spawn(this->context, this->checkConnection(name),
                                  boost::asio::detached);
        }
    }
}

Task RequestSteering::checkConnection(Common::BackendServerName name)
{
    Steering::ServerRecord *record = this->table.find(name);
    if (record == nullptr) {
        co_return;
    }
    const bool reachable = co_await this->backendPool.canConnect(record->server());
    const Common::Instant now = Common::monotonicNow();
    this->log.important("connection_check",
                        { { "server", name.value() }, { "reachable", reachable } });
    record = this->table.find(name);
    if (record == nullptr) {
        co_return;
    }
    if (reachable) {
        record->onHeard(now);
        co_return;
    }
    record->onUnreachable(now);
    this->fleetOutcomes.onFailed(name, now, unreachableFailureWeight);
    this->interruptAttempts(name);
}

void RequestSteering::interruptAttempts(const Common::BackendServerName &server)
{
    for (const std::shared_ptr<Attempt> &attempt : this->runningAttempts) {
        if (attempt->exchange->server.name == server && attempt->exchange->idempotent) {
            attempt->exchange->interrupt();
        }
    }
}

void RequestSteering::advance(Common::Instant now)
{
    this->backendPool.advance(now);
    this->checkOverdueAttempts(now);
    for (Steering::ServerRecord *server : this->table.all()) {
        if (server->needsProbe(now)) {
            server->onProbeStarted(now);
            boost::asio::co_spawn(this->context, this->checkHealth(server->server().name),
                                  boost::asio::detached);
        }
    }
}

Task RequestSteering::checkHealth(Common::BackendServerName name)
{
    Steering::ServerRecord *record = this->table.find(name);
    if (record == nullptr || this->currentConfiguration == nullptr) {
        co_return;
    }
    const Steering::ServiceSettings *terms
            = this->currentConfiguration->service(record->server().service);
    auto exchange = std::make_shared<Exchange>();
    exchange->server = record->server();
    exchange->request = Adapter::healthRequest(terms == nullptr ? "/" : terms->healthPath,
                                               record->server().address + ":"
                                                       + std::to_string(record->server().port));
    exchange->healthCheck = true;
    exchange->idempotent = true;
    exchange->deadline = Common::monotonicNow() + healthCheckTimeout;
    this->metrics.addToCounter("currantfall_health_checks_total");
    const ExchangeResult result = co_await this->backendPool.run(exchange);
    const Common::Instant now = Common::monotonicNow();
    record = this->table.find(name);
    if (record == nullptr) {
        co_return;
    }
    // A server that rejects the check because it has no free slot is healthy.
    const bool healthy = result.end == AttemptEnd::NotExecuted
                         || (result.end == AttemptEnd::Answered && result.parsed.success
                             && result.parsed.server == name);
    record->onHealthCheck(now, healthy);
    if (result.parsed.coldFor) {
        record->setCold(now, *result.parsed.coldFor);
    }
    this->log.important("health_check", { { "server", name.value() },
                                          { "healthy", healthy },
                                          { "end", toString(result.end) },
                                          { "detail", result.detail } });
}

} // namespace Currantfall::Entry
