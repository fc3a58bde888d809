#include "currantfall/Steering/TableReplica.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Currantfall::Steering {

namespace {

// Deletions that can be passed on one by one; more than servers leave within the time that a VM can
// be out of touch and still have a use for them.
constexpr std::size_t rememberedDeletions = 256;

} // namespace

TableReplica::Outcome TableReplica::apply(const TableUpdate &update)
{
    Outcome outcome;
    if (this->isLoaded && update.to < this->currentVersion) {
        return outcome;
    }
    if (!update.complete && (!this->isLoaded || update.from > this->currentVersion)) {
        outcome.verdict = Verdict::Gap;
        return outcome;
    }
    outcome.verdict = Verdict::Applied;
    this->confirmed = std::max(this->confirmed, update.confirmedAt,
                               [](auto left, auto right) { return left < right; });
    if (this->isLoaded && update.to == this->currentVersion) {
        // Nothing new; rows that are passed on at one version would travel in circles.
        return outcome;
    }
    std::set<std::string> named;
    for (const RowChange &row : update.rows) {
        named.insert(row.key);
        const auto found = this->current.find(row.key);
        if (row.deleted) {
            if (found != this->current.end() && found->second.version < row.version) {
                outcome.changes.push_back(row);
                this->current.erase(found);
                this->remember(row);
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
            if (named.contains(row->first)) {
                ++row;
                continue;
            }
            RowChange removed = row->second;
            removed.deleted = true;
            removed.version = update.to;
            outcome.changes.push_back(removed);
            this->remember(removed);
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

void TableReplica::remember(const RowChange &deletion)
{
    this->deletions.push_back(deletion);
    if (this->deletions.size() > rememberedDeletions) {
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
