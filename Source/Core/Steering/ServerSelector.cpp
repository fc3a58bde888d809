#include "currantfall/Steering/ServerSelector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Steering {

namespace {

// Servers of an object's order that are considered first; more would scatter it over many caches.
constexpr std::size_t preferredServers = 1;
// Requests per slot, running and waiting, up to which a server is used.
constexpr double requestsPerSlot = 4.0;
// Until they are measured, work with and without a cached object is taken as these multiples of
// the route's target latency.
constexpr double warmPerTarget = 0.55;
constexpr double missedPerTarget = 1.5;
// Weight of the latest request in the mean times.
constexpr double timeWeight = 0.1;
// A later server of the order must be this much faster, so that objects stay on few servers.
constexpr double moveGain = 3.0;
// A request is sent if this part of the mean work fits into the time that is left.
constexpr double likelyWorkPart = 0.85;
// Part of the requests that follow locality; the others go to all zones alike, so that a zone whose
// callers all come at once has the servers of the other zones.
constexpr double localityPart = 0.6;
// Space between two requests of this VM to one cold server. It exceeds the second in which they
// are counted by the largest delay that may differ between two requests.
constexpr absl::Duration coldSpacing = absl::Milliseconds(1100);
// Time after the end of an evacuation in which an entry may not yet say that its server is cold: a
// heartbeat of a server, and a read of the store.
constexpr absl::Duration entryDelay = absl::Milliseconds(2500);
// A VM without peers believes the entries after this time; links to live peers take less.
constexpr absl::Duration longestUninformed = absl::Seconds(1);
// A store that is away for longer does not keep a zone's servers from full work.
constexpr absl::Duration longestEntryDelay = absl::Seconds(20);
// Longest part of the target latency that a request waits for a cold server's permit.
constexpr double longestWaitPerTarget = 0.5;
// Requests per slot, on average, at which a server gives up an object, and below which another
// server takes it.
constexpr double busyLoad = 0.9;
constexpr double calmLoad = 0.5;
// Servers of an object's order to which it may move.
constexpr std::size_t moveTargets = 6;
// Moves that are remembered; more than the objects of all services of one deployment.
constexpr std::size_t mostMoves = 16384;
// Time in which a move takes effect on the mean load of a server.
constexpr absl::Duration moveInterval = absl::Seconds(1);
// Part of a service's usable servers that may be given up as failing. If more fail, giving them up
// would only overload the others.
constexpr double givenUpPart = 1.0 / 3.0;
constexpr absl::Duration shortestRetryAfter = absl::Milliseconds(300);

/// Uniform in (0, 1], the same on all VMs.
double unitHash(const std::string &object, const std::string &server)
{
    const double scale = std::ldexp(1.0, -64);
    return (static_cast<double>(Common::rendezvousWeight(object, server)) + 1.0) * scale;
}

} // namespace

ServerSelector::ServerSelector(SelectorSettings settings, ServerTable &servers,
                               const FleetOutcomes &outcomes)
    : settings(std::move(settings)), servers(servers), outcomes(outcomes),
      vms({ this->settings.vm })
{ }

void ServerSelector::setEvacuatedZones(std::set<Common::ZoneName> zones, Common::Instant now)
{
    if (zones != this->evacuated) {
        for (const Common::ZoneName &zone : this->evacuated) {
            if (!zones.contains(zone)) {
                this->returnedAt[zone] = now;
            }
        }
        this->evacuated = std::move(zones);
        this->weights.clear();
    }
}

void ServerSelector::setVms(std::vector<Common::VmName> names)
{
    std::sort(names.begin(), names.end());
    this->vms = std::move(names);
}

bool ServerSelector::mayUse(const ServerRecord &server, const Route &route,
                            Common::Instant now) const
{
    if (!server.usable(now) || this->evacuated.contains(server.server().zone)) {
        return false;
    }
    if (route.allowedRegions.empty()) {
        return true;
    }
    const auto region = this->settings.regions.find(server.server().zone);
    return region != this->settings.regions.end()
           && std::find(route.allowedRegions.begin(), route.allowedRegions.end(), region->second)
                      != route.allowedRegions.end();
}

const std::map<Common::RegionName, double> &
ServerSelector::weightsOf(const Common::ServiceName &service)
{
    CachedWeights &cached = this->weights[service];
    if (!cached.weights.empty() && cached.generation == this->servers.generation()) {
        return cached.weights;
    }
    std::map<Common::RegionName, double> slots;
    for (const ServerRecord *server : this->servers.ofService(service)) {
        const auto region = this->settings.regions.find(server->server().zone);
        if (region != this->settings.regions.end() && !server->server().draining
            && !this->evacuated.contains(server->server().zone)) {
            slots[region->second] += server->server().slots;
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
    cached.weights = localityWeights(this->settings.region, capacities, demands);
    return cached.weights;
}

std::vector<ServerSelector::Candidate> ServerSelector::candidates(const SelectionQuestion &question,
                                                                  Common::Instant now)
{
    const auto &weights = this->weightsOf(question.service);
    const std::string &key = question.object.empty() ? question.requestId : question.object;
    std::vector<Candidate> result;
    std::size_t failing = 0;
    for (ServerRecord *server : this->servers.ofService(question.service)) {
        const BackendServer &entry = server->server();
        if (question.tried.contains(entry.name) || !this->mayUse(*server, *question.route, now)) {
            continue;
        }
        const auto region = this->settings.regions.find(entry.zone);
        const auto found = region == this->settings.regions.end() ? weights.end()
                                                                  : weights.find(region->second);
        const double local = found == weights.end() ? 0.0 : found->second;
        const double weight = (1.0 - localityPart + localityPart * local)
                              * std::max<std::uint32_t>(entry.slots, 1);
        // Weighted rendezvous hashing: the smallest value is the first of the order.
        result.push_back({ server, -std::log(unitHash(key, entry.name.value())) / weight,
                           this->outcomes.failing(entry.name, now) });
        failing += result.back().failing ? 1 : 0;
    }
    if (static_cast<double>(failing) <= static_cast<double>(result.size()) * givenUpPart) {
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
    if (this->uninformedSince && now - *this->uninformedSince < longestUninformed) {
        return true;
    }
    const auto returned = this->returnedAt.find(server.server().zone);
    if (returned == this->returnedAt.end() || now - returned->second > longestEntryDelay) {
        return false;
    }
    const Common::Instant known = returned->second + entryDelay;
    return now < known || this->serversConfirmed < known;
}

std::vector<ReturnedZone> ServerSelector::returnedZones(Common::Instant now) const
{
    std::vector<ReturnedZone> result;
    for (const auto &[zone, time] : this->returnedAt) {
        if (now - time <= longestEntryDelay) {
            result.push_back({ zone, now - time });
        }
    }
    return result;
}

void ServerSelector::applyReturnedZones(const std::vector<ReturnedZone> &zones, Common::Instant now)
{
    this->uninformedSince.reset();
    for (const ReturnedZone &returned : zones) {
        const Common::Instant time = now - returned.age;
        const auto known = this->returnedAt.try_emplace(returned.zone, time).first;
        known->second = std::max(known->second, time);
    }
}

Common::Instant ServerSelector::coldPermit(const ServerRecord &server,
                                           const ServiceTerms *terms) const
{
    const double rate = terms == nullptr ? 0.0 : terms->coldRequestsPerSecond;
    const auto permits = static_cast<std::size_t>(std::max(
            1.0, rate * this->settings.coldTerms.overage + this->settings.coldTerms.extra));
    if (this->vms.size() > permits) {
        const auto nameOf
                = [](const Common::VmName &vm) -> const std::string & { return vm.value(); };
        const auto chosen
                = Common::topCandidates(server.server().name.value(), this->vms, permits, nameOf);
        if (std::find(chosen.begin(), chosen.end(), this->settings.vm) == chosen.end()) {
            return Common::Instant::infinite();
        }
    }
    return server.lastSent() + coldSpacing;
}

absl::Duration ServerSelector::workTime(const Common::ServiceName &service, const Route &route,
                                        bool warm) const
{
    const auto found = this->times.find(service);
    if (found != this->times.end()
        && (warm ? found->second.warmKnown : found->second.missedKnown)) {
        return warm ? found->second.warm : found->second.missed;
    }
    return route.targetLatency * (warm ? warmPerTarget : missedPerTarget);
}

void ServerSelector::consider(const SelectionQuestion &question, const ServiceTerms *terms,
                              Common::Instant now, ServerRecord &server, std::size_t position,
                              Offers &offers) const
{
    if (this->cold(server, now)) {
        const Common::Instant permit = this->coldPermit(server, terms);
        if (permit > now) {
            offers.earliestPermit = std::min(offers.earliestPermit, permit);
            return;
        }
    }
    const absl::Duration warmTime = this->workTime(question.service, *question.route, true);
    const absl::Duration missedTime = this->workTime(question.service, *question.route, false);
    const double slots = std::max<std::uint32_t>(server.server().slots, 1);
    const double load = server.load(now);
    // The first server of the order has the object from other VMs, if not from this one.
    const bool warm = !question.object.empty()
                      && (server.likelyCaches(question.object, now) || position == 0);
    const absl::Duration wait
            = load < slots ? absl::ZeroDuration() : warmTime * ((load - slots + 1.0) / slots);
    const absl::Duration finish = wait + (warm ? warmTime : missedTime);
    offers.shortestFinish = std::min(offers.shortestFinish, finish);
    // How long a request without an object takes is not known.
    const absl::Duration likely
            = question.object.empty() ? wait : wait + (finish - wait) * likelyWorkPart;
    if (load >= slots * requestsPerSlot || likely > question.remaining) {
        return;
    }
    const absl::Duration cost
            = finish + question.route->targetLatency * (2.0 * server.failureRate());
    if (!offers.best || cost * moveGain < offers.bestCost) {
        offers.best = SendTo { &server, position, warm, finish };
        offers.bestCost = cost;
    }
}

void ServerSelector::applyOwnOrder(const SelectionQuestion &question,
                                   std::vector<Candidate> &order) const
{
    const auto moved = this->movedObjects.find({ question.service, question.object });
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

void ServerSelector::relieve(const SelectionQuestion &question, std::vector<Candidate> &order,
                             Common::Instant now)
{
    const ServerRecord &first = *order.front().server;
    if (question.object.empty() || first.meanLoad(now) < busyLoad) {
        return;
    }
    const auto relieved = this->relievedAt.find(first.server().name);
    if (relieved != this->relievedAt.end() && now - relieved->second < moveInterval) {
        return;
    }
    const std::size_t targets = std::min(order.size(), moveTargets);
    std::size_t calmest = 0;
    for (std::size_t position = 1; position < targets; ++position) {
        const ServerRecord &server = *order[position].server;
        if (!this->cold(server, now)
            && server.meanLoad(now) < order[calmest].server->meanLoad(now)) {
            calmest = position;
        }
    }
    const ServerRecord &target = *order[calmest].server;
    if (calmest == 0 || target.meanLoad(now) > calmLoad) {
        return;
    }
    const ObjectMove move { question.service, question.object, target.server().name,
                            first.server().name, this->lastSequence + 1 };
    this->applyMove(move, now);
    this->newMoves.push_back(move);
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(calmest),
                order.begin() + static_cast<std::ptrdiff_t>(calmest) + 1);
}

void ServerSelector::leaveOutDoubtful(std::vector<Candidate> &order, const ServiceTerms *terms,
                                      Common::Instant now) const
{
    const auto doubtful = [&](const Candidate &candidate) {
        const ServerRecord &server = *candidate.server;
        return !server.cold(now) && this->mayBeCold(server, now)
               && this->coldPermit(server, terms) > now;
    };
    if (!std::all_of(order.begin(), order.end(), doubtful)) {
        std::erase_if(order, doubtful);
    }
}

std::vector<ObjectMove> ServerSelector::takeMoves()
{
    return std::exchange(this->newMoves, {});
}

bool ServerSelector::applyMove(const ObjectMove &move, Common::Instant now)
{
    this->lastSequence = std::max(this->lastSequence, move.sequence);
    if (this->movedObjects.size() >= mostMoves
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
    // Both servers' mean loads are about to change.
    this->relievedAt[move.from] = now;
    this->relievedAt[move.server] = now;
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

Selection ServerSelector::select(const SelectionQuestion &question, const ServiceTerms *terms,
                                 Common::Instant now)
{
    std::vector<Candidate> order = this->candidates(question, now);
    if (order.empty()) {
        return Reject { RejectReason::NoServer, absl::Seconds(1) };
    }
    this->applyOwnOrder(question, order);
    this->leaveOutDoubtful(order, terms, now);
    this->relieve(question, order, now);
    Offers offers;
    for (std::size_t position = 0; position < order.size(); ++position) {
        if (position >= preferredServers && (offers.best || !question.object.empty())) {
            break;
        }
        this->consider(question, terms, now, *order[position].server, position, offers);
    }
    if (offers.best) {
        return *offers.best;
    }
    if (offers.earliestPermit < Common::Instant::infinite()) {
        const absl::Duration longest = question.route->targetLatency * longestWaitPerTarget;
        if (question.waited + (offers.earliestPermit - now) <= longest) {
            return WaitUntil { offers.earliestPermit };
        }
    }
    const absl::Duration warmTime = this->workTime(question.service, *question.route, true);
    const absl::Duration retryAfter = offers.shortestFinish == absl::InfiniteDuration()
                                              ? warmTime
                                              : offers.shortestFinish - warmTime;
    return Reject { RejectReason::Overloaded, std::max(retryAfter, shortestRetryAfter) };
}

void ServerSelector::onSent(const SelectionQuestion &question, const SendTo &choice,
                            Common::Instant now)
{
    choice.server->onSent(now, question.object);
}

void ServerSelector::onAnswered(const Common::ServiceName &service, bool warm, absl::Duration time)
{
    Times &known = this->times[service];
    absl::Duration &mean = warm ? known.warm : known.missed;
    bool &measured = warm ? known.warmKnown : known.missedKnown;
    mean = measured ? mean + (time - mean) * timeWeight : time;
    measured = true;
}

} // namespace Currantfall::Steering
