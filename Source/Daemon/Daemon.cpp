#include "Daemon.h"

#include <utility>

namespace Currantfall::Daemon {

namespace {

constexpr Common::RankIndex mostRanks = 7;
constexpr std::size_t lookupConnections = 400;

void describeMetrics(Telemetry::MetricsRegistry &metrics)
{
    metrics.describe("currantfall_backend_attempts_total", "Attempts at backend servers.");
    metrics.describe("currantfall_backend_sheds_total", "Requests shed by backend servers.");
    metrics.describe("currantfall_backend_pauses_total",
                     "Pauses that backend servers asked this VM for.");
    metrics.describe("currantfall_backend_leaving_total",
                     "Runs of backend servers that announced that they leave.");
    metrics.describe("currantfall_credit_refusals_total",
                     "Requests of other regions without a valid credit.");
    metrics.describe("currantfall_shifted_requests_total",
                     "Requests of other regions taken on credits.");
    metrics.describe("currantfall_dropped_answers_total",
                     "Late, duplicate or mismatched answers of other VMs.");
    metrics.describe("currantfall_forwards_total", "Requests sent to an owner on another VM.");
    metrics.describe("currantfall_hedges_total", "Second attempts of slow requests.");
    metrics.describe("currantfall_lookups_total", "Lookups answered or refused.");
    metrics.describe("currantfall_pauses_total", "Pauses after which leases had lapsed.");
    metrics.describe("currantfall_requests_in_progress", "Callers that wait for an answer.");
    metrics.describe("currantfall_retries_total", "Attempts after the first one of a request.");
    metrics.describe("currantfall_revision", "Configuration revision in force.");
    metrics.describe("currantfall_slot_overruns", "Starts above a backend server's slots.");
}

Common::Incarnation newIncarnation()
{
    return static_cast<Common::Incarnation>(absl::ToUnixMicros(absl::Now()));
}

std::vector<Membership::ListedVm> toMembership(const std::vector<Platform::ListedVm> &vms)
{
    std::vector<Membership::ListedVm> result;
    result.reserve(vms.size());
    for (const Platform::ListedVm &vm : vms) {
        Membership::ListedVm listed { vm.vm,
                                      vm.zone,
                                      vm.region,
                                      vm.address,
                                      static_cast<std::uint16_t>(vm.portBase),
                                      vm.state == Platform::VmState::Leaving };
        if (vm.peerAddress) {
            listed.peerEndpoint
                    = { vm.peerAddress->host, static_cast<std::uint16_t>(vm.peerAddress->port) };
        }
        result.push_back(std::move(listed));
    }
    return result;
}

} // namespace

Common::Result<std::unique_ptr<Daemon>> Daemon::start(const Settings &settings)
{
    auto created = std::unique_ptr<Daemon>(new Daemon(settings, newIncarnation()));
    using Step = Common::Result<void> (Daemon::*)();
    for (const Step step : { &Daemon::startSteering, &Daemon::startPeering, &Daemon::startPlatform,
                             &Daemon::startListeners }) {
        if (const auto done = (created.get()->*step)(); !done) {
            return tl::unexpected(done.error());
        }
    }
    created->log.info("listening on " + settings.address + ":"
                      + std::to_string(settings.lookupPort()));
    return created;
}

Daemon::Daemon(const Settings &settings, Common::Incarnation incarnation)
    : settings(settings), incarnation(incarnation), log(Common::Log::forComponent("daemon")),
      gate(settings.connectionsPerRank * mostRanks, settings.bodyMemory)
{
    describeMetrics(this->metrics);
}

Daemon::~Daemon()
{
    this->callers.clear();
    this->lookups.reset();
    this->admin.reset();
    this->platform.reset();
    this->loader.reset();
    this->transport.reset();
    this->steering.reset();
}

void Daemon::stop()
{
    this->log.info("graceful shutdown");
    this->steering->post(StopRequested());
    this->steering->awaitLeft();
    this->callers.clear();
    this->lookups.reset();
    this->steering->post(CallersGone());
    this->steering->awaitStopped();
    this->transport->stop();
    this->log.info("stopped");
}

Common::Result<void> Daemon::startSteering()
{
    auto created = Steering::create(this->settings, this->incarnation, this->metrics);
    if (!created) {
        return tl::unexpected(created.error());
    }
    this->steering = std::move(*created);
    return {};
}

Common::Result<void> Daemon::startPeering()
{
    Peering::TransportSettings transportSettings;
    transportSettings.self
            = { this->settings.environment, this->settings.vm, this->settings.zone,
                this->settings.region,      this->incarnation, this->settings.address,
                this->settings.portBase };
    transportSettings.listenAddress = this->settings.address;
    transportSettings.listenPort = this->settings.peerPort();
    transportSettings.seed = this->incarnation;
    Peering::PeerHandlers handlers;
    handlers.onMessage = [this](const Common::VmName &from, Common::Incarnation run,
                                std::unique_ptr<Peering::Wire::MessageT> message) {
        this->steering->post(PeerMessage { { from, run }, std::move(message) });
    };
    handlers.onLinkUp = [this](const Peering::PeerIdentity &peer, Peering::LinkClass linkClass) {
        this->steering->post(PeerLinkUp { peer, linkClass });
    };
    handlers.onLinkDown = [this](const Common::VmName &peer, Common::Incarnation run,
                                 Peering::LinkClass linkClass, const Common::Error &reason) {
        this->log.info(reason.toString(), peer.value());
        this->steering->post(PeerLinkDown { { peer, run }, linkClass });
    };
    auto started = Peering::PeerTransport::start(std::move(transportSettings), std::move(handlers));
    if (!started) {
        return tl::unexpected(started.error());
    }
    this->transport = std::move(*started);
    return {};
}

Common::Result<void> Daemon::startPlatform()
{
    auto client = Platform::PlatformClient::create(this->settings.platform);
    if (!client) {
        return tl::unexpected(client.error());
    }
    this->loader = std::make_unique<DocumentLoader>([this](LoadedDocument document) {
        this->steering->post(DocumentReady { std::move(document) });
    });
    PlatformReader::Hooks hooks;
    hooks.onRow = [this](Platform::EnvironmentRow row) {
        this->steering->post(RowRead { std::move(row) });
    };
    hooks.onVms = [this](const std::vector<Platform::ListedVm> &vms) {
        this->steering->post(VmsListed { toMembership(vms) });
    };
    hooks.onDocument = [this](LoadedDocument document) {
        this->steering->post(DocumentReady { std::move(document) });
    };
    this->platform = std::make_unique<PlatformReader>(
            std::move(*client), this->settings.environment, this->incarnation, std::move(hooks));
    Steering::Outputs outputs;
    outputs.send = [this](const Common::VmName &peer, Peering::LinkClass linkClass,
                          std::unique_ptr<Peering::Wire::MessageT> message) {
        return this->transport->send(peer, linkClass, std::move(message));
    };
    outputs.setPeers = [this](std::vector<Peering::PeerAddress> peers) {
        this->transport->setPeers(std::move(peers));
    };
    outputs.fetchDocument = [this](const std::string &hash) { this->platform->fetch(hash); };
    outputs.loadDocument = [this](std::string content) { this->loader->load(std::move(content)); };
    outputs.configureGate = [this](const Configuration::Environment &environment) {
        this->gate.reconfigure(environment);
    };
    outputs.setPlatformReads = [this](bool often) { this->platform->setReadsOften(often); };
    this->steering->start(std::move(outputs));
    return {};
}

Common::Result<void> Daemon::startListeners()
{
    const auto submit = [this](SharedRequest request, std::shared_ptr<Completion> completion) {
        return this->steering->submit(std::move(request), std::move(completion));
    };
    for (Common::RankIndex rank = 0; rank < mostRanks; ++rank) {
        auto caller = CallerServer::start({ this->settings.vm.value(), this->settings.address,
                                            this->settings.rankPort(rank), rank,
                                            this->settings.connectionsPerRank },
                                          this->steering->routing(), this->gate, submit);
        if (!caller) {
            return tl::unexpected(caller.error());
        }
        this->callers.push_back(std::move(*caller));
    }
    auto lookupService
            = LookupService::start(this->settings.address, this->settings.lookupPort(),
                                   lookupConnections, this->steering->lookups(), this->metrics);
    if (!lookupService) {
        return tl::unexpected(lookupService.error());
    }
    this->lookups = std::move(*lookupService);
    auto adminService
            = AdminService::start(this->settings.address, this->settings.adminPort(), this->metrics,
                                  [this](std::shared_ptr<Completion> reply) {
                                      this->steering->post(StatusQuery { std::move(reply) });
                                      return true;
                                  });
    if (!adminService) {
        return tl::unexpected(adminService.error());
    }
    this->admin = std::move(*adminService);
    return {};
}

} // namespace Currantfall::Daemon
