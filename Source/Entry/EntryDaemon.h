#pragma once

#include <filesystem>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Common/TimerService.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "Asio.h"
#include "CallerListener.h"
#include "Cluster.h"
#include "EntrySettings.h"
#include "HttpEndpoint.h"
#include "ObjectMoveSync.h"
#include "OutcomeSync.h"
#include "RequestSteering.h"
#include "StoreSync.h"

namespace Currantfall::Entry {

/// An entry VM that takes its configuration and backend servers from the platform's store: connects
/// the parts on one thread, the entry thread, and drives their timers.
class EntryDaemon
{
public:
    /// `settingsPath` is read again on SIGHUP.
    static Common::Result<std::unique_ptr<EntryDaemon>> create(const std::string &settingsPath);
    ~EntryDaemon();

    /// Serves until SIGTERM or SIGINT; returns when all requests have ended or the time to shut
    /// down is over.
    void run();

private:
    EntryDaemon(std::string settingsPath, EntrySettings settings);

    Common::Result<void> start();
    /// Joins the other VMs as a run that is numbered `fewest` or higher.
    Common::Result<void> startCluster(Common::Incarnation fewest);
    /// Joins again as a later run than the one that peers know: the clock was set back.
    void restartCluster(Common::Incarnation known);
    /// What entry VMs tell each other beside the store's rows.
    void startExchanges();
    void sendReturnedZones(const Common::VmName &peer);
    void onReturnedZones(const Peering::Wire::ReturnedZonesT &message, Common::Instant now);
    void startStore();
    Common::Result<void> startEndpoints();
    void subscribeTimers();
    Task driveTimers();
    Task awaitSignals();

    void reloadSettings();
    /// Reloads settings that changed without a signal.
    void checkSettingsFile();
    void beginShutdown();
    void advanceShutdown(Common::Instant now);
    /// Makes run() return.
    void end();

    std::vector<Steering::RowChange> onRows(const std::string &table,
                                            const std::vector<Steering::RowChange> &changes);
    std::vector<Steering::RowChange> onServerRows(const std::vector<Steering::RowChange> &changes);
    void onOperatorRows(const std::vector<Steering::RowChange> &changes);
    void onVmRows();
    void onMembers();
    void adopt(const Steering::RowChange &row);
    void registerVm();
    double processorShareOf(const Common::VmName &vm) const;

    bool ready() const;
    EndpointAnswer answerDirectory(const std::string &target) const;
    std::string renderMetrics();

    std::string settingsPath;
    EntrySettings settings;
    Common::EventLog log;
    Telemetry::MetricsRegistry metrics;
    boost::asio::io_context context { 1 };
    Common::TimerService timers;
    boost::asio::signal_set signals;
    RequestSteering steering;
    std::unique_ptr<Cluster> cluster;
    std::unique_ptr<ObjectMoveSync> moves;
    std::unique_ptr<OutcomeSync> outcomes;
    std::unique_ptr<StoreSync> store;
    std::unique_ptr<StoreWorker> writer;
    /// As registered, by VM.
    std::map<Common::VmName, double> processorShares;
    bool registered = false;
    bool registering = false;
    std::unique_ptr<CallerListener> callers;
    std::unique_ptr<HttpEndpoint> readiness;
    std::unique_ptr<HttpEndpoint> directory;
    std::unique_ptr<HttpEndpoint> metricsEndpoint;
    bool leaving = false;
    bool stopped = false;
    Common::Instant leavingSince;
    /// Modification time of the settings file at the last reading.
    std::filesystem::file_time_type settingsWritten;
};

} // namespace Currantfall::Entry
