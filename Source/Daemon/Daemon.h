#pragma once

#include <memory>
#include <vector>

#include "currantfall/Common/Error.h"
#include "currantfall/Peering/PeerTransport.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "AdminService.h"
#include "CallerServer.h"
#include "EntryGate.h"
#include "LookupService.h"
#include "PlatformReader.h"
#include "Settings.h"
#include "Steering.h"

namespace Currantfall::Daemon {

/// One entry VM's daemon: connects the steering thread with the threads around it.
class Daemon
{
public:
    static Common::Result<std::unique_ptr<Daemon>> start(const Settings &settings);
    ~Daemon();

    /// Graceful shutdown: leaves the lookups, hands over slots and keys, finishes all requests.
    void stop();

private:
    Daemon(const Settings &settings, Common::Incarnation incarnation);

    Common::Result<void> startSteering();
    Common::Result<void> startPeering();
    Common::Result<void> startPlatform();
    Common::Result<void> startListeners();

    Settings settings;
    Common::Incarnation incarnation;
    Common::Log log;
    Telemetry::MetricsRegistry metrics;
    EntryGate gate;
    std::unique_ptr<Steering> steering;
    std::unique_ptr<Peering::PeerTransport> transport;
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<DocumentLoader> loader;
    std::vector<std::unique_ptr<CallerServer>> callers;
    std::unique_ptr<LookupService> lookups;
    std::unique_ptr<AdminService> admin;
};

} // namespace Currantfall::Daemon
