#include "currantfall/Steering/ServerTable.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Steering {

namespace {

// Half-life of the load that a report attributes to other VMs. It is about the duration of a
// request.
constexpr absl::Duration reportHalfLife = absl::Milliseconds(400);
// Time constant of a server's average load. It spans several requests.
constexpr absl::Duration loadTimeConstant = absl::Seconds(2);
// A report is weighted by the time since the previous report, up to this limit.
constexpr absl::Duration maxReportInterval = absl::Milliseconds(500);
// Number of objects tracked per backend server. Exceeds the cache size of any server.
constexpr std::size_t maxRecentObjects = 128;
// An object is assumed to be evicted from the server's cache if this VM has not requested it for
// this time.
constexpr absl::Duration cacheRetention = absl::Seconds(30);
// Weight of the latest request in the moving average of the failure rate. A server that fails half
// of its requests reaches a rate of 0.4 after three or four requests.
constexpr double failureRateSmoothing = 0.25;
// A health check that has no result after this time is repeated.
constexpr absl::Duration probeTimeout = absl::Seconds(1);
// A server counts with at most this multiple of the median of its service's slots. Requests are
// distributed by slots, so that a single wrong entry could otherwise attract all of them.
constexpr std::uint32_t maxSlotsPerMedian = 8;

Admission::CircuitBreaker::Settings breakerSettings()
{
    Admission::CircuitBreaker::Settings settings;
    settings.failuresToOpen = 2;
    settings.initialOpenTime = absl::Milliseconds(300);
    settings.longestOpenTime = absl::Seconds(3);
    return settings;
}

} // namespace

std::string toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::ServerError:
        return "server-error";
    case AttemptEnd::NotExecuted:
        return "not-executed";
    case AttemptEnd::Misdirected:
        return "misdirected";
    case AttemptEnd::Unreachable:
        return "unreachable";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Abandoned:
        return "abandoned";
    case AttemptEnd::Withheld:
        return "withheld";
    }
    return "unknown";
}

ServerRecord::ServerRecord(BackendServer server, Common::Instant readAt)
    : current(std::move(server)), slotsInUse(this->current.slots),
      coldEnd(readAt + this->current.coldFor), reportedAt(readAt), breaker(breakerSettings())
{ }

void ServerRecord::update(const BackendServer &server, Common::Instant readAt)
{
    const bool restarted = server.startTime != this->current.startTime;
    const bool moved = server.address != this->current.address || server.port != this->current.port;
    this->current = server;
    this->coldEnd = readAt + server.coldFor;
    if (restarted || moved) {
        this->misdirected = false;
        this->hasReport = false;
        this->failures = 0.0;
        this->breaker = Admission::CircuitBreaker(breakerSettings());
        this->recentObjects.clear();
    }
}

void ServerRecord::setCold(Common::Instant now, absl::Duration remaining)
{
    this->coldEnd = now + remaining;
}

double ServerRecord::load(Common::Instant now) const
{
    double others = 0.0;
    if (this->hasReport) {
        const std::uint32_t total = this->report.running + this->report.waiting;
        const double othersAtReport = total > this->inFlightAtReport
                                              ? static_cast<double>(total - this->inFlightAtReport)
                                              : 0.0;
        const double halfLives = absl::FDivDuration(now - this->reportedAt, reportHalfLife);
        others = othersAtReport * std::exp2(-halfLives);
    }
    return others + this->inFlight;
}

double ServerRecord::meanLoad(Common::Instant now) const
{
    const absl::Duration withoutReport = now - this->smoothedAt - maxReportInterval;
    if (withoutReport <= absl::ZeroDuration()) {
        return this->smoothedLoad;
    }
    return this->smoothedLoad * std::exp(-absl::FDivDuration(withoutReport, loadTimeConstant));
}

void ServerRecord::onSent(Common::Instant now, const std::string &object)
{
    ++this->inFlight;
    this->latestSend = now;
    if (object.empty()) {
        return;
    }
    if (this->recentObjects.size() >= maxRecentObjects && !this->recentObjects.contains(object)) {
        const auto oldest = std::min_element(
                this->recentObjects.begin(), this->recentObjects.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
        this->recentObjects.erase(oldest);
    }
    this->recentObjects[object] = now;
}

void ServerRecord::onEnd(Common::Instant now, AttemptEnd end, const LoadReport *latest,
                         bool asksForPause)
{
    if (this->inFlight > 0) {
        --this->inFlight;
    }
    if (end != AttemptEnd::Unreachable && end != AttemptEnd::Broken && end != AttemptEnd::Abandoned
        && end != AttemptEnd::Withheld) {
        this->heardAt = now;
    }
    if (latest != nullptr) {
        const double perSlot = static_cast<double>(latest->running + latest->waiting)
                               / std::max<std::uint32_t>(latest->slots, 1);
        const double before = this->meanLoad(now);
        const double weight
                = 1.0
                  - std::exp(-absl::FDivDuration(
                          std::min(now - this->smoothedAt, maxReportInterval), loadTimeConstant));
        this->smoothedLoad = before + (perSlot - before) * weight;
        this->smoothedAt = now;
        this->report = *latest;
        this->reportedAt = now;
        this->inFlightAtReport = this->inFlight;
        this->hasReport = true;
    }
    if (asksForPause) {
        return;
    }
    double failed = 0.0;
    switch (end) {
    case AttemptEnd::Answered:
        this->breaker.succeeded();
        break;
    case AttemptEnd::Unreachable:
    case AttemptEnd::Broken:
        failed = 1.0;
        this->breaker.failed(now);
        break;
    case AttemptEnd::ServerError:
        // Does not count for the circuit breaker: most server errors concern a single request, and
        // a failing server still answers.
        failed = 1.0;
        break;
    case AttemptEnd::NotExecuted:
        if (latest != nullptr && latest->running < latest->slots) {
            failed = 1.0;
        } else if (latest == nullptr) {
            // A server that refuses a request without a load report is assumed to be full.
            this->report = { this->slotsInUse, this->slotsInUse, this->slotsInUse };
            this->reportedAt = now;
            this->inFlightAtReport = this->inFlight;
            this->hasReport = true;
        }
        break;
    case AttemptEnd::Misdirected:
        this->misdirected = true;
        return;
    case AttemptEnd::Abandoned:
    case AttemptEnd::Withheld:
        return;
    }
    this->failures += failureRateSmoothing * (failed - this->failures);
}

void ServerRecord::onHealthCheck(Common::Instant now, bool healthy)
{
    this->probeUntil = now;
    if (healthy) {
        this->breaker.succeeded();
    } else {
        this->breaker.failed(now);
    }
}

void ServerRecord::onUnreachable(Common::Instant now)
{
    while (this->breaker.state(now) == Admission::CircuitBreaker::State::Closed) {
        this->breaker.failed(now);
    }
}

void ServerRecord::onProbeWithheld()
{
    this->breaker.attemptNotMade();
}

bool ServerRecord::likelyCaches(const std::string &object, Common::Instant now) const
{
    const auto found = this->recentObjects.find(object);
    return found != this->recentObjects.end() && now - found->second < cacheRetention;
}

bool ServerRecord::usable(Common::Instant now) const
{
    return !this->current.draining && !this->misdirected
           && this->breaker.state(now) == Admission::CircuitBreaker::State::Closed;
}

bool ServerRecord::needsProbe(Common::Instant now) const
{
    return !this->current.draining && !this->misdirected && now >= this->probeUntil
           && this->breaker.state(now) == Admission::CircuitBreaker::State::HalfOpen;
}

void ServerRecord::onProbeStarted(Common::Instant now)
{
    // The health check uses up the one attempt that the half-open circuit breaker allows.
    (void)this->breaker.tryAttempt(now);
    this->probeUntil = now + probeTimeout;
}

void ServerTable::put(const BackendServer &server, Common::Instant readAt)
{
    ++this->generationCount;
    const auto found = this->records.find(server.name);
    if (found == this->records.end()) {
        ServerRecord &added
                = this->records.emplace(server.name, ServerRecord(server, readAt)).first->second;
        this->byService[server.service].members.emplace(server.name, &added);
        this->markChanged(server.service);
        return;
    }
    const Common::ServiceName before = found->second.server().service;
    const bool sameSlots = found->second.server().slots == server.slots;
    found->second.update(server, readAt);
    if (before != server.service) {
        this->byService[before].members.erase(server.name);
        this->byService[server.service].members.emplace(server.name, &found->second);
        this->markChanged(before);
        this->markChanged(server.service);
    } else if (!sameSlots) {
        this->markChanged(server.service);
    }
}

void ServerTable::remove(const Common::BackendServerName &name)
{
    const auto found = this->records.find(name);
    if (found == this->records.end()) {
        return;
    }
    ++this->generationCount;
    const Common::ServiceName service = found->second.server().service;
    this->byService[service].members.erase(name);
    this->markChanged(service);
    this->records.erase(found);
}

ServerRecord *ServerTable::find(const Common::BackendServerName &name)
{
    const auto found = this->records.find(name);
    if (found == this->records.end()) {
        return nullptr;
    }
    this->refresh(found->second.server().service);
    return &found->second;
}

const ServerRecord *ServerTable::find(const Common::BackendServerName &name) const
{
    const auto found = this->records.find(name);
    if (found == this->records.end()) {
        return nullptr;
    }
    this->refresh(found->second.server().service);
    return &found->second;
}

const std::vector<ServerRecord *> &ServerTable::ofService(const Common::ServiceName &service) const
{
    static const std::vector<ServerRecord *> none;
    const ServiceServers *servers = this->refresh(service);
    return servers == nullptr ? none : servers->list;
}

const ServerTable::ServiceServers *ServerTable::refresh(const Common::ServiceName &service) const
{
    const auto found = this->byService.find(service);
    if (found == this->byService.end()) {
        return nullptr;
    }
    ServiceServers &servers = found->second;
    if (servers.outdated) {
        servers.outdated = false;
        servers.list.clear();
        for (const auto &[name, server] : servers.members) {
            servers.list.push_back(server);
        }
        limitSlots(servers.list);
    }
    return &servers;
}

std::vector<ServerRecord *> ServerTable::all()
{
    std::vector<ServerRecord *> result;
    result.reserve(this->records.size());
    for (auto &[name, record] : this->records) {
        result.push_back(&record);
    }
    return result;
}

void ServerTable::markChanged(const Common::ServiceName &service)
{
    const auto found = this->byService.find(service);
    if (found->second.members.empty()) {
        this->byService.erase(found);
        return;
    }
    found->second.outdated = true;
}

void ServerTable::limitSlots(const std::vector<ServerRecord *> &servers)
{
    std::vector<std::uint32_t> slots;
    slots.reserve(servers.size());
    for (const ServerRecord *server : servers) {
        slots.push_back(server->server().slots);
    }
    // The lower one of two, so that one wrong entry of two does not set the median.
    const auto median = slots.begin() + static_cast<std::ptrdiff_t>((slots.size() - 1) / 2);
    std::nth_element(slots.begin(), median, slots.end());
    for (ServerRecord *server : servers) {
        const std::uint64_t limit = std::uint64_t { *median } * maxSlotsPerMedian;
        server->setPlausibleSlots(
                static_cast<std::uint32_t>(std::min<std::uint64_t>(server->server().slots, limit)));
    }
}

} // namespace Currantfall::Steering
