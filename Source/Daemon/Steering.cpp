#include "Steering.h"

#include <algorithm>
#include <utility>

#include "currantfall/Common/Invariant.h"

namespace Currantfall::Daemon {

namespace {

constexpr std::size_t ringSize = 65536;
// Callers are refused beyond this, so that completions and peer messages always find room.
constexpr std::size_t callerRingLimit = 8192;
constexpr absl::Duration tickInterval = absl::Milliseconds(50);
constexpr absl::Duration longestWait = absl::Milliseconds(50);
constexpr absl::Duration peerRefreshInterval = absl::Seconds(1);
constexpr absl::Duration fullRingDelay = absl::Microseconds(200);
// Heartbeats with the leaving state need this time to reach all VMs that answer lookups.
constexpr absl::Duration leavingPropagation = absl::Seconds(1);

} // namespace

Common::Result<std::unique_ptr<Steering>> Steering::create(const Settings &settings,
                                                           Common::Incarnation incarnation,
                                                           Telemetry::MetricsRegistry &metrics)
{
    auto created = std::unique_ptr<Steering>(new Steering(settings, incarnation, metrics));
    if (const auto flows = created->createFlows(); !flows) {
        return tl::unexpected(flows.error());
    }
    return created;
}

Steering::Steering(const Settings &settings, Common::Incarnation incarnation,
                   Telemetry::MetricsRegistry &metrics)
    : settings(settings), context(metrics), events(ringSize)
{
    this->context.self = { settings.vm, incarnation };
    this->context.zone = settings.zone;
    this->context.hedging = settings.hedging;
    this->context.region = settings.region;
    this->context.now = Common::monotonicNow();
    this->context.random.seed(incarnation);
    this->context.send = [this](const Common::VmName &peer, Peering::LinkClass linkClass,
                                std::unique_ptr<Peering::Wire::MessageT> message) {
        return this->outputs.send(peer, linkClass, std::move(message));
    };
}

Steering::~Steering()
{
    this->events.close();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

Common::Result<void> Steering::createFlows()
{
    const Membership::Identity identity { this->settings.vm,      this->settings.zone,
                                          this->settings.region,  this->context.self.incarnation,
                                          this->settings.address, this->settings.portBase };
    ClusterFlow::Hooks hooks;
    hooks.setPeers = [this](std::vector<Peering::PeerAddress> peers) {
        this->outputs.setPeers(std::move(peers));
    };
    hooks.ownState = [this] {
        return Membership::ReportedState { this->context.leaving, this->context.revision,
                                           this->keyed->currentPrefix(), this->scheduler->loads() };
    };
    hooks.onTopologyChanged = [this] {
        this->outputs.setPlatformReads(this->cluster->readsPlatformOften());
        this->keyed->onMembersChanged();
    };
    hooks.onOwnershipChanged = [this] { this->scheduler->reconfigure(); };
    hooks.onPause = [this] { this->credits->onPause(); };
    hooks.inFlight = [this](const Common::BackendServerName &server) {
        return this->scheduler->inFlight(server);
    };
    auto created = ClusterFlow::create(this->context, identity, std::move(hooks));
    if (!created) {
        return tl::unexpected(created.error());
    }
    this->cluster.emplace(std::move(*created));
    this->scheduler.emplace(
            this->context, this->cluster->ownership(),
            [this](BackendCompletion completion) { this->post(std::move(completion)); });
    this->credits.emplace(this->context, *this->cluster, *this->scheduler);
    this->dispatcher.emplace(this->context, *this->cluster, *this->scheduler, *this->credits);
    this->keyed.emplace(this->context, *this->cluster, *this->dispatcher);
    ConfigurationFlow::Hooks configurationHooks;
    configurationHooks.fetch
            = [this](const std::string &hash) { this->outputs.fetchDocument(hash); };
    configurationHooks.load
            = [this](std::string content) { this->outputs.loadDocument(std::move(content)); };
    configurationHooks.onAdopted = [this] { this->onAdopted(); };
    this->configuration.emplace(this->context, std::move(configurationHooks));
    this->context.timers.subscribeEvery(this->context.now, tickInterval,
                                        [this](Common::Instant) { this->tick(); });
    this->context.timers.subscribeEvery(this->context.now, peerRefreshInterval,
                                        [this](Common::Instant) { this->cluster->updatePeers(); });
    return {};
}

void Steering::start(Outputs wanted)
{
    this->outputs = std::move(wanted);
    this->thread = std::thread([this] { this->run(); });
}

bool Steering::submit(SharedRequest request, std::shared_ptr<Completion> completion)
{
    if (this->events.size() >= callerRingLimit) {
        return false;
    }
    return this->events.tryPush(
            CallerArrival { std::move(request), std::move(completion), Common::monotonicNow() });
}

void Steering::post(Event event)
{
    // A refused event is not moved from.
    while (!this->events.tryPush(std::move(event))) { // NOLINT(bugprone-use-after-move)
        if (this->events.closed()) {
            return;
        }
        absl::SleepFor(fullRingDelay);
    }
}

void Steering::awaitLeft()
{
    const Common::MutexLock lock(&this->leftMutex);
    this->leftMutex.Await(absl::Condition(&this->left));
}

void Steering::awaitStopped()
{
    this->thread.join();
}

void Steering::run()
{
    while (!this->finished) {
        auto event = this->events.popWithin(this->waitTime());
        this->context.now = Common::monotonicNow();
        // Detects a pause before the event is handled, so that a lapsed lease or credit is not
        // used.
        this->cluster->advance();
        if (event) {
            std::visit([this](auto &value) { this->handle(value); }, *event);
        }
        this->context.timers.advance(this->context.now);
    }
}

absl::Duration Steering::waitTime() const
{
    const Common::Instant due = std::min(this->context.timers.nextDue(), this->cluster->nextDue());
    const absl::Duration wait = due - Common::monotonicNow();
    return std::clamp(wait, absl::ZeroDuration(), longestWait);
}

void Steering::tick()
{
    this->publishLookups();
    this->context.metrics.setGauge("currantfall_revision",
                                   static_cast<double>(this->context.revision));
    this->context.metrics.setGauge("currantfall_requests_in_progress",
                                   static_cast<double>(this->callersInProgress));
    this->context.metrics.setGauge("currantfall_slot_overruns",
                                   static_cast<double>(this->scheduler->slotOverruns()));
    if (this->stopping) {
        this->checkStop();
    }
}

void Steering::onAdopted()
{
    const Configuration::Environment &environment = *this->context.environment;
    std::vector<Common::ServiceName> services;
    std::vector<Common::TenantName> tenants;
    std::vector<Common::RankName> ranks;
    for (const auto &service : environment.services) {
        services.push_back(service.name);
    }
    for (const auto &tenant : environment.tenants) {
        tenants.push_back(tenant.name);
    }
    for (const auto &rank : environment.ranks) {
        ranks.push_back(rank.name);
    }
    this->context.metrics.setKnownNames(services, tenants, ranks);
    this->outputs.configureGate(environment);
    auto blocks = Configuration::ClientBlockTable::fromEnvironment(environment);
    if (blocks) {
        this->clientBlocks
                = std::make_shared<const Configuration::ClientBlockTable>(std::move(*blocks));
    } else {
        this->context.log.error(blocks.error().toString());
    }
    Common::requireInvariant(
            this->routingSnapshots.read()->revision < this->context.revision, "configuration",
            "the revision in force never decreases", [this] {
                return nlohmann::json { { "before", this->routingSnapshots.read()->revision },
                                        { "now", this->context.revision } };
            });
    this->routingSnapshots.publish(std::make_shared<const RoutingSnapshot>(RoutingSnapshot {
            this->context.environment, this->context.revision, this->clientBlocks }));
    this->updateLeaving();
    this->cluster->onConfigurationChanged();
    this->scheduler->reconfigure();
    this->credits->onConfigurationChanged();
    this->publishLookups();
}

void Steering::updateLeaving()
{
    const bool drained = this->context.environment != nullptr
                         && Drain::isVmDrained(*this->context.environment, this->context.drains,
                                               this->settings.vm, this->settings.zone);
    const bool leaving = this->stopping || drained;
    if (leaving != this->context.leaving) {
        this->context.leaving = leaving;
        this->context.log.info(leaving ? "this VM is leaving" : "this VM is back in service");
        this->cluster->onConfigurationChanged();
    }
}

void Steering::publishLookups()
{
    if (this->context.environment == nullptr) {
        return;
    }
    auto snapshot = std::make_shared<LookupSnapshot>();
    snapshot->environment = this->context.environment;
    snapshot->clientBlocks = this->clientBlocks;
    snapshot->revision = this->context.revision;
    snapshot->members = this->cluster->placementMembers();
    for (Placement::PlacementMember &member : snapshot->members) {
        if (member.vm == this->settings.vm) {
            member.leaving = this->context.leaving;
        }
    }
    snapshot->view = this->context.members;
    snapshot->self = this->settings.vm;
    snapshot->zone = this->settings.zone;
    snapshot->ownKeyPrefix = this->keyed->currentPrefix();
    this->lookupSnapshots.publish(std::move(snapshot));
}

void Steering::checkStop()
{
    if (this->context.now >= this->leftAt) {
        const Common::MutexLock lock(&this->leftMutex);
        this->left = true;
    }
    if (this->callersGone && this->dispatcher->inProgress() == 0 && this->scheduler->inFlight() == 0
        && this->keyed->handoverDone()) {
        this->finished = true;
    }
}

void Steering::handle(CallerArrival &event)
{
    ++this->callersInProgress;
    const Common::Instant arrival = event.arrival;
    const SharedRequest request = event.request;
    const auto done
            = [this, arrival, request, completion = event.completion](Common::Answer answer) {
                  Common::requireInvariant(this->callersInProgress > 0, "steering",
                                           "no more requests end than have arrived", [&request] {
                                               return nlohmann::json { { "request", request->id } };
                                           });
                  --this->callersInProgress;
                  const Configuration::Environment &environment = *this->context.environment;
                  const Common::RankName rank = request->rank < environment.ranks.size()
                                                        ? environment.ranks[request->rank].name
                                                        : Common::RankName();
                  this->context.metrics.recordLatency(
                          { request->service, request->tenant, rank, answer.outcome },
                          Common::monotonicNow() - arrival);
                  completion->complete(std::move(answer));
              };
    if (!request->idempotent && !request->key.empty()) {
        this->keyed->handle(request, done);
        return;
    }
    this->dispatcher->dispatch(request, done);
}

void Steering::handle(BackendCompletion &event)
{
    this->scheduler->onCompletion(event);
}

void Steering::handle(PeerLinkUp &event)
{
    if (event.linkClass != Peering::LinkClass::Control) {
        return;
    }
    this->cluster->onLinkUp(event.peer);
    this->keyed->onLinkUp(event.peer.vm);
    this->configuration->onLinkUp(event.peer.vm);
}

void Steering::handle(PeerLinkDown &event)
{
    this->dispatcher->onLinkDown(event.peer.vm, event.linkClass);
    this->keyed->onLinkDown(event.peer.vm, event.linkClass);
    if (event.linkClass == Peering::LinkClass::Control) {
        this->cluster->onLinkDown(event.peer.vm, event.peer.incarnation);
    }
}

void Steering::handle(RowRead &event)
{
    this->configuration->onRow(std::move(event.row), {});
}

void Steering::handle(VmsListed &event)
{
    this->cluster->onPlatformList(event.vms);
}

void Steering::handle(DocumentReady &event)
{
    this->configuration->onDocument(std::move(event.document));
}

void Steering::handle(StatusQuery &event)
{
    Common::Answer answer;
    answer.outcome = Common::Outcome::Answered;
    answer.body = this->describeStatus();
    event.reply->complete(std::move(answer));
}

void Steering::handle(StopRequested & /*event*/)
{
    this->stopping = true;
    const absl::Duration ttl = this->context.environment == nullptr
                                       ? absl::ZeroDuration()
                                       : this->context.environment->lookupTtl + leavingPropagation;
    this->leftAt = this->context.now + ttl;
    this->updateLeaving();
}

void Steering::handle(CallersGone & /*event*/)
{
    this->callersGone = true;
    this->keyed->close();
}

} // namespace Currantfall::Daemon
