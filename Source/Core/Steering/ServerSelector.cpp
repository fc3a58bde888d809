#include "currantfall/Steering/ServerSelector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Steering {

namespace {

// Number of servers of an object's order that may handle it. A higher number would spread the
// object over the caches of many servers.
constexpr std::size_t serversPerObject = 1;
// Maximum number of running and queued requests per slot of a server.
constexpr double maxRequestsPerSlot = 4.0;
// Service times with a cache hit and a cache miss before the first measurement, as multiples of the
// route's target latency.
constexpr double initialCacheHitTimePerTarget = 0.55;
constexpr double initialCacheMissTimePerTarget = 1.5;
// Weight of the latest request in the moving average of the service times.
constexpr double serviceTimeSmoothing = 0.1;
// A later server of the order is only used if its cost is lower by this factor, so that objects
// stay on few servers.
constexpr double minCostRatio = 3.0;
// A request is sent if this fraction of the mean service time fits into the remaining time.
constexpr double requiredTimeFraction = 0.85;
// Fraction of the requests that are distributed by locality. The others are distributed evenly over
// all zones, so that a burst of one zone's callers can use the servers of the other zones.
constexpr double localityFraction = 0.6;
// Minimum interval between two requests from this VM to a cold server. The rate is counted over one
// second; the rest covers the largest difference in delay between two requests.
constexpr absl::Duration coldSendInterval = absl::Milliseconds(1100);
// Time after the end of an evacuation in which the entry of a server may not yet show that it is
// cold: one heartbeat interval of the server plus one read of the store.
constexpr absl::Duration entryPropagationDelay = absl::Milliseconds(2500);
// Time that a VM waits after its start for a peer to report the returned zones. Links to live peers
// are established sooner; without peers, the VM then relies on the entries.
constexpr absl::Duration maxPeerWait = absl::Seconds(1);
// If the store is unavailable for longer than this, the servers of a returned zone are no longer
// limited to the cold rate.
constexpr absl::Duration maxEntryPropagationDelay = absl::Seconds(20);
// Maximum time that a request waits for the rate limit of a cold or returning server, as a fraction
// of the target latency.
constexpr double maxSendWaitPerTarget = 0.5;
// Mean number of requests per slot from which a server's objects are moved away, and up to which
// another server may take one.
constexpr double minMoveSourceLoad = 0.9;
constexpr double maxMoveTargetLoad = 0.5;
// Number of servers at the front of an object's order among which it may be moved.
constexpr std::size_t maxMoveCandidates = 6;
// Maximum number of stored moves. It exceeds the number of objects of all services of one
// deployment.
constexpr std::size_t maxStoredMoves = 16384;
// Minimum interval between two moves from or to a server: the time until a move shows in its mean
// load.
constexpr absl::Duration minMoveInterval = absl::Seconds(1);
// Maximum fraction of a service's eligible servers that may be ejected as failing. If more of them
// fail, ejecting them would only overload the others.
constexpr double maxEjectedFraction = 1.0 / 3.0;
constexpr absl::Duration minRetryAfter = absl::Milliseconds(300);

/// Hash value that is uniform in (0, 1] and the same on all VMs.
double unitHash(const std::string &object, const std::string &server)
{
    const double scale = std::ldexp(1.0, -64);
    return (static_cast<double>(Common::rendezvousWeight(object, server)) + 1.0) * scale;
}

} // namespace

ServerSelector::ServerSelector(SelectorSettings settings, ServerTable &servers,
                               const FleetOutcomes &outcomes, const ServerNotices &notices)
    : settings(std::move(settings)), servers(servers), outcomes(outcomes), notices(notices),
      vms({ this->settings.vm })
{ }

void ServerSelector::setEvacuatedZones(std::set<Common::ZoneName> zones, Common::Instant now)
{
    if (zones != this->evacuatedZones) {
        for (const Common::ZoneName &zone : this->evacuatedZones) {
            if (!zones.contains(zone)) {
                this->returnedAt[zone] = now;
            }
        }
        this->evacuatedZones = std::move(zones);
        this->weights.clear();
    }
}

void ServerSelector::setVms(std::vector<Common::VmName> names)
{
    std::sort(names.begin(), names.end());
    this->vms = std::move(names);
}

bool ServerSelector::mayUse(const ServerRecord &server, const HomeRegions &homes,
                            Common::Instant now) const
{
    return this->eligible(server, homes, now)
           && this->notices.use(server.server(), now) != ServerUse::None;
}

bool ServerSelector::eligible(const ServerRecord &server, const HomeRegions &homes,
                              Common::Instant now) const
{
    if (!server.usable(now) || this->evacuatedZones.contains(server.server().zone)) {
        return false;
    }
    if (homes.allRegions()) {
        return true;
    }
    const auto region = this->settings.regions.find(server.server().zone);
    return region != this->settings.regions.end() && homes.contains(region->second);
}

std::optional<absl::Duration> ServerSelector::timeUntilReturn(const SelectionRequest &request,
                                                              Common::Instant now) const
{
    Common::Instant earliest = Common::Instant::infinite();
    for (const ServerRecord *server : this->servers.ofService(request.service)) {
        if (!this->eligible(*server, request.homes, now)) {
            continue;
        }
        const Common::Instant usableFrom
                = this->notices.usableFrom(ServerIncarnation::of(server->server()), now);
        if (usableFrom > now) {
            earliest = std::min(earliest, usableFrom);
        } else if (!request.tried.contains(server->server().name)) {
            return std::nullopt;
        }
    }
    if (earliest == Common::Instant::infinite()) {
        return std::nullopt;
    }
    return earliest - now;
}

const std::map<Common::RegionName, double> &
ServerSelector::regionWeights(const Common::ServiceName &service, Common::Instant now)
{
    CachedWeights &cached = this->weights[service];
    if (!cached.weights.empty() && cached.generation == this->servers.generation()
        && cached.noticeGeneration == this->notices.generation() && now < cached.validUntil) {
        return cached.weights;
    }
    std::map<Common::RegionName, double> slots;
    for (const ServerRecord *server : this->servers.ofService(service)) {
        const auto region = this->settings.regions.find(server->server().zone);
        if (region != this->settings.regions.end() && !server->server().draining
            && !this->evacuatedZones.contains(server->server().zone)
            && this->notices.use(server->server(), now) == ServerUse::Unrestricted) {
            slots[region->second] += server->plausibleSlots();
        }
    }
    std::map<Common::RegionName, double> zones;
    for (const auto &[zone, region] : this->settings.regions) {
        zones[region] += 1.0;
    }
    std::vector<RegionCapacity> capacities;
    std::vector<RegionDemand> demands;
    for (const auto &[region, count] : zones) {
        capacities.push_back({ region, slots[region] });
        demands.push_back({ region, count });
    }
    cached.generation = this->servers.generation();
    cached.noticeGeneration = this->notices.generation();
    cached.validUntil = this->notices.nextChange(now);
    cached.weights = localityWeights(this->settings.region, capacities, demands);
    return cached.weights;
}

std::vector<ServerSelector::Candidate>
ServerSelector::candidates(const SelectionRequest &request, ServerUse use, Common::Instant now)
{
    const auto &weights = this->regionWeights(request.service, now);
    const std::string &key = request.object.empty() ? request.requestId : request.object;
    std::vector<Candidate> result;
    std::size_t failing = 0;
    for (ServerRecord *server : this->servers.ofService(request.service)) {
        const BackendServer &entry = server->server();
        if (request.tried.contains(entry.name) || !this->eligible(*server, request.homes, now)
            || this->notices.use(entry, now) != use) {
            continue;
        }
        const auto region = this->settings.regions.find(entry.zone);
        const auto found = region == this->settings.regions.end() ? weights.end()
                                                                  : weights.find(region->second);
        const double local = found == weights.end() ? 0.0 : found->second;
        const double weight = (1.0 - localityFraction + localityFraction * local)
                              * std::max<std::uint32_t>(server->plausibleSlots(), 1);
        // Weighted rendezvous hashing: the server with the lowest score is the first of the order.
        result.push_back({ server, -std::log(unitHash(key, entry.name.value())) / weight,
                           this->outcomes.failing(entry.name, now) });
        failing += result.back().failing ? 1 : 0;
    }
    if (static_cast<double>(failing) <= static_cast<double>(result.size()) * maxEjectedFraction) {
        std::erase_if(result, [](const Candidate &candidate) { return candidate.failing; });
    }
    std::sort(result.begin(), result.end(), [](const Candidate &left, const Candidate &right) {
        return left.score < right.score;
    });
    return result;
}

bool ServerSelector::cold(const ServerRecord &server, Common::Instant now) const
{
    return server.cold(now) || this->mayBeCold(server, now);
}

bool ServerSelector::mayBeCold(const ServerRecord &server, Common::Instant now) const
{
    if (this->awaitingPeerSince && now - *this->awaitingPeerSince < maxPeerWait) {
        return true;
    }
    const auto returned = this->returnedAt.find(server.server().zone);
    if (returned == this->returnedAt.end() || now - returned->second > maxEntryPropagationDelay) {
        return false;
    }
    const Common::Instant known = returned->second + entryPropagationDelay;
    return now < known || this->serversConfirmed < known;
}

std::vector<ReturnedZone> ServerSelector::returnedZones(Common::Instant now) const
{
    std::vector<ReturnedZone> result;
    for (const auto &[zone, time] : this->returnedAt) {
        if (now - time <= maxEntryPropagationDelay) {
            result.push_back({ zone, now - time });
        }
    }
    return result;
}

void ServerSelector::applyReturnedZones(const std::vector<ReturnedZone> &zones, Common::Instant now)
{
    this->awaitingPeerSince.reset();
    for (const ReturnedZone &returned : zones) {
        const Common::Instant time = now - returned.age;
        const auto known = this->returnedAt.try_emplace(returned.zone, time).first;
        known->second = std::max(known->second, time);
    }
}

Common::Instant ServerSelector::nextColdSendTime(const ServerRecord &server,
                                                 const ServiceSettings *serviceSettings) const
{
    const double rate = serviceSettings == nullptr ? 0.0 : serviceSettings->coldRequestsPerSecond;
    // The rate is shared by this number of VMs, of which each sends at most one request per
    // coldSendInterval.
    const auto sendingVms = static_cast<std::size_t>(std::max(
            1.0, rate * this->settings.coldRateLimit.overage + this->settings.coldRateLimit.extra));
    if (this->vms.size() > sendingVms) {
        const auto nameOf
                = [](const Common::VmName &vm) -> const std::string & { return vm.value(); };
        const auto chosen = Common::topCandidates(server.server().name.value(), this->vms,
                                                  sendingVms, nameOf);
        if (std::find(chosen.begin(), chosen.end(), this->settings.vm) == chosen.end()) {
            return Common::Instant::infinite();
        }
    }
    return server.lastSent() + coldSendInterval;
}

absl::Duration ServerSelector::meanServiceTime(const Common::ServiceName &service,
                                               const Route &route, bool cacheHit) const
{
    const auto found = this->serviceTimes.find(service);
    if (found != this->serviceTimes.end()
        && (cacheHit ? found->second.cacheHitKnown : found->second.cacheMissKnown)) {
        return cacheHit ? found->second.cacheHit : found->second.cacheMiss;
    }
    return route.targetLatency
           * (cacheHit ? initialCacheHitTimePerTarget : initialCacheMissTimePerTarget);
}

void ServerSelector::evaluate(const SelectionRequest &request,
                              const ServiceSettings *serviceSettings, Common::Instant now,
                              ServerRecord &server, std::size_t position,
                              Evaluation &evaluation) const
{
    Common::Instant sendTime = this->notices.nextSendTime(server.server(), server.lastSent(), now);
    if (this->cold(server, now)) {
        sendTime = std::max(sendTime, this->nextColdSendTime(server, serviceSettings));
    }
    if (sendTime > now) {
        evaluation.earliestSendTime = std::min(evaluation.earliestSendTime, sendTime);
        return;
    }
    const absl::Duration cacheHitTime
            = this->meanServiceTime(request.service, *request.route, true);
    const absl::Duration cacheMissTime
            = this->meanServiceTime(request.service, *request.route, false);
    const double slots = std::max<std::uint32_t>(server.plausibleSlots(), 1);
    const double load = server.load(now);
    // The first server of the order is expected to have the object in its cache: if this VM has not
    // sent it there, other VMs have.
    const bool cacheHit = !request.object.empty()
                          && (server.likelyCaches(request.object, now) || position == 0);
    const absl::Duration queueTime
            = load < slots ? absl::ZeroDuration() : cacheHitTime * ((load - slots + 1.0) / slots);
    const absl::Duration finishTime = queueTime + (cacheHit ? cacheHitTime : cacheMissTime);
    evaluation.minFinishTime = std::min(evaluation.minFinishTime, finishTime);
    // The service time of a request without an object is unknown, so only the queue time counts.
    const absl::Duration requiredTime
            = request.object.empty() ? queueTime
                                     : queueTime + (finishTime - queueTime) * requiredTimeFraction;
    if (load >= slots * maxRequestsPerSlot || requiredTime > request.remaining) {
        return;
    }
    const absl::Duration cost
            = finishTime + request.route->targetLatency * (2.0 * server.failureRate());
    if (!evaluation.best || cost * minCostRatio < evaluation.bestCost) {
        evaluation.best = SendTo { &server, position, cacheHit, finishTime };
        evaluation.bestCost = cost;
    }
}

void ServerSelector::putMoveTargetFirst(const SelectionRequest &request,
                                        std::vector<Candidate> &order) const
{
    const auto moved = this->movedObjects.find({ request.service, request.object });
    if (moved == this->movedObjects.end()) {
        return;
    }
    const auto target = std::find_if(order.begin(), order.end(), [&](const Candidate &candidate) {
        return candidate.server->server().name == moved->second.server;
    });
    if (target != order.end()) {
        std::rotate(order.begin(), target, target + 1);
    }
}

void ServerSelector::moveObjectFromBusyServer(const SelectionRequest &request,
                                              std::vector<Candidate> &order, Common::Instant now)
{
    const ServerRecord &first = *order.front().server;
    if (request.object.empty() || first.meanLoad(now) < minMoveSourceLoad) {
        return;
    }
    const auto lastMove = this->lastMoveAt.find(first.server().name);
    if (lastMove != this->lastMoveAt.end() && now - lastMove->second < minMoveInterval) {
        return;
    }
    const std::size_t candidateCount = std::min(order.size(), maxMoveCandidates);
    std::size_t leastLoaded = 0;
    for (std::size_t position = 1; position < candidateCount; ++position) {
        const ServerRecord &server = *order[position].server;
        if (!this->cold(server, now)
            && server.meanLoad(now) < order[leastLoaded].server->meanLoad(now)) {
            leastLoaded = position;
        }
    }
    const ServerRecord &target = *order[leastLoaded].server;
    if (leastLoaded == 0 || target.meanLoad(now) > maxMoveTargetLoad) {
        return;
    }
    const ObjectMove move { request.service, request.object, target.server().name,
                            first.server().name, this->lastSequence + 1 };
    this->applyMove(move, now);
    this->newMoves.push_back(move);
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(leastLoaded),
                order.begin() + static_cast<std::ptrdiff_t>(leastLoaded) + 1);
}

void ServerSelector::excludeRateLimited(std::vector<Candidate> &order,
                                        const ServiceSettings *serviceSettings,
                                        Common::Instant now) const
{
    const auto rateLimited = [&](const Candidate &candidate) {
        const ServerRecord &server = *candidate.server;
        const Common::Instant returnSendTime
                = this->notices.nextSendTime(server.server(), server.lastSent(), now);
        if (returnSendTime > now) {
            return true;
        }
        return !server.cold(now) && this->mayBeCold(server, now)
               && this->nextColdSendTime(server, serviceSettings) > now;
    };
    if (!std::all_of(order.begin(), order.end(), rateLimited)) {
        std::erase_if(order, rateLimited);
    }
}

std::vector<ObjectMove> ServerSelector::takeMoves()
{
    return std::exchange(this->newMoves, {});
}

bool ServerSelector::applyMove(const ObjectMove &move, Common::Instant now)
{
    this->lastSequence = std::max(this->lastSequence, move.sequence);
    if (this->movedObjects.size() >= maxStoredMoves
        && !this->movedObjects.contains({ move.service, move.object })) {
        return false;
    }
    const auto [known, added] = this->movedObjects.try_emplace({ move.service, move.object }, move);
    if (!added) {
        const bool newer = move.sequence > known->second.sequence
                           || (move.sequence == known->second.sequence
                               && move.server > known->second.server);
        if (!newer) {
            return false;
        }
        known->second = move;
    }
    // The move changes the mean load of both servers.
    this->lastMoveAt[move.from] = now;
    this->lastMoveAt[move.server] = now;
    return true;
}

std::vector<ObjectMove> ServerSelector::moves() const
{
    std::vector<ObjectMove> result;
    result.reserve(this->movedObjects.size());
    for (const auto &[key, move] : this->movedObjects) {
        result.push_back(move);
    }
    return result;
}

Selection ServerSelector::select(const SelectionRequest &request,
                                 const ServiceSettings *serviceSettings, Common::Instant now)
{
    const Selection preferred
            = this->selectAmong(request, ServerUse::Unrestricted, serviceSettings, now);
    if (std::holds_alternative<SendTo>(preferred) || this->notices.size() == 0) {
        return preferred;
    }
    const Selection lastResort
            = this->selectAmong(request, ServerUse::LastResort, serviceSettings, now);
    if (std::holds_alternative<SendTo>(lastResort)) {
        return lastResort;
    }
    const auto noServer = [](const Selection &selection) {
        const auto *reject = std::get_if<Reject>(&selection);
        return reject != nullptr && reject->reason == RejectReason::NoServer;
    };
    if (!noServer(preferred)) {
        return preferred;
    }
    if (!noServer(lastResort)) {
        return lastResort;
    }
    if (const auto untilReturn = this->timeUntilReturn(request, now)) {
        return Reject { RejectReason::Pausing, *untilReturn };
    }
    return preferred;
}

Selection ServerSelector::selectAmong(const SelectionRequest &request, ServerUse use,
                                      const ServiceSettings *serviceSettings, Common::Instant now)
{
    std::vector<Candidate> order = this->candidates(request, use, now);
    if (order.empty()) {
        return Reject { RejectReason::NoServer, absl::Seconds(1) };
    }
    this->putMoveTargetFirst(request, order);
    this->excludeRateLimited(order, serviceSettings, now);
    // Objects are not moved among servers that leave.
    if (use == ServerUse::Unrestricted) {
        this->moveObjectFromBusyServer(request, order, now);
    }
    Evaluation evaluation;
    for (std::size_t position = 0; position < order.size(); ++position) {
        if (position >= serversPerObject && (evaluation.best || !request.object.empty())) {
            break;
        }
        this->evaluate(request, serviceSettings, now, *order[position].server, position,
                       evaluation);
    }
    if (evaluation.best) {
        return *evaluation.best;
    }
    if (evaluation.earliestSendTime < Common::Instant::infinite()) {
        const absl::Duration maxWait = request.route->targetLatency * maxSendWaitPerTarget;
        if (request.waited + (evaluation.earliestSendTime - now) <= maxWait) {
            return WaitUntil { evaluation.earliestSendTime };
        }
    }
    const absl::Duration cacheHitTime
            = this->meanServiceTime(request.service, *request.route, true);
    const absl::Duration retryAfter = evaluation.minFinishTime == absl::InfiniteDuration()
                                              ? cacheHitTime
                                              : evaluation.minFinishTime - cacheHitTime;
    return Reject { RejectReason::Overloaded, std::max(retryAfter, minRetryAfter) };
}

void ServerSelector::onSent(const SelectionRequest &request, const SendTo &choice,
                            Common::Instant now)
{
    choice.server->onSent(now, request.object);
}

void ServerSelector::onAnswered(const Common::ServiceName &service, bool cacheHit,
                                absl::Duration time)
{
    ServiceTimes &known = this->serviceTimes[service];
    absl::Duration &mean = cacheHit ? known.cacheHit : known.cacheMiss;
    bool &measured = cacheHit ? known.cacheHitKnown : known.cacheMissKnown;
    mean = measured ? mean + (time - mean) * serviceTimeSmoothing : time;
    measured = true;
}

} // namespace Currantfall::Steering
