#include "EntryDaemon.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <utility>

#include "currantfall/Steering/EntryDirectory.h"

#include "StoreTables.h"
#include "VmRow.h"
#include "platform/Directory.h"
#include "platform/OperatorRows.h"
#include "platform/ServerRows.h"

namespace Currantfall::Entry {

namespace {

using Membership::MemberState;

constexpr absl::Duration timerInterval = absl::Milliseconds(25);
// Failures on two VMs should be known to the others before a third VM sends a request to the
// server.
constexpr absl::Duration outcomeReportInterval = absl::Milliseconds(250);
constexpr absl::Duration housekeepingInterval = absl::Milliseconds(100);
constexpr absl::Duration quotaInterval = absl::Milliseconds(50);
constexpr absl::Duration linkRequestInterval = absl::Seconds(1);
// Callers repeat the lookup after this time, and so learn which VMs have failed or are leaving.
constexpr absl::Duration lookupTtl = absl::Seconds(1);
constexpr std::size_t maxLookupEntries = 64;
// A VM that restarts as planned is not heard for one to two seconds. A region whose VMs were all
// silent for longer is lost.
constexpr absl::Duration regionLossTime = absl::Seconds(3);
// Fraction of the shutdown grace period after which new requests are refused, because they might
// not end before the process is killed.
constexpr double refuseNewAfterFraction = 0.5;
// Fraction of the grace period for which the process stays even when idle, because callers still
// send requests here until they repeat their lookup.
constexpr double minShutdownFraction = 0.35;
// Before SIGKILL, requests that are still in progress get a final response, and then the process
// exits. A VM with a tenth of a core needs the time to write the responses, to close its links and
// to clean up.
constexpr absl::Duration responseMarginBeforeKill = absl::Milliseconds(600);
constexpr absl::Duration exitMarginBeforeKill = absl::Milliseconds(400);
constexpr std::size_t maxQueuedWrites = 4;
// The settings file may change without a SIGHUP. A check costs one system call.
constexpr absl::Duration settingsCheckInterval = absl::Seconds(1);

/// Returns the minimum time if the modification time can't be read.
std::filesystem::file_time_type modificationTime(const std::string &path)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(path, error);
    return error ? std::filesystem::file_time_type::min() : time;
}

/// Place of a VM among all VMs, from 0 to 1, that spreads their writes.
double shareOf(const Common::VmName &vm)
{
    constexpr std::size_t steps = 1024;
    return static_cast<double>(std::hash<std::string>()(vm.value()) % steps) / steps;
}

} // namespace

Common::Result<std::unique_ptr<EntryDaemon>> EntryDaemon::create(const std::string &settingsPath)
{
    auto settings = EntrySettings::readFile(settingsPath);
    if (!settings) {
        return tl::unexpected(settings.error());
    }
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(settingsPath, std::move(*settings)));
    if (const auto started = daemon->start(); !started) {
        return tl::unexpected(started.error());
    }
    return daemon;
}

EntryDaemon::EntryDaemon(std::string settingsPath, EntrySettings settings)
    : settingsPath(std::move(settingsPath)), settings(std::move(settings)),
      log(this->settings.vm.value(), {}), signals(this->context, SIGTERM, SIGINT, SIGHUP),
      steering(this->context, this->settings, this->log, this->metrics),
      serverRows(this->steering, this->log, this->metrics),
      registration(shareOf(this->settings.vm)),
      settingsModifiedAt(modificationTime(this->settingsPath))
{ }

EntryDaemon::~EntryDaemon() = default;

Common::Result<void> EntryDaemon::start()
{
    this->log.important("start", { { "zone", this->settings.zone.value() },
                                   { "region", this->settings.region.value() },
                                   { "store", this->settings.store.toString() } });
    if (auto started = this->startCluster(0); !started) {
        return started;
    }
    this->startPeerSync();
    this->steering.selector().setStarted(Common::monotonicNow());
    this->startStore();
    if (auto started = this->startEndpoints(); !started) {
        return started;
    }
    this->subscribeTimers();
    boost::asio::co_spawn(this->context, this->driveTimers(), boost::asio::detached);
    boost::asio::co_spawn(this->context, this->awaitSignals(), boost::asio::detached);
    return {};
}

void EntryDaemon::run()
{
    runEventLoop(this->context, [this](const std::exception &error) { this->noteError(error); });
    this->log.important("stop", { { "unfinished", this->steering.requestsInProgress() } });
}

void EntryDaemon::noteError(const std::exception &error)
{
    this->metrics.addToCounter("currantfall_internal_errors_total");
    this->log.important("internal_error", { { "error", error.what() } });
}

void EntryDaemon::startStore()
{
    StoreSync::Hooks hooks;
    hooks.onChanges = [this](const std::string &table, const auto &changes) {
        return this->onTableChanges(table, changes);
    };
    hooks.peers = this->peerChannel();
    hooks.readerRank = [this] { return this->cluster->readerRank(); };
    hooks.firstReadDelay = [this, share = shareOf(this->settings.vm)](const std::string &table) {
        const Steering::TableReplica &vms = this->storeSync->replica(vmTable);
        Steering::FirstRead first;
        first.firstStart = this->settings.firstStart;
        first.listsVms = table == vmTable;
        first.small = table == Adapter::operatorTable;
        if (vms.loaded()) {
            first.listedVms = vms.rows().size();
        }
        first.share = share;
        return Steering::firstReadDelay(first);
    };
    this->storeSync
            = std::make_unique<StoreSync>(this->context, this->settings.store, storeTables(),
                                          std::move(hooks), this->log, this->metrics);
    this->storeWriter = std::make_unique<StoreWorker>(this->settings.store, maxQueuedWrites);
}

Common::Result<void> EntryDaemon::startEndpoints()
{
    auto listener = CallerListener::start(this->context, this->settings, this->steering, this->log);
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    this->callerListener = std::move(*listener);
    const auto start
            = [this](std::unique_ptr<HttpEndpoint> &endpoint, const Platform::HostPort &address,
                     HttpEndpoint::Handler handler) -> Common::Result<void> {
        auto started = HttpEndpoint::start(this->context, address, std::move(handler));
        if (!started) {
            return tl::unexpected(started.error());
        }
        endpoint = std::move(*started);
        return {};
    };
    const auto answerReadiness = [this](const std::string &target) {
        const bool known = target.substr(0, target.find('?')) == Adapter::readinessPath;
        return EndpointAnswer { !known ? 404U : this->ready() ? 200U : 503U, "text/plain", "" };
    };
    const auto answerMetrics = [this](const std::string &) {
        return EndpointAnswer { 200, "text/plain; version=0.0.4", this->renderMetrics() };
    };
    if (auto done = start(this->readinessEndpoint, this->settings.readiness, answerReadiness);
        !done) {
        return done;
    }
    if (auto done
        = start(this->directoryEndpoint, this->settings.directory,
                [this](const std::string &target) { return this->answerDirectory(target); });
        !done) {
        return done;
    }
    return start(this->metricsEndpoint, this->settings.metrics, answerMetrics);
}

void EntryDaemon::subscribeTimers()
{
    const Common::Instant now = Common::monotonicNow();
    this->timers.subscribeEvery(now, timerInterval, [this](Common::Instant at) {
        this->cluster->advance(at);
        this->storeSync->advance(at);
        this->advanceShutdown(at);
        this->objectMoveSync->sendNewMoves();
    });
    this->timers.subscribeEvery(now, housekeepingInterval, [this](Common::Instant at) {
        this->steering.setServersConfirmed(
                this->storeSync->replica(Adapter::serverTable).confirmedAt());
        this->steering.advance(at);
        this->registerVm(at);
    });
    this->timers.subscribeEvery(now, outcomeReportInterval,
                                [this](Common::Instant at) { this->outcomeSync->sendChanges(at); });
    this->timers.subscribeEvery(now, quotaInterval,
                                [this](Common::Instant at) { this->quotaSync->advance(at); });
    this->timers.subscribeEvery(now, linkRequestInterval,
                                [this](Common::Instant) { this->updateQuotaPeers(); });
    this->timers.subscribeEvery(now, settingsCheckInterval,
                                [this](Common::Instant) { this->checkSettingsFile(); });
    this->timers.advance(now);
    this->cluster->advance(now);
    this->storeSync->advance(now);
    this->registerVm(now);
}

Task EntryDaemon::driveTimers()
{
    boost::asio::steady_timer timer(this->context);
    while (!this->stopped) {
        const Common::Instant now = Common::monotonicNow();
        try {
            this->timers.advance(now);
        } catch (const std::exception &error) {
            // Without timers the process would neither serve nor end.
            this->noteError(error);
        }
        co_await sleepFor(timer, std::max(this->timers.nextDue() - now, absl::Milliseconds(1)));
    }
}

Task EntryDaemon::awaitSignals()
{
    while (!this->stopped) {
        IoError error;
        const int received = co_await this->signals.async_wait(awaitInto(error));
        if (error) {
            co_return;
        }
        try {
            if (received == SIGHUP) {
                this->reloadSettings();
            } else {
                this->beginShutdown();
            }
        } catch (const std::exception &error) {
            // The next signal must still be handled.
            this->noteError(error);
        }
    }
}

void EntryDaemon::checkSettingsFile()
{
    if (modificationTime(this->settingsPath) != this->settingsModifiedAt) {
        this->reloadSettings();
    }
}

void EntryDaemon::reloadSettings()
{
    this->settingsModifiedAt = modificationTime(this->settingsPath);
    auto parsed = EntrySettings::readFile(this->settingsPath);
    if (!parsed) {
        this->log.important("reload_failed", Common::errorFields(parsed.error()));
        return;
    }
    const bool changed = !(*parsed == this->settings);
    // Changed limits take effect immediately; changed addresses require a restart.
    this->settings.retries = parsed->retries;
    this->settings.cold = parsed->cold;
    this->settings.shutdownGrace = parsed->shutdownGrace;
    this->settings.lookupTtlMax = parsed->lookupTtlMax;
    this->settings.serverDrainTime = parsed->serverDrainTime;
    this->steering.notices().setDrainTime(parsed->serverDrainTime);
    this->log.important("reload", { { "changed", changed } });
}

void EntryDaemon::beginShutdown()
{
    if (this->leaving) {
        return;
    }
    this->leaving = true;
    this->leavingSince = Common::monotonicNow();
    this->callerListener->disableKeepAlive();
    this->steering.setProcessEnd(this->leavingSince + this->settings.shutdownGrace
                                 - responseMarginBeforeKill);
    this->storeSync->stop();
    this->log.important("shutdown",
                        { { "in_progress", this->callerListener->requestsInProgress() } });
}

void EntryDaemon::advanceShutdown(Common::Instant now)
{
    if (!this->leaving || this->stopped) {
        return;
    }
    const absl::Duration grace = this->settings.shutdownGrace;
    const absl::Duration elapsed = now - this->leavingSince;
    if (elapsed >= grace * refuseNewAfterFraction) {
        this->refusingNew = true;
        this->callerListener->rejectNewRequests();
    }
    if (elapsed >= grace - responseMarginBeforeKill) {
        this->steering.endRequests();
    }
    const bool idle = elapsed >= grace * minShutdownFraction
                      && this->steering.requestsInProgress() == 0
                      && this->callerListener->requestsInProgress() == 0;
    if (idle || elapsed >= grace - exitMarginBeforeKill) {
        this->cluster->stop();
        this->stopEventLoop();
    }
}

void EntryDaemon::stopEventLoop()
{
    this->stopped = true;
    this->callerListener->close();
    this->context.stop();
}

void EntryDaemon::registerVm(Common::Instant now)
{
    if (this->leaving) {
        return;
    }
    RegisteredVm own;
    own.vm.vm = this->settings.vm;
    own.vm.zone = this->settings.zone;
    own.vm.region = this->settings.region;
    own.vm.address = this->settings.address;
    own.vm.portBase = this->cluster->portBase();
    own.processorShare = this->settings.processorShare;
    const Steering::TableReplica &vms = this->storeSync->replica(vmTable);
    const Steering::RowChange *row = vms.listedRow(own.vm.vm.value());
    const bool listed = row != nullptr && row->value == writeVmRow(own);
    if (!this->registration.due(now, listed, vms.confirmedAt(), vms.rows().size())) {
        return;
    }
    const auto done = [this](StoreResult result) {
        boost::asio::post(this->context, [this, result = std::move(result)] {
            this->registration.finished(Common::monotonicNow(), result.has_value());
            if (!result) {
                this->log.important("register_failed", Common::errorFields(result.error()));
            }
        });
    };
    if (this->storeWriter->submit(WriteRow { vmTable, own.vm.vm.value(), writeVmRow(own) }, done)) {
        this->registration.started();
    }
}

double EntryDaemon::processorShareOf(const Common::VmName &vm) const
{
    const auto found = this->processorShares.find(vm);
    return found == this->processorShares.end() ? this->settings.processorShare : found->second;
}

bool EntryDaemon::ready() const
{
    return !this->leaving && this->steering.configuration() != nullptr
           && this->storeSync->replica(Adapter::serverTable).loaded();
}

std::vector<Steering::EntryVm> EntryDaemon::servingVms() const
{
    const std::string port = ":" + std::to_string(this->settings.callers.port);
    std::vector<Steering::EntryVm> vms;
    for (const auto &member : this->cluster->members().members()) {
        const bool own = member->vm == this->settings.vm;
        const bool isLeaving = own ? this->leaving : member->state == MemberState::Leaving;
        const bool serves
                = own ? this->ready() || (isLeaving && !this->refusingNew)
                      : member->revision > 0 && (isLeaving || member->state == MemberState::Live);
        if (serves) {
            vms.push_back({ member->vm, member->zone, member->region, member->address + port,
                            this->processorShareOf(member->vm), isLeaving });
        }
    }
    return vms;
}

bool EntryDaemon::isRegionLost(const Common::RegionName &region, Common::Instant now) const
{
    // Before, the VMs of the region may not have been heard yet.
    if (now - this->clusterStartedAt < regionLossTime) {
        return false;
    }
    const auto &members = this->cluster->members().members();
    return std::none_of(members.begin(), members.end(), [&](const auto &member) {
        return member->region == region && now - member->lastHeard < regionLossTime;
    });
}

void EntryDaemon::recordLookup(const Steering::Lookup &lookup, std::size_t knownVms,
                               const Steering::LookupResult &result)
{
    this->metrics.addToCounter("currantfall_lookups_total",
                               { { "scope", Steering::toString(result.scope) } });
    const bool usual = result.scope == Steering::LookupScope::Zone
                       || result.scope == Steering::LookupScope::Region;
    if (usual || !this->log.admits()) {
        return;
    }
    auto named = nlohmann::ordered_json::array();
    for (const Steering::EntryVm &vm : result.vms) {
        named.push_back(vm.vm.value());
    }
    this->log.write("lookup_outside_region", { { "zone", lookup.zone.value() },
                                               { "region", lookup.region.value() },
                                               { "scope", Steering::toString(result.scope) },
                                               { "known_vms", knownVms },
                                               { "named_vms", std::move(named) } });
}

EndpointAnswer EntryDaemon::answerDirectory(const std::string &target)
{
    const auto query = Adapter::readDirectoryQuestion(target);
    if (!query) {
        return { 404, "text/plain", "" };
    }
    const auto &configuration = this->steering.configuration();
    if (configuration == nullptr) {
        // The homes of the caller's routes are unknown.
        this->metrics.addToCounter("currantfall_lookups_total",
                                   { { "scope", "no-configuration" } });
        return { 503, "text/plain", "" };
    }
    const Steering::Lookup lookup { query->zone, query->region, configuration->homesOf(query->host),
                                    this->isRegionLost(query->region, Common::monotonicNow()) };
    const std::vector<Steering::EntryVm> vms = this->servingVms();
    const auto result = Steering::entriesFor(lookup, vms, maxLookupEntries);
    this->recordLookup(lookup, vms.size(), result);
    if (result.vms.empty()) {
        return { 503, "text/plain", "" };
    }
    std::vector<std::string> addresses;
    addresses.reserve(result.vms.size());
    for (const Steering::EntryVm &vm : result.vms) {
        addresses.push_back(vm.address);
    }
    return { 200, "application/json",
             Adapter::directoryAnswer(addresses,
                                      std::min(lookupTtl, this->settings.lookupTtlMax)) };
}

std::string EntryDaemon::renderMetrics()
{
    const Common::Instant now = Common::monotonicNow();
    for (const StoreSync::Table &table : storeTables()) {
        this->metrics.setGauge(
                "currantfall_store_age_seconds",
                absl::ToDoubleSeconds(now - this->storeSync->replica(table.name).confirmedAt()),
                { { "table", table.name } });
        this->metrics.setGauge(
                "currantfall_store_retained_rows",
                static_cast<double>(this->storeSync->replica(table.name).retainedRows().size()),
                { { "table", table.name } });
    }
    this->metrics.setGauge("currantfall_requests_in_progress",
                           static_cast<double>(this->steering.requestsInProgress()));
    for (const auto &[kind, sent] : this->cluster->sentTraffic()) {
        const Telemetry::Labels labels { { "type", Peering::Wire::EnumNameBody(kind.first) },
                                         { "distance", toString(kind.second) } };
        this->metrics.setGauge("currantfall_peer_messages_sent", static_cast<double>(sent.messages),
                               labels);
        this->metrics.setGauge("currantfall_peer_bytes_sent", static_cast<double>(sent.bytes),
                               labels);
    }
    this->metrics.setGauge("currantfall_quota_share", this->steering.quotas().keeper().share());
    const Steering::NoticeSummary notices = this->steering.notices().summary(now);
    this->metrics.setGauge("currantfall_servers_leaving", static_cast<double>(notices.leaving));
    this->metrics.setGauge("currantfall_servers_pausing", static_cast<double>(notices.pausing));
    this->metrics.setGauge("currantfall_longest_server_pause_seconds",
                           absl::ToDoubleSeconds(notices.longestPause));
    this->metrics.setGauge("currantfall_log_lines_dropped",
                           static_cast<double>(this->log.droppedLines()));
    return this->metrics.toPrometheus();
}

} // namespace Currantfall::Entry
