#pragma once

#include <set>
#include <string>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Steering/TableReplica.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "RequestSteering.h"

namespace Currantfall::Entry {

/// Applies rows in which backend servers register themselves. Runs on the entry thread.
class ServerRows
{
public:
    ServerRows(RequestSteering &steering, Common::EventLog &log,
               Telemetry::MetricsRegistry &metrics);

    /// Applies changed rows; returns those that peers need to know.
    std::vector<Steering::RowChange> apply(const std::vector<Steering::RowChange> &changes);

private:
    /// Removes the server of a row that was deleted or names no server to use.
    void removeServer(const Steering::RowChange &row, const Common::Error &reason);
    /// Counts a row that names no server, and logs it if the row before it did not.
    void noteIgnoredRow(const Steering::RowChange &row, const Common::Error &reason);

    RequestSteering &steering;
    Common::EventLog &log;
    Telemetry::MetricsRegistry &metrics;
    /// Keys of the rows that were logged as ignored and have not changed to usable ones since.
    std::set<std::string> ignoredKeys;
};

} // namespace Currantfall::Entry
