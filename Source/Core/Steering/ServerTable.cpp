#include "currantfall/Steering/ServerTable.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Steering {

namespace {

// A report of other VMs' work counts half after this time; about the length of a request.
constexpr absl::Duration reportHalfLife = absl::Milliseconds(400);
// Time over which the load of a server is averaged: several requests long.
constexpr absl::Duration loadMeanTime = absl::Seconds(2);
// A report stands for the time since the one before it, up to this.
constexpr absl::Duration reportWeightTime = absl::Milliseconds(500);
// Objects remembered per backend server; more than any server keeps in its cache.
constexpr std::size_t handledObjects = 128;
// An object that was not requested for this time counts as evicted from the cache.
constexpr absl::Duration handledFor = absl::Seconds(30);
// Weight of the latest request in the failure rate; a server that fails half of its requests
// reaches 0.4 after three or four of them.
constexpr double failureWeight = 0.25;
// A health check without a result for this time is repeated.
constexpr absl::Duration probeTimeout = absl::Seconds(1);

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
    }
    return "unknown";
}

ServerRecord::ServerRecord(BackendServer server, Common::Instant readAt)
    : current(std::move(server)), coldEnd(readAt + this->current.coldFor), reportedAt(readAt),
      breaker(breakerSettings())
{ }

void ServerRecord::update(const BackendServer &server, Common::Instant readAt)
{
    const bool restarted = server.born != this->current.born;
    const bool moved = server.address != this->current.address || server.port != this->current.port;
    this->current = server;
    this->coldEnd = readAt + server.coldFor;
    if (restarted || moved) {
        this->misdirected = false;
        this->reported = false;
        this->failures = 0.0;
        this->breaker = Admission::CircuitBreaker(breakerSettings());
        this->handled.clear();
    }
}

void ServerRecord::setCold(Common::Instant now, absl::Duration remaining)
{
    this->coldEnd = now + remaining;
}

double ServerRecord::load(Common::Instant now) const
{
    double others = 0.0;
    if (this->reported) {
        const std::uint32_t total = this->report.running + this->report.waiting;
        const double atReport
                = total > this->ownAtReport ? static_cast<double>(total - this->ownAtReport) : 0.0;
        const double halfLives = absl::FDivDuration(now - this->reportedAt, reportHalfLife);
        others = atReport * std::exp2(-halfLives);
    }
    return others + this->inFlight;
}

double ServerRecord::meanLoad(Common::Instant now) const
{
    const absl::Duration silent = now - this->smoothedAt - reportWeightTime;
    if (silent <= absl::ZeroDuration()) {
        return this->smoothedLoad;
    }
    return this->smoothedLoad * std::exp(-absl::FDivDuration(silent, loadMeanTime));
}

void ServerRecord::onSent(Common::Instant now, const std::string &object)
{
    ++this->inFlight;
    this->latestSend = now;
    if (object.empty()) {
        return;
    }
    if (this->handled.size() >= handledObjects && !this->handled.contains(object)) {
        const auto oldest = std::min_element(
                this->handled.begin(), this->handled.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
        this->handled.erase(oldest);
    }
    this->handled[object] = now;
}

void ServerRecord::onEnd(Common::Instant now, AttemptEnd end, const LoadReport *latest)
{
    if (this->inFlight > 0) {
        --this->inFlight;
    }
    if (end != AttemptEnd::Unreachable && end != AttemptEnd::Broken
        && end != AttemptEnd::Abandoned) {
        this->heardAt = now;
    }
    if (latest != nullptr) {
        const double perSlot = static_cast<double>(latest->running + latest->waiting)
                               / std::max<std::uint32_t>(latest->slots, 1);
        const double before = this->meanLoad(now);
        const double weight
                = 1.0
                  - std::exp(-absl::FDivDuration(std::min(now - this->smoothedAt, reportWeightTime),
                                                 loadMeanTime));
        this->smoothedLoad = before + (perSlot - before) * weight;
        this->smoothedAt = now;
        this->report = *latest;
        this->reportedAt = now;
        this->ownAtReport = this->inFlight;
        this->reported = true;
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
        // Not the breaker: most errors are of one request, and a failing server still answers.
        failed = 1.0;
        break;
    case AttemptEnd::NotExecuted:
        if (latest != nullptr && latest->running < latest->slots) {
            failed = 1.0;
        } else if (latest == nullptr) {
            // Without a report, a server that refuses is taken for full.
            this->report = { this->current.slots, this->current.slots, this->current.slots };
            this->reportedAt = now;
            this->ownAtReport = this->inFlight;
            this->reported = true;
        }
        break;
    case AttemptEnd::Misdirected:
        this->misdirected = true;
        return;
    case AttemptEnd::Abandoned:
        return;
    }
    this->failures += failureWeight * (failed - this->failures);
}

void ServerRecord::onHealth(Common::Instant now, bool healthy)
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

bool ServerRecord::hasHandled(const std::string &object, Common::Instant now) const
{
    const auto found = this->handled.find(object);
    return found != this->handled.end() && now - found->second < handledFor;
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
    // The probe itself is the attempt that the half-open breaker allows.
    (void)this->breaker.tryAttempt(now);
    this->probeUntil = now + probeTimeout;
}

void ServerTable::put(const BackendServer &server, Common::Instant readAt)
{
    const auto found = this->records.find(server.name);
    if (found == this->records.end()) {
        this->records.emplace(server.name, ServerRecord(server, readAt));
        this->rebuild();
        return;
    }
    const bool sameService = found->second.server().service == server.service;
    found->second.update(server, readAt);
    ++this->generationCount;
    if (!sameService) {
        this->rebuild();
    }
}

void ServerTable::remove(const Common::BackendServerName &name)
{
    if (this->records.erase(name) > 0) {
        this->rebuild();
    }
}

ServerRecord *ServerTable::find(const Common::BackendServerName &name)
{
    const auto found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second;
}

const std::vector<ServerRecord *> &ServerTable::ofService(const Common::ServiceName &service) const
{
    static const std::vector<ServerRecord *> none;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? none : found->second;
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

void ServerTable::rebuild()
{
    ++this->generationCount;
    this->byService.clear();
    for (auto &[name, record] : this->records) {
        this->byService[record.server().service].push_back(&record);
    }
}

} // namespace Currantfall::Steering
