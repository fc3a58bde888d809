#include "OwnerScheduler.h"

#include <algorithm>
#include <utility>

#include "currantfall/Common/Invariant.h"

namespace Currantfall::Daemon {

namespace {

using Common::Reason;
using Placement::OwnershipState;

constexpr const char *partName = "owner";
// Interval for queue expiries, breakers that may probe again, and limits that regrow.
constexpr absl::Duration tickInterval = absl::Milliseconds(20);
// Queue length per slot. Longer queues only hold requests that the deadline check refuses anyway.
constexpr std::size_t queuedPerSlot = 64;
// A timeout counts against the server only if the request had this many times the usual time.
constexpr double timeoutFactor = 2.0;
constexpr std::size_t maxQueuedBytes = std::size_t { 64 } * 1024 * 1024;
// Requests may be sent to a leaving server for this time after its first announcement.
constexpr absl::Duration drainTime = absl::Seconds(3);
// For servers that have left.
constexpr absl::Duration probeInterval = absl::Seconds(1);
constexpr absl::Duration probeTimeout = absl::Milliseconds(500);

SharedRequest probeRequest(Common::Instant now)
{
    auto request = std::make_shared<Request>();
    request->method = "GET";
    request->path = "/_health";
    request->deadline = now + probeTimeout;
    return request;
}

} // namespace

OwnerScheduler::OwnerScheduler(SteeringContext &context, const Placement::OwnershipTable &ownership,
                               BackendPool::CompletionHandler completions)
    : context(context), ownership(ownership), pool(std::move(completions)), notices(drainTime)
{
    this->context.timers.subscribeEvery(this->context.now, tickInterval,
                                        [this](Common::Instant) { this->tick(); });
}

void OwnerScheduler::reconfigure()
{
    this->updateServers();
    this->updateQueues();
}

OwnerScheduler::Ticket OwnerScheduler::offer(SharedRequest request,
                                             std::vector<Common::BackendServerName> avoid,
                                             ResultHandler done)
{
    const Ticket ticket = ++this->lastTicket;
    const auto found = this->queues.find(request->service);
    if (found == this->queues.end() || found->second.queue->slots() == 0) {
        this->finish(done,
                     Common::notRun(Reason::NoCapacity, "this VM owns no usable backend server",
                                    absl::Seconds(1)));
        return ticket;
    }
    const Common::ServiceName service = request->service;
    const Admission::QueuedRequest queued {
        ticket, request->rank, { request->tenant, service }, request->deadline, request->body.size()
    };
    const auto admitted = found->second.queue->offer(this->context.now, queued);
    if (!admitted) {
        this->finish(done, Common::notRun(admitted.error().reason, "refused by the owner's queue",
                                          admitted.error().retryAfter));
        return ticket;
    }
    this->waiting.emplace(ticket,
                          Waiting { std::move(request), std::move(avoid), std::move(done) });
    this->startReady(service);
    return ticket;
}

void OwnerScheduler::cancel(Ticket ticket)
{
    const auto queued = this->waiting.find(ticket);
    if (queued != this->waiting.end()) {
        const ServiceQueue &queue = this->queues.at(queued->second.request->service);
        queue.queue->cancel(ticket);
        this->refuseWaiting(ticket, Common::notRun(Reason::Cancelled, "cancelled in the queue"));
        return;
    }
    const auto attempt = this->attemptOf.find(ticket);
    if (attempt != this->attemptOf.end()) {
        this->pool.cancel(attempt->second);
    }
}

void OwnerScheduler::onCompletion(const BackendCompletion &completion)
{
    this->pool.release(completion.attempt);
    this->recordNotice(completion.server, completion.result);
    const auto found = this->running.find(completion.attempt);
    if (found == this->running.end()) {
        return;
    }
    const Running ended = std::move(found->second);
    this->running.erase(found);
    this->attemptOf.erase(ended.ticket);
    const BackendResult &result = completion.result;
    const auto queue = this->queues.find(ended.service);
    const auto server = this->servers.find(ended.server);
    if (server != this->servers.end()) {
        const absl::Duration usual
                = queue == this->queues.end()
                          ? absl::InfiniteDuration()
                          : queue->second.queue->expectedServiceTime(ended.service);
        this->judge(server->second, result, usual);
        Common::requireInvariant(server->second.inUse > 0, partName, "only a slot in use is freed",
                                 [&] {
                                     return nlohmann::json { { "server", ended.server.value() },
                                                             { "attempt", completion.attempt } };
                                 });
        --server->second.inUse;
    }
    if (queue != this->queues.end()) {
        const bool measured = result.answer.outcome == Common::Outcome::Answered;
        if (measured) {
            queue->second.queue->finished(this->context.now, ended.ticket, result.serviceTime);
        } else {
            queue->second.queue->abandoned(this->context.now, ended.ticket);
        }
        queue->second.queue->setSlots(this->context.now, this->usableSlots(queue->second));
    }
    this->finish(ended.done, result.answer, ended.server);
    this->startReady(ended.service);
}

void OwnerScheduler::judge(Server &server, const BackendResult &result, absl::Duration usual)
{
    switch (result.verdict) {
    case ServerVerdict::Answered:
        server.breaker.succeeded();
        return;
    case ServerVerdict::Failed:
        server.breaker.failed(this->context.now);
        return;
    case ServerVerdict::TimedOut:
        // A request that came with little time left says nothing about the server.
        if (result.serviceTime > usual * timeoutFactor) {
            server.breaker.failed(this->context.now);
            return;
        }
        break;
    case ServerVerdict::Shed:
        this->context.metrics.addToCounter("currantfall_backend_sheds_total");
        // The pause keeps work from the server; nothing shows that it can do less afterwards.
        if (result.notice.pause() > absl::ZeroDuration()) {
            break;
        }
        server.limit.shed(this->context.now, server.inUse);
        // The limit can't fall below one request, and a server that refuses this one as well would
        // attract work, because refusals end early.
        if (server.inUse <= 1
            || server.breaker.state(this->context.now)
                       != Admission::CircuitBreaker::State::Closed) {
            server.breaker.failed(this->context.now);
            return;
        }
        break;
    case ServerVerdict::Unjudged:
        break;
    }
    server.breaker.attemptNotMade();
}

Steering::ServerIncarnation
OwnerScheduler::incarnationOf(const Common::BackendServerName &server) const
{
    const auto start = this->startTimes.find(server);
    return { server, start == this->startTimes.end() ? absl::UnixEpoch() : start->second };
}

Steering::ServerUse OwnerScheduler::useOf(const Server &server) const
{
    // Asked for every server at every start, mostly while there are no notices.
    return this->notices.size() == 0 ? Steering::ServerUse::Unrestricted
                                     : this->notices.use(this->incarnationOf(server.settings.name),
                                                         this->context.now);
}

bool OwnerScheduler::isReturning(const Server &server) const
{
    const Common::Instant now = this->context.now;
    return this->notices.size() > 0
           && this->notices.nextSendTime(this->incarnationOf(server.settings.name), now, now) > now;
}

void OwnerScheduler::recordNotice(const Common::BackendServerName &server,
                                  const BackendResult &result)
{
    if (result.serverStart > absl::UnixEpoch()) {
        absl::Time &start = this->startTimes[server];
        start = std::max(start, result.serverStart);
    }
    const Steering::ServerIncarnation incarnation = this->incarnationOf(server);
    const bool isReplaced = incarnation.startTime > result.serverStart;
    if (result.serverStart > absl::UnixEpoch() && isReplaced) {
        return; // An answer of an earlier run that came late.
    }
    const Steering::ServerRecord *known = this->serversWithNotices.find(server);
    if (known == nullptr ? !result.notice.empty()
                         : known->server().startTime < incarnation.startTime) {
        Steering::BackendServer listed;
        listed.name = server;
        listed.startTime = incarnation.startTime;
        this->serversWithNotices.put(listed, this->context.now);
    }
    // Answers state the run that gave them; its start stands in for the time of the request.
    const Steering::NoticeEffect effect
            = this->notices.apply(incarnation, result.notice, result.serverStart,
                                  this->serversWithNotices, this->context.now);
    if (effect.leavingStarted) {
        this->context.metrics.addToCounter("currantfall_backend_leaving_total");
        this->context.log.info("a backend server leaves", server.value());
    }
    if (effect.pauseStarted) {
        this->context.metrics.addToCounter("currantfall_backend_pauses_total");
        this->context.log.info("a backend server asks for no requests for "
                                       + absl::FormatDuration(result.notice.pause()),
                               server.value());
    }
}

void OwnerScheduler::probeServersThatLeft()
{
    for (auto &[name, server] : this->servers) {
        const Common::Instant now = this->context.now;
        const Steering::ServerIncarnation incarnation = this->incarnationOf(name);
        const bool left = this->notices.use(incarnation, now) == Steering::ServerUse::None
                          && this->notices.nextSendTime(incarnation, now, now) == now;
        if (!left || !server.startable || now < server.nextProbe) {
            continue;
        }
        server.nextProbe = now + probeInterval;
        const std::string attempt = this->attemptName('p', ++this->lastTicket);
        this->pool.start({ attempt, name, probeRequest(now) });
    }
}

bool OwnerScheduler::hasUntriedServer(const Common::ServiceName &service,
                                      const std::vector<Common::BackendServerName> &tried) const
{
    const auto found = this->queues.find(service);
    return found != this->queues.end()
           && std::any_of(found->second.servers.begin(), found->second.servers.end(),
                          [&](const Common::BackendServerName &name) {
                              return std::find(tried.begin(), tried.end(), name) == tried.end()
                                     && this->usableSlots(this->servers.at(name)) > 0;
                          });
}

std::vector<Membership::ServiceLoad> OwnerScheduler::loads() const
{
    std::vector<Membership::ServiceLoad> result;
    for (const auto &entry : this->queues) {
        const Membership::ServiceLoad load = this->loadOf(entry.first);
        if (load.totalSlots > 0 || load.queued > 0) {
            result.push_back(load);
        }
    }
    return result;
}

Membership::ServiceLoad OwnerScheduler::loadOf(const Common::ServiceName &service) const
{
    Membership::ServiceLoad load;
    load.service = service;
    const auto found = this->queues.find(service);
    if (found == this->queues.end()) {
        return load;
    }
    const Admission::AdmissionQueue &queue = *found->second.queue;
    load.freeSlots = static_cast<std::uint32_t>(queue.freeSlots());
    load.totalSlots = static_cast<std::uint32_t>(queue.slots());
    load.queued = static_cast<std::uint32_t>(queue.queued());
    return load;
}

std::size_t OwnerScheduler::ownedSlots() const
{
    std::size_t slots = 0;
    for (const auto &entry : this->servers) {
        slots += entry.second.startable ? entry.second.settings.slots : 0;
    }
    return slots;
}

double OwnerScheduler::meanInUse(const Common::ServiceName &service) const
{
    const auto found = this->queues.find(service);
    return found == this->queues.end() ? 0.0 : found->second.use.mean();
}

Drain::HeldWork OwnerScheduler::held(const Drain::DrainTarget &target) const
{
    Drain::HeldWork work;
    const std::vector<Drain::DrainTarget> only { target };
    for (const auto &[name, server] : this->servers) {
        if (this->context.environment != nullptr
            && Drain::isBackendServerDrained(*this->context.environment, only, server.settings)) {
            work.inFlight += server.inUse;
        }
    }
    return work;
}

std::size_t OwnerScheduler::inFlight(const Common::BackendServerName &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 0 : found->second.inUse;
}

void OwnerScheduler::tick()
{
    if (this->notices.size() > 0) {
        // Discards pauses that are over, and what earlier runs of the servers said.
        this->notices.advance(this->serversWithNotices, this->context.now);
        this->probeServersThatLeft();
    }
    std::vector<Common::ServiceName> services;
    for (auto &[service, queue] : this->queues) {
        queue.queue->setSlots(this->context.now, this->usableSlots(queue));
        const Membership::ServiceLoad load = this->loadOf(service);
        queue.use.add(this->context.now, load.totalSlots - load.freeSlots);
        services.push_back(service);
    }
    for (const Common::ServiceName &service : services) {
        this->refuseStranded(service, this->queues.at(service));
        this->startReady(service);
    }
}

void OwnerScheduler::updateServers()
{
    std::vector<Configuration::BackendServer> wanted;
    for (auto &entry : this->servers) {
        entry.second.startable = false;
    }
    if (this->context.environment != nullptr) {
        for (const Configuration::Service &service : this->context.environment->services) {
            for (const Configuration::BackendServer &settings : service.backendServers) {
                const OwnershipState state = this->ownership.state(settings.name);
                if (state == OwnershipState::NotOwned) {
                    continue;
                }
                auto &server = this->servers.try_emplace(settings.name, settings).first->second;
                if (server.settings != settings) {
                    server.limit.setSlots(settings.slots);
                    server.settings = settings;
                }
                server.service = service.name;
                server.startable
                        = state == OwnershipState::Owned
                          && !Drain::isBackendServerDrained(*this->context.environment,
                                                            this->context.drains, settings);
                if (state == OwnershipState::Owned || server.inUse > 0) {
                    wanted.push_back(settings);
                }
            }
        }
    }
    absl::erase_if(this->servers, [this](const auto &entry) {
        return entry.second.inUse == 0
               && this->ownership.state(entry.first) == OwnershipState::NotOwned;
    });
    this->pool.setServers(wanted);
}

void OwnerScheduler::updateQueues()
{
    if (this->context.environment == nullptr) {
        return;
    }
    for (auto &entry : this->queues) {
        entry.second.servers.clear();
    }
    for (const Configuration::Service &service : this->context.environment->services) {
        ServiceQueue &queue = this->queues[service.name];
        for (const Configuration::BackendServer &settings : service.backendServers) {
            const auto server = this->servers.find(settings.name);
            if (server != this->servers.end() && server->second.startable) {
                queue.servers.push_back(settings.name);
            }
        }
    }
    std::vector<Common::ServiceName> services;
    for (auto &[service, queue] : this->queues) {
        if (queue.queue == nullptr) {
            queue.queue = std::make_unique<Admission::AdmissionQueue>(this->queueSettings(queue));
        } else {
            queue.queue->reconfigure(this->context.now, this->queueSettings(queue));
            queue.queue->setSlots(this->context.now, this->usableSlots(queue));
        }
        services.push_back(service);
    }
    for (const Common::ServiceName &service : services) {
        this->refuseStranded(service, this->queues.at(service));
        this->startReady(service);
    }
}

void OwnerScheduler::refuseStranded(const Common::ServiceName &service, ServiceQueue &queue)
{
    if (this->usableSlots(queue) > 0 || queue.queue->queued() == 0) {
        return;
    }
    // Another VM owns the servers now, or none of them accepts work. The VMs that took the calls
    // route their requests to other owners.
    std::vector<Ticket> stranded;
    for (const auto &[ticket, entry] : this->waiting) {
        if (entry.request->service == service) {
            stranded.push_back(ticket);
        }
    }
    for (const Ticket ticket : stranded) {
        queue.queue->cancel(ticket);
        this->refuseWaiting(
                ticket, Common::notRun(Reason::NoCapacity, "no backend server is usable any more"));
    }
}

void OwnerScheduler::refuseWaiting(Ticket ticket, Common::Answer answer)
{
    const auto found = this->waiting.find(ticket);
    if (found == this->waiting.end()) {
        return;
    }
    // The entry is gone before the handler runs, which may offer or cancel requests.
    const ResultHandler done = std::move(found->second.done);
    this->waiting.erase(found);
    this->finish(done, std::move(answer));
}

void OwnerScheduler::startReady(const Common::ServiceName &service)
{
    while (true) {
        const auto found = this->queues.find(service);
        if (found == this->queues.end()) {
            return;
        }
        const Admission::Selection selection = found->second.queue->next(this->context.now);
        for (const Admission::DroppedRequest &dropped : selection.dropped) {
            this->refuseWaiting(dropped.request.id, Common::notRun(dropped.refusal.reason,
                                                                   "dropped from the owner's queue",
                                                                   dropped.refusal.retryAfter));
        }
        if (!selection.start) {
            return;
        }
        this->start(found->second, selection.start->id);
    }
}

void OwnerScheduler::start(ServiceQueue &queue, Admission::RequestId id)
{
    const auto entry = this->waiting.find(id);
    if (entry == this->waiting.end()) {
        queue.queue->abandoned(this->context.now, id);
        return;
    }
    Waiting ready = std::move(entry->second);
    this->waiting.erase(entry);
    Server *const server = this->chooseServer(queue, ready);
    const std::string attempt = this->attemptName('b', id);
    if (server == nullptr || !this->pool.start({ attempt, server->settings.name, ready.request })) {
        if (server != nullptr) {
            server->breaker.attemptNotMade();
        }
        queue.queue->abandoned(this->context.now, id);
        queue.queue->setSlots(this->context.now, this->usableSlots(queue));
        this->finish(ready.done, Common::notRun(Reason::NoCapacity, "no backend server is usable"));
        return;
    }
    ++server->inUse;
    if (server->inUse > server->settings.slots) {
        ++this->overruns;
    }
    this->requireStartAllowed(*server);
    this->context.metrics.addToCounter("currantfall_backend_attempts_total",
                                       { { "service", ready.request->service.value() } });
    this->running.emplace(attempt, Running { id, server->settings.name, ready.request->service,
                                             std::move(ready.done) });
    this->attemptOf.emplace(id, attempt);
}

std::string OwnerScheduler::attemptName(char kind, Ticket ticket) const
{
    return this->context.self.vm.value() + "." + std::to_string(this->context.self.incarnation)
           + "." + kind + std::to_string(ticket);
}

void OwnerScheduler::requireStartAllowed(const Server &server) const
{
    const auto describe = [&] {
        return nlohmann::json { { "server", server.settings.name.value() },
                                { "slots", server.settings.slots },
                                { "in_use", server.inUse },
                                { "startable", server.startable },
                                { "owned", this->ownership.state(server.settings.name)
                                                   == OwnershipState::Owned },
                                { "revision", this->context.revision },
                                { "running", this->running.size() },
                                { "waiting", this->waiting.size() } };
    };
    Common::requireInvariant(server.inUse <= server.settings.slots, partName,
                             "slots in use are at most the slots of the backend server", describe);
    Common::requireInvariant(
            server.startable
                    && this->ownership.state(server.settings.name) == OwnershipState::Owned,
            partName, "work starts only on backend servers that are owned and not drained",
            describe);
}

OwnerScheduler::Server *OwnerScheduler::chooseServer(const ServiceQueue &queue,
                                                     const Waiting &waiting)
{
    std::vector<Server *> usable;
    for (const Common::BackendServerName &name : queue.servers) {
        Server &server = this->servers.at(name);
        if (server.inUse < this->usableSlots(server)) {
            usable.push_back(&server);
        }
    }
    const std::vector<Common::BackendServerName> &avoid = waiting.avoid;
    // A probe is likely to fail, and only an idempotent request can be repeated then.
    const auto avoided = [&](const Server *server) {
        const bool probe = server->breaker.state(this->context.now)
                           != Admission::CircuitBreaker::State::Closed;
        return (probe && !waiting.request->idempotent)
               || std::find(avoid.begin(), avoid.end(), server->settings.name) != avoid.end();
    };
    const auto leaving = [this](const Server *server) {
        return this->useOf(*server) == Steering::ServerUse::LastResort;
    };
    std::stable_sort(usable.begin(), usable.end(), [&](const Server *left, const Server *right) {
        if (avoided(left) != avoided(right)) {
            return avoided(right);
        }
        if (leaving(left) != leaving(right)) {
            return leaving(right);
        }
        return left->inUse < right->inUse;
    });
    for (Server *server : usable) {
        if (server->breaker.tryAttempt(this->context.now)) {
            return server;
        }
    }
    return nullptr;
}

std::size_t OwnerScheduler::usableSlots(const Server &server) const
{
    if (this->useOf(server) == Steering::ServerUse::None) {
        return 0;
    }
    switch (server.breaker.state(this->context.now)) {
    case Admission::CircuitBreaker::State::Open:
        return 0;
    case Admission::CircuitBreaker::State::HalfOpen:
        return 1;
    case Admission::CircuitBreaker::State::Closed:
        break;
    }
    const std::size_t slots
            = std::min(server.settings.slots, server.limit.limit(this->context.now));
    return this->isReturning(server) ? std::min<std::size_t>(1, slots) : slots;
}

std::size_t OwnerScheduler::usableSlots(const ServiceQueue &queue) const
{
    std::size_t slots = 0;
    for (const Common::BackendServerName &name : queue.servers) {
        slots += this->usableSlots(this->servers.at(name));
    }
    return slots;
}

Admission::QueueSettings OwnerScheduler::queueSettings(const ServiceQueue &queue) const
{
    Admission::QueueSettings settings;
    settings.slots = this->usableSlots(queue);
    settings.maxQueued = std::max<std::size_t>(1, settings.slots) * queuedPerSlot;
    settings.maxQueuedBytes = maxQueuedBytes;
    for (const Configuration::Rank &rank : this->context.environment->ranks) {
        settings.discipline.floors.push_back(rank.floor);
    }
    for (const Configuration::Tenant &tenant : this->context.environment->tenants) {
        settings.discipline.tenants.push_back({ tenant.name, tenant.weight });
    }
    return settings;
}

void OwnerScheduler::finish(const ResultHandler &done, Common::Answer answer,
                            const Common::BackendServerName &server)
{
    done({ std::move(answer), server });
}

} // namespace Currantfall::Daemon
