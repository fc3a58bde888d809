#pragma once

#include <map>
#include <optional>
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

    /// Applies changed rows in their order; returns those that peers need to know. A key may occur
    /// several times: the store lists each change of a row since the last read.
    std::vector<Steering::RowChange> apply(const std::vector<Steering::RowChange> &changes);

private:
    /// An entry that is not in the table of servers yet.
    struct NewEntry
    {
        Steering::BackendServer server;
        Common::Instant readAt;
    };
    using NewEntries = std::map<Common::BackendServerName, NewEntry>;
    struct KnownEntry
    {
        Steering::BackendServer server;
        Common::Instant coldUntil;
    };

    /// The latest entry of a server, which may be among `newEntries`, or nothing.
    std::optional<KnownEntry> knownEntry(const Common::BackendServerName &name,
                                         const NewEntries &newEntries) const;
    /// Removes the server of a row that was deleted or names no server to use.
    void removeServer(const Steering::RowChange &row, const Common::Error &reason,
                      NewEntries &newEntries);
    /// Counts a row that names no server, and logs it if the row before it did not.
    void noteIgnoredRow(const Steering::RowChange &row, const Common::Error &reason);

    RequestSteering &steering;
    Common::EventLog &log;
    Telemetry::MetricsRegistry &metrics;
    /// Keys of the rows that were logged as ignored and have not changed to usable ones since.
    std::set<std::string> ignoredKeys;
};

} // namespace Currantfall::Entry
