#include "ServerRows.h"

#include <utility>

#include "platform/ServerRows.h"

namespace Currantfall::Entry {

namespace {

// A row in which only the cold time changed, by no more than this, is neither applied nor relayed
// to peers.
constexpr absl::Duration coldTimeTolerance = absl::Milliseconds(500);
// Ignored rows beyond this number are counted but not logged. Their writer may use a new key for
// each of them.
constexpr std::size_t maxIgnoredKeys = 256;

Common::Result<Steering::BackendServer> readRow(const Steering::RowChange &row)
{
    if (row.deleted) {
        return Common::failure(Common::ErrorCode::NotFound, "read backend server", row.key,
                               "deleted");
    }
    return Adapter::readServer(row.key, row.value);
}

} // namespace

ServerRows::ServerRows(RequestSteering &steering, Common::EventLog &log,
                       Telemetry::MetricsRegistry &metrics)
    : steering(steering), log(log), metrics(metrics)
{ }

std::vector<Steering::RowChange> ServerRows::apply(const std::vector<Steering::RowChange> &changes)
{
    std::vector<Steering::RowChange> changesForPeers;
    // Added to the table at the end, because what depends on all servers of a service is determined
    // again at the first access after a change.
    NewEntries newEntries;
    for (const Steering::RowChange &row : changes) {
        const Common::BackendServerName name(row.key);
        const auto server = readRow(row);
        if (!server) {
            this->removeServer(row, server.error(), newEntries);
            // Also if the server was not known here: a peer may have read a row in between that
            // named one. The value is left out, because it may be large and names no server.
            changesForPeers.push_back(row);
            changesForPeers.back().value.clear();
            continue;
        }
        this->ignoredKeys.erase(row.key);
        if (const auto known = this->knownEntry(name, newEntries)) {
            Steering::BackendServer before = known->server;
            before.coldFor = server->coldFor;
            const absl::Duration coldChange = row.readAt + server->coldFor - known->coldUntil;
            const bool coldChanged = server->coldFor > absl::ZeroDuration()
                                     && absl::AbsDuration(coldChange) > coldTimeTolerance;
            if (before == *server && !coldChanged) {
                continue;
            }
            if (before.startTime != server->startTime) {
                this->steering.outcomes().forget(name);
            }
        }
        newEntries.insert_or_assign(name, NewEntry { *server, row.readAt });
        changesForPeers.push_back(row);
        this->log.important("server", { { "server", row.key },
                                        { "service", server->service.value() },
                                        { "zone", server->zone.value() },
                                        { "draining", server->draining },
                                        { "cold_ms", absl::ToInt64Milliseconds(server->coldFor) },
                                        { "era", row.position.era() },
                                        { "version", row.position.version() } });
    }
    for (const auto &[name, entry] : newEntries) {
        this->steering.servers().put(entry.server, entry.readAt);
    }
    return changesForPeers;
}

std::optional<ServerRows::KnownEntry> ServerRows::knownEntry(const Common::BackendServerName &name,
                                                             const NewEntries &newEntries) const
{
    if (const auto changed = newEntries.find(name); changed != newEntries.end()) {
        const NewEntry &entry = changed->second;
        return KnownEntry { entry.server, entry.readAt + entry.server.coldFor };
    }
    const Steering::ServerRecord *record = this->steering.servers().find(name);
    return record == nullptr ? std::nullopt
                             : std::optional(KnownEntry { record->server(), record->coldUntil() });
}

void ServerRows::removeServer(const Steering::RowChange &row, const Common::Error &reason,
                              NewEntries &newEntries)
{
    const Common::BackendServerName name(row.key);
    const bool changed = newEntries.erase(name) > 0;
    if (changed || this->steering.servers().find(name) != nullptr) {
        this->steering.servers().remove(name);
        this->steering.pool().closeIdle(name);
        this->steering.outcomes().forget(name);
        this->log.important("server_removed", Common::errorFields(reason));
    }
    if (row.deleted) {
        this->ignoredKeys.erase(row.key);
    } else {
        this->noteIgnoredRow(row, reason);
    }
}

void ServerRows::noteIgnoredRow(const Steering::RowChange &row, const Common::Error &reason)
{
    this->metrics.addToCounter("currantfall_store_rows_ignored_total",
                               { { "table", Adapter::serverTable } });
    if (this->ignoredKeys.contains(row.key) || this->ignoredKeys.size() >= maxIgnoredKeys) {
        return;
    }
    this->ignoredKeys.insert(row.key);
    if (this->log.admits()) {
        this->log.write("server_ignored", Common::errorFields(reason));
    }
}

} // namespace Currantfall::Entry
