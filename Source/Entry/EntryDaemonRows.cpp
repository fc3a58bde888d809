#include <utility>

#include "EntryDaemon.h"
#include "VmRow.h"
#include "platform/OperatorRows.h"
#include "platform/ServerRows.h"

// Applies changed rows of the platform's store to the state of the daemon.

namespace Currantfall::Entry {

std::vector<Steering::RowChange>
EntryDaemon::onTableChanges(const std::string &table,
                            const std::vector<Steering::RowChange> &changes)
{
    if (table == Adapter::serverTable) {
        return this->serverRows.apply(changes);
    }
    if (table == Adapter::operatorTable) {
        this->onOperatorRows(changes);
    } else if (!changes.empty()) {
        this->onVmRows();
    }
    return changes;
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
                                                { "era", row.position.era() },
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
              { "bytes", row.value.size() },
              { "age_ms", absl::ToInt64Milliseconds(Common::monotonicNow() - row.readAt) } });
    this->metrics.setGauge("currantfall_configuration_version",
                           static_cast<double>(parsed->version()));
    this->steering.setConfiguration(
            std::make_shared<const Steering::RoutingConfiguration>(std::move(*parsed)));
}

void EntryDaemon::onVmRows()
{
    const auto &rows = this->storeSync->replica(vmTable).rows();
    std::erase_if(this->parsedVmRows,
                  [&rows](const auto &parsed) { return !rows.contains(parsed.first); });
    std::vector<Membership::ListedVm> vms;
    for (const auto &[name, row] : rows) {
        auto parsed = this->parsedVmRows.find(name);
        if (parsed == this->parsedVmRows.end() || parsed->second.position != row.position) {
            parsed = this->parsedVmRows
                             .insert_or_assign(
                                     name, ParsedVmRow { row.position, readVmRow(name, row.value) })
                             .first;
            if (!parsed->second.vm) {
                this->noteIgnoredVmRow(parsed->second.vm.error());
            }
        }
        if (const auto &vm = parsed->second.vm) {
            this->processorShares[vm->vm.vm] = vm->processorShare;
            vms.push_back(vm->vm);
        }
    }
    this->cluster->setListedVms(std::move(vms), Common::monotonicNow());
    this->updateQuotaPlan();
}

void EntryDaemon::updateQuotaPlan()
{
    std::vector<Quotas::QuotaVm> registered;
    for (const auto &[name, row] : this->parsedVmRows) {
        if (row.vm) {
            registered.push_back({ row.vm->vm.vm, row.vm->vm.zone, row.vm->processorShare });
        }
    }
    Quotas::QuotaPlan plan(registered);
    if (!this->registeredBefore) {
        this->registeredBefore = !this->settings.firstStart && plan.isRegistered(this->settings.vm);
    }
    this->steering.quotas().keeper().setPlan(std::move(plan), *this->registeredBefore,
                                             Common::monotonicNow());
    this->updateQuotaPeers();
}

void EntryDaemon::noteIgnoredVmRow(const Common::Error &reason)
{
    this->metrics.addToCounter("currantfall_store_rows_ignored_total", { { "table", vmTable } });
    if (this->log.admits()) {
        this->log.write("vm_row_ignored", Common::errorFields(reason));
    }
}

} // namespace Currantfall::Entry
