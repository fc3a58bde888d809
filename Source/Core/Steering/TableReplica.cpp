#include "currantfall/Steering/TableReplica.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Currantfall::Steering {

namespace {

// Number of deletions kept for incremental updates. Exceeds the number of servers that are removed
// while a VM is disconnected for a time after which incremental updates are still useful to it.
constexpr std::size_t maxRecordedDeletions = 256;

} // namespace

TableReplica::Outcome TableReplica::apply(const TableUpdate &update)
{
    Outcome outcome;
    if (this->isLoaded && update.to < this->currentVersion) {
        return outcome;
    }
    if (!update.complete && (!this->isLoaded || update.from > this->currentVersion)) {
        outcome.status = Status::Gap;
        return outcome;
    }
    outcome.status = Status::Applied;
    this->confirmed = std::max(this->confirmed, update.confirmedAt,
                               [](auto left, auto right) { return left < right; });
    if (this->isLoaded && update.to == this->currentVersion) {
        // The version is already applied. Forwarding rows at the same version again would make VMs
        // send them to each other endlessly.
        return outcome;
    }
    std::set<std::string> keysInUpdate;
    for (const RowChange &row : update.rows) {
        keysInUpdate.insert(row.key);
        const auto found = this->current.find(row.key);
        if (row.deleted) {
            // Also if the row is not known here: another replica may have seen it in between.
            if (found == this->current.end() ? !this->deletedSince(row)
                                             : found->second.version < row.version) {
                outcome.changes.push_back(row);
                this->current.erase(row.key);
                this->recordDeletion(row);
            }
            continue;
        }
        if (found == this->current.end()) {
            if (this->deletedSince(row)) {
                continue;
            }
            this->current.emplace(row.key, row);
            outcome.changes.push_back(row);
        } else if (found->second.version < row.version) {
            found->second = row;
            outcome.changes.push_back(row);
        }
    }
    if (update.complete) {
        for (auto row = this->current.begin(); row != this->current.end();) {
            if (keysInUpdate.contains(row->first)) {
                ++row;
                continue;
            }
            RowChange removed = row->second;
            removed.deleted = true;
            removed.version = update.to;
            outcome.changes.push_back(removed);
            this->recordDeletion(removed);
            row = this->current.erase(row);
        }
    }
    if (!this->isLoaded) {
        this->deletionsSince = update.to;
    }
    this->isLoaded = true;
    this->currentVersion = update.to;
    return outcome;
}

bool TableReplica::deletedSince(const RowChange &row) const
{
    return std::any_of(this->deletions.begin(), this->deletions.end(),
                       [&row](const RowChange &deletion) {
                           return deletion.key == row.key && deletion.version >= row.version;
                       });
}

void TableReplica::recordDeletion(const RowChange &deletion)
{
    this->deletions.push_back(deletion);
    if (this->deletions.size() > maxRecordedDeletions) {
        this->deletionsSince = this->deletions.front().version;
        this->deletions.pop_front();
    }
}

TableUpdate TableReplica::changesSince(StoreVersion version) const
{
    TableUpdate update;
    update.to = this->currentVersion;
    update.confirmedAt = this->confirmed;
    update.complete = version < this->deletionsSince;
    update.from = update.complete ? 0 : version;
    for (const auto &[key, row] : this->current) {
        if (update.complete || row.version > version) {
            update.rows.push_back(row);
        }
    }
    if (!update.complete) {
        std::copy_if(this->deletions.begin(), this->deletions.end(),
                     std::back_inserter(update.rows),
                     [version](const RowChange &row) { return row.version > version; });
    }
    return update;
}

} // namespace Currantfall::Steering
