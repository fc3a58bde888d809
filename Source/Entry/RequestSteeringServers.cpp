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
// Pauses from this length are always logged.
constexpr absl::Duration longPause = absl::Minutes(1);

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
    case AttemptEnd::Withheld:
        return;
    }
}

bool RequestSteering::recordNotice(const Exchange &exchange,
                                   const Adapter::BackendResponse &response)
{
    const Steering::BackendServer &server = exchange.server;
    // Another server at the address speaks for itself.
    if (response.misdirected) {
        return false;
    }
    const Steering::ServerNotice notice = Steering::ServerNotice::read(
            response.notice.leaving, response.notice.retryAfter, response.notice.unavailable);
    if (notice.empty()) {
        return false;
    }
    if (!notice.malformed().empty()) {
        this->metrics.addToCounter("currantfall_malformed_server_notices_total");
        if (this->log.admits()) {
            this->log.write("server_notice_malformed", { { "server", server.name.value() },
                                                         { "values", notice.malformed() } });
        }
    }
    const Steering::NoticeEffect effect
            = this->serverNotices.apply(Steering::ServerIncarnation::of(server), notice,
                                        exchange.startedAt, this->table, Common::monotonicNow());
    const Telemetry::Labels labels { { "service", server.service.value() } };
    if (effect.leavingStarted) {
        this->metrics.addToCounter("currantfall_server_leaving_notices_total", labels);
        this->log.important("server_leaving", { { "server", server.name.value() },
                                                { "service", server.service.value() },
                                                { "zone", server.zone.value() } });
    }
    if (effect.pauseStarted) {
        this->metrics.addToCounter("currantfall_server_pauses_total", labels);
    }
    if (effect.pauseStarted || effect.pauseExtended) {
        const bool isLong = notice.pause() >= longPause;
        if (isLong || this->log.admits()) {
            this->log.write("server_pausing",
                            { { "server", server.name.value() },
                              { "service", server.service.value() },
                              { "zone", server.zone.value() },
                              { "seconds", absl::ToDoubleSeconds(notice.pause()) },
                              { "long", isLong } });
        }
    }
    return notice.pause() > absl::ZeroDuration();
}

bool RequestSteering::acceptsRequests(const Common::BackendServerName &server) const
{
    const Steering::ServerRecord *record = this->table.find(server);
    return record != nullptr
           && this->serverNotices.use(record->server(), Common::monotonicNow())
                      != Steering::ServerUse::None;
}

void RequestSteering::withholdIfNotAccepting(Exchange &exchange)
{
    exchange.mayBeSent
            = [this, server = exchange.server.name] { return this->acceptsRequests(server); };
}

void RequestSteering::withholdIfNotEligible(Exchange &exchange, const SharedCaller &caller,
                                            const Steering::RequestScope &scope)
{
    exchange.mayBeSent = [this, &exchange, caller, scope] {
        if (!caller->waits()) {
            this->metrics.addToCounter("currantfall_withheld_requests_total",
                                       { { "reason", "caller-gone" } });
            return false;
        }
        const Steering::ServerRecord *record = this->table.find(exchange.server.name);
        const auto homes = scope.homesNow(*this->currentConfiguration);
        const bool eligible
                = record != nullptr && homes
                  && this->serverSelector.mayUse(*record, *homes, Common::monotonicNow());
        if (!eligible) {
            this->metrics.addToCounter("currantfall_withheld_requests_total",
                                       { { "reason", "server-ineligible" } });
        }
        return eligible;
    };
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
    this->serverNotices.advance(this->table, now);
    for (auto &[name, server] : this->table.byName()) {
        if (!server.needsProbe(now)
            || this->serverNotices.use(server.server(), now) != Steering::ServerUse::Unrestricted) {
            continue;
        }
        server.onProbeStarted(now);
        boost::asio::co_spawn(this->context, this->checkHealth(name), boost::asio::detached);
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
    this->withholdIfNotAccepting(*exchange);
    this->metrics.addToCounter("currantfall_health_checks_total");
    const ExchangeResult result = co_await this->backendPool.run(exchange);
    const Common::Instant now = Common::monotonicNow();
    record = this->table.find(name);
    if (record == nullptr) {
        co_return;
    }
    if (result.end == AttemptEnd::Withheld) {
        record->onProbeWithheld();
        co_return;
    }
    // Any server at the address responds to the check.
    const bool fromServer = result.parsed.server.empty() || result.parsed.server == name;
    const bool asksForPause = fromServer && this->recordNotice(*exchange, result.parsed);
    // A server that rejects the check because it has no free slot is healthy.
    const bool healthy = result.end == AttemptEnd::NotExecuted || asksForPause
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
