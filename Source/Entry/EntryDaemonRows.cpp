#include <utility>

#include "EntryDaemon.h"
#include "VmRow.h"
#include "platform/OperatorRows.h"
#include "platform/ServerRows.h"

// Applies changed rows of the platform's store to the state of the daemon.

namespace Currantfall::Entry {

namespace {

// A row in which only the cold time changed, by no more than this, is neither applied nor relayed
// to peers.
constexpr absl::Duration coldTimeTolerance = absl::Milliseconds(500);

} // namespace

std::vector<Steering::RowChange>
EntryDaemon::onTableChanges(const std::string &table,
                            const std::vector<Steering::RowChange> &changes)
{
    if (table == Adapter::serverTable) {
        return this->onServerRows(changes);
    }
    if (table == Adapter::operatorTable) {
        this->onOperatorRows(changes);
    } else if (!changes.empty()) {
        this->onVmRows();
    }
    return changes;
}

std::vector<Steering::RowChange>
EntryDaemon::onServerRows(const std::vector<Steering::RowChange> &changes)
{
    std::vector<Steering::RowChange> changesForPeers;
    Steering::ServerTable &servers = this->steering.servers();
    for (const Steering::RowChange &row : changes) {
        const Common::BackendServerName name(row.key);
        auto server = row.deleted ? tl::unexpected(
                              Common::Error(make_error_code(Common::ErrorCode::NotFound),
                                            "read backend server", row.key, "deleted"))
                                  : Adapter::readServer(row.key, row.value);
        Steering::ServerRecord *known = servers.find(name);
        if (!server) {
            if (known != nullptr) {
                servers.remove(name);
                this->steering.pool().closeIdle(name);
                this->steering.outcomes().forget(name);
                this->log.important("server_removed", Common::errorFields(server.error()));
                changesForPeers.push_back(row);
            } else if (!row.deleted && this->log.admits()) {
                this->log.write("server_ignored", Common::errorFields(server.error()));
            }
            continue;
        }
        if (known != nullptr) {
            Steering::BackendServer before = known->server();
            before.coldFor = server->coldFor;
            const absl::Duration coldChange = row.readAt + server->coldFor - known->coldUntil();
            const bool coldChanged = server->coldFor > absl::ZeroDuration()
                                     && absl::AbsDuration(coldChange) > coldTimeTolerance;
            if (before == *server && !coldChanged) {
                continue;
            }
            if (before.startTime != server->startTime) {
                this->steering.outcomes().forget(name);
            }
        }
        servers.put(*server, row.readAt);
        changesForPeers.push_back(row);
        this->log.important("server", { { "server", row.key },
                                        { "service", server->service.value() },
                                        { "zone", server->zone.value() },
                                        { "draining", server->draining },
                                        { "cold_ms", absl::ToInt64Milliseconds(server->coldFor) },
                                        { "version", row.position.version() } });
    }
    return changesForPeers;
}

void EntryDaemon::onOperatorRows(const std::vector<Steering::RowChange> &changes)
{
    for (const Steering::RowChange &row : changes) {
        if (row.key == Adapter::configurationKey && !row.deleted) {
            this->applyConfiguration(row);
        }
    }
    std::set<Common::ZoneName> evacuated;
    for (const auto &[key, row] : this->storeSync->replica(Adapter::operatorTable).rows()) {
        if (const auto zone = Adapter::evacuatedZone(key)) {
            evacuated.insert(*zone);
        }
    }
    for (const Steering::RowChange &row : changes) {
        if (const auto zone = Adapter::evacuatedZone(row.key)) {
            this->log.important("evacuation", { { "zone", zone->value() },
                                                { "in_force", !row.deleted },
                                                { "version", row.position.version() } });
        }
    }
    this->steering.selector().setEvacuatedZones(std::move(evacuated), Common::monotonicNow());
}

void EntryDaemon::applyConfiguration(const Steering::RowChange &row)
{
    auto parsed = Adapter::readConfiguration(row.value);
    if (!parsed) {
        this->log.important("configuration_refused", Common::errorFields(parsed.error()));
        return;
    }
    const auto &current = this->steering.configuration();
    if (current != nullptr && parsed->version() <= current->version()) {
        return;
    }
    this->log.important(
            "configuration",
            { { "version", parsed->version() },
              { "routes", parsed->routeCount() },
              { "age_ms", absl::ToInt64Milliseconds(Common::monotonicNow() - row.readAt) } });
    this->steering.setConfiguration(
            std::make_shared<const Steering::RoutingConfiguration>(std::move(*parsed)));
}

void EntryDaemon::onVmRows()
{
    std::vector<Membership::ListedVm> vms;
    for (const auto &[name, row] : this->storeSync->replica(vmTable).rows()) {
        auto vm = readVmRow(name, row.value);
        if (vm) {
            this->processorShares[vm->vm.vm] = vm->processorShare;
            vms.push_back(std::move(vm->vm));
        } else {
            this->log.important("vm_row_ignored", Common::errorFields(vm.error()));
        }
    }
    this->cluster->setListedVms(std::move(vms), Common::monotonicNow());
}

} // namespace Currantfall::Entry
