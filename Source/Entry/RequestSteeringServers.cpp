#include "currantfall/Steering/OverduePolicy.h"

#include "RequestSteeringState.h"

// What RequestSteering learns of backend servers: outcomes, health and reachability.

namespace Currantfall::Entry {

namespace {

using Steering::AttemptEnd;

// A connection that can't be made says more than one failed request: two of them are enough.
constexpr double unreachableWeight = 1.25;
constexpr absl::Duration healthTimeout = absl::Milliseconds(800);

} // namespace

void RequestSteering::noteOutcome(const Attempt &attempt, const ExchangeResult &result)
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
        this->fleetOutcomes.onFailed(server, now, unreachableWeight);
        return;
    case AttemptEnd::NotExecuted:
        if (result.meaning.load && result.meaning.load->running < result.meaning.load->slots) {
            this->fleetOutcomes.onFailed(server, now);
        }
        return;
    case AttemptEnd::Misdirected:
    case AttemptEnd::Abandoned:
        return;
    }
}

void RequestSteering::checkOverdue(Common::Instant now)
{
    for (const std::shared_ptr<Attempt> &attempt : this->running) {
        const Common::BackendServerName &name = attempt->exchange->server.name;
        const absl::Duration checkAfter = Steering::OverduePolicy::checkAfter(
                attempt->expected, this->fleetOutcomes.failing(name, now));
        if (attempt->checked || now - attempt->start < checkAfter) {
            continue;
        }
        attempt->checked = true;
        const Steering::ServerRecord *server = this->table.find(name);
        if (server != nullptr && server->lastHeard() < attempt->start + attempt->expected) {
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
    const bool reachable = co_await this->backendPool.reach(record->server());
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
    this->fleetOutcomes.onFailed(name, now, unreachableWeight);
    this->releaseStranded(name);
}

void RequestSteering::releaseStranded(const Common::BackendServerName &server)
{
    for (const std::shared_ptr<Attempt> &attempt : this->running) {
        if (attempt->exchange->server.name == server && attempt->exchange->idempotent) {
            attempt->exchange->interrupt();
        }
    }
}

void RequestSteering::advance(Common::Instant now)
{
    this->backendPool.advance(now);
    this->checkOverdue(now);
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
    if (record == nullptr || this->current == nullptr) {
        co_return;
    }
    const Steering::ServiceTerms *terms = this->current->service(record->server().service);
    auto exchange = std::make_shared<Exchange>();
    exchange->server = record->server();
    exchange->request = Adapter::healthRequest(terms == nullptr ? "/" : terms->healthPath,
                                               record->server().address + ":"
                                                       + std::to_string(record->server().port));
    exchange->idempotent = true;
    exchange->deadline = Common::monotonicNow() + healthTimeout;
    this->metrics.addToCounter("currantfall_health_checks_total");
    const ExchangeResult result = co_await this->backendPool.run(exchange);
    const Common::Instant now = Common::monotonicNow();
    record = this->table.find(name);
    if (record == nullptr) {
        co_return;
    }
    // A server that has no slot free for the check is alive.
    const bool healthy = result.end == AttemptEnd::NotExecuted
                         || (result.end == AttemptEnd::Answered && result.meaning.success
                             && result.meaning.server == name);
    record->onHealthCheck(now, healthy);
    if (result.meaning.coldFor) {
        record->setCold(now, *result.meaning.coldFor);
    }
    this->log.important("health_check", { { "server", name.value() },
                                          { "healthy", healthy },
                                          { "end", toString(result.end) },
                                          { "detail", result.detail } });
}

} // namespace Currantfall::Entry
