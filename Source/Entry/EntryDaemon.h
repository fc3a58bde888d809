#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Common/TimerService.h"
#include "currantfall/Steering/EntryDirectory.h"
#include "currantfall/Steering/RowWriteSchedule.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "Asio.h"
#include "CallerListener.h"
#include "Cluster.h"
#include "EntrySettings.h"
#include "HttpEndpoint.h"
#include "ObjectMoveSync.h"
#include "OutcomeSync.h"
#include "QuotaSync.h"
#include "RequestSteering.h"
#include "ServerRows.h"
#include "StoreSync.h"
#include "VmRow.h"

namespace Currantfall::Entry {

/// Daemon of an entry VM that takes its configuration and backend servers from the platform's
/// store. Runs its components on one thread, the entry thread, and drives their timers.
class EntryDaemon
{
public:
    /// The settings file is read again on SIGHUP and when it has been modified.
    static Common::Result<std::unique_ptr<EntryDaemon>> create(const std::string &settingsPath);
    ~EntryDaemon();

    /// Serves until SIGTERM or SIGINT, then returns when all requests have ended or shortly before
    /// the shutdown grace period is over.
    void run();

private:
    EntryDaemon(std::string settingsPath, EntrySettings settings);

    Common::Result<void> start();
    /// Joins the cluster with an incarnation of at least `minIncarnation`.
    Common::Result<void> startCluster(Common::Incarnation minIncarnation);
    /// Joins the cluster again with an incarnation later than `known`. Peers know a later
    /// incarnation of this VM if its clock was set back between two starts.
    void restartCluster(Common::Incarnation known);
    /// Starts sharing object moves and request outcomes with the other entry VMs.
    void startPeerSync();
    void sendReturnedZones(const Common::VmName &peer);
    void onReturnedZones(const Peering::Wire::ReturnedZonesT &message, Common::Instant now);
    void startStore();
    Common::Result<void> startEndpoints();
    void subscribeTimers();
    Task driveTimers();
    Task awaitSignals();

    void reloadSettings();
    /// Reloads the settings if their file was modified.
    void checkSettingsFile();
    void beginShutdown();
    void advanceShutdown(Common::Instant now);
    /// Closes the caller listener and makes run() return.
    void stopEventLoop();

    /// Applies changed rows of a table; returns those that peers need to know.
    std::vector<Steering::RowChange>
    onTableChanges(const std::string &table, const std::vector<Steering::RowChange> &changes);
    void onOperatorRows(const std::vector<Steering::RowChange> &changes);
    void onVmRows();
    /// Counts and logs a version of a row that names no VM.
    void noteIgnoredVmRow(const Common::Error &reason);
    /// Counts and logs an unexpected error.
    void noteError(const std::exception &error);
    void onMembersChanged();
    /// Tells the keeper of the tenants' limits which VMs it can ask, and links to those it needs.
    void updateQuotaPeers();
    /// Sets on which VMs the limits of tenants accrue.
    void updateQuotaPlan();
    PeerChannel peerChannel();
    /// Applies the configuration in the row if it is valid and newer than the current one.
    void applyConfiguration(const Steering::RowChange &row);
    /// Writes the row of this VM if the store does not have it.
    void registerVm(Common::Instant now);
    double processorShareOf(const Common::VmName &vm) const;

    bool ready() const;
    /// VMs that accept requests of callers, as far as this VM knows.
    std::vector<Steering::EntryVm> servingVms() const;
    /// Whether no VM of the region has been heard for longer than a restart takes.
    bool isRegionLost(const Common::RegionName &region, Common::Instant now) const;
    void recordLookup(const Steering::Lookup &lookup, std::size_t knownVms,
                      const Steering::LookupResult &result);
    EndpointAnswer answerDirectory(const std::string &target);
    std::string renderMetrics();

    std::string settingsPath;
    EntrySettings settings;
    Common::EventLog log;
    Telemetry::MetricsRegistry metrics;
    boost::asio::io_context context { 1 };
    Common::TimerService timers;
    boost::asio::signal_set signals;
    RequestSteering steering;
    ServerRows serverRows;
    std::unique_ptr<Cluster> cluster;
    std::unique_ptr<ObjectMoveSync> objectMoveSync;
    std::unique_ptr<OutcomeSync> outcomeSync;
    std::unique_ptr<QuotaSync> quotaSync;
    std::unique_ptr<StoreSync> storeSync;
    std::unique_ptr<StoreWorker> storeWriter;
    /// Registered processor share of each VM.
    std::map<Common::VmName, double> processorShares;
    struct ParsedVmRow
    {
        Steering::StorePosition position;
        Common::Result<RegisteredVm> vm;
    };
    /// Rows of VMs as they were read last, because few of them change at once.
    std::map<std::string, ParsedVmRow> parsedVmRows;
    /// Whether this VM was registered before it started; unset until the table has been read.
    std::optional<bool> registeredBefore;
    /// States that the members had when they last changed.
    std::map<Common::VmName, Membership::MemberState> memberStates;
    Steering::RowWriteSchedule registration;
    std::unique_ptr<CallerListener> callerListener;
    std::unique_ptr<HttpEndpoint> readinessEndpoint;
    std::unique_ptr<HttpEndpoint> directoryEndpoint;
    std::unique_ptr<HttpEndpoint> metricsEndpoint;
    /// When the members of the cluster were last unknown.
    Common::Instant clusterStartedAt;
    bool leaving = false;
    /// Requests of callers are refused; peers are told that no configuration is in force.
    bool refusingNew = false;
    bool stopped = false;
    Common::Instant leavingSince;
    /// Modification time of the settings file when it was last read.
    std::filesystem::file_time_type settingsModifiedAt;
};

} // namespace Currantfall::Entry
