#include "currantfall/Steering/TableReplica.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Currantfall::Steering {

namespace {

// Number of deletions kept for incremental updates and for a return of the store from a copy.
// Exceeds the number of servers that are removed while a VM is disconnected for a time after which
// incremental updates are still useful to it.
constexpr std::size_t maxRecordedDeletions = 256;

} // namespace

std::vector<RowChange> TableReplica::Outcome::withRowsToRelay(std::vector<RowChange> changes) const
{
    for (const RowChange &row : this->rowsToRelay) {
        // One update may contain several changes of a row; the last one must not be left out.
        const bool present = std::any_of(changes.begin(), changes.end(), [&row](const auto &other) {
            return other.key == row.key && other.position >= row.position;
        });
        if (!present) {
            changes.push_back(row);
        }
    }
    return changes;
}

TableReplica::Outcome TableReplica::apply(const TableUpdate &update)
{
    Outcome outcome;
    if (this->isLoaded && update.to < this->currentPosition) {
        if (update.to.era() == this->currentPosition.era()) {
            this->applyRetained(update, outcome.localChanges);
        }
        return outcome;
    }
    const StoreEra era = update.to.era();
    const bool follows = this->isLoaded && update.from <= this->currentPosition
                         && update.from.era() == era && this->currentPosition.era() == era;
    if (!update.complete && !follows) {
        outcome.status = Status::Gap;
        return outcome;
    }
    outcome.status = Status::Applied;
    this->confirmed = std::max(this->confirmed, update.confirmedAt,
                               [](auto left, auto right) { return left < right; });
    // If the version is already applied, its rows are not applied again. Forwarding them would make
    // VMs send them to each other endlessly.
    if (!this->isLoaded || update.to != this->currentPosition) {
        const bool newEra = !this->isLoaded || era != this->currentPosition.era();
        const StorePosition before = this->currentPosition;
        this->isLoaded = true;
        this->currentPosition = update.to;
        if (newEra) {
            this->startEra(update);
        } else if (update.complete) {
            const StorePosition lastRead = std::max(this->deletionsSince, this->unlistedUntil);
            // A full read of several pages is exact only once the changes since its first page have
            // been applied.
            this->deletionsSince = before == lastRead ? update.to : lastRead;
            this->unlistedSince = before;
            this->unlistedUntil = update.to;
        }
        for (const RowChange &row : update.rows) {
            if (this->isRetained(row, update)) {
                continue;
            }
            if (row.deleted) {
                this->remove(row, outcome.changes);
            } else {
                if (row.position > before && this->knows(row)) {
                    // A full read may contain rows that were written after its position. Peers
                    // learn of them when the position passes them.
                    outcome.rowsToRelay.push_back(row);
                }
                // The reader may tell of rows of the copy beside the changes since then.
                this->put(row, !update.complete && row.position > update.from, outcome);
            }
        }
        if (update.complete) {
            this->removeMissing(update, newEra, outcome.changes);
        }
    }
    this->applyRetained(update, outcome.localChanges);
    if (this->holding && this->confirmed >= this->holdUntil) {
        this->endHold(outcome.localChanges);
    }
    if (this->holdingDeletions && this->confirmed >= this->deletionHoldUntil) {
        this->endDeletionHold(outcome.localChanges);
    }
    this->useHeldRows(outcome.localChanges);
    return outcome;
}

void TableReplica::startEra(const TableUpdate &update)
{
    this->supersededRows.clear();
    this->deletionsSince = update.to;
    this->unlistedSince = update.to;
    this->unlistedUntil = update.to;
    this->holdUntil = update.confirmedAt + this->settings.holdTime;
    this->holding = true;
    this->deletionHoldUntil = update.confirmedAt + this->settings.deletionHoldTime;
    this->holdingDeletions = this->settings.deletionHoldTime > absl::ZeroDuration();
}

void TableReplica::put(const RowChange &row, bool written, Outcome &outcome)
{
    const auto found = this->current.find(row.key);
    if (found == this->current.end()) {
        const RowChange *deletion = this->findDeletion(row.key);
        if (deletion != nullptr && deletion->position >= row.position) {
            return;
        }
        if (deletion != nullptr && this->ofOlderEra(*deletion) && this->holdingDeletions
            && this->mustNotReplace(row, *deletion, written)) {
            this->supersededRows[row.key] = row;
            outcome.rowsToRelay.push_back(row);
            return;
        }
        if (deletion != nullptr && !this->ofOlderEra(*deletion)
            && this->isBelated(row, *deletion)) {
            this->supersede(row, outcome);
            return;
        }
        this->supersededRows.erase(row.key);
        this->current.emplace(row.key, row);
        outcome.changes.push_back(row);
        return;
    }
    RowChange &known = found->second;
    if (row.position <= known.position) {
        if (!this->ofOlderEra(known) && this->isBelated(known, row)) {
            this->replaceBelated(found, row, outcome.changes);
        }
        return;
    }
    if (!this->ofOlderEra(known)) {
        if (this->isBelated(row, known)) {
            this->supersede(row, outcome);
            return;
        }
        this->dropListed(row);
    } else {
        outcome.rowsToRelay.push_back(row);
        if (row.value == known.value) {
            known.position = row.position;
            this->supersededRows.erase(row.key);
            return;
        }
        if (this->mustNotReplace(row, known, written)) {
            this->supersededRows[row.key] = row;
            return;
        }
        this->supersededRows.erase(row.key);
    }
    known = row;
    outcome.changes.push_back(row);
}

void TableReplica::remove(const RowChange &deletion, Changes &changes)
{
    this->dropListed(deletion);
    const auto found = this->current.find(deletion.key);
    if (found == this->current.end()) {
        // Passed on although the row is not known here: another replica may have seen it in
        // between.
        const RowChange *known = this->findDeletion(deletion.key);
        if (known == nullptr || known->position < deletion.position) {
            RowChange recorded = deletion;
            // The order of the row must last until the store returns from a copy once more.
            recorded.value = known == nullptr ? deletion.value : known->value;
            this->recordDeletion(recorded);
            changes.push_back(deletion);
        }
        return;
    }
    if (found->second.position < deletion.position) {
        this->drop(found, deletion.position, changes);
    } else if (!this->ofOlderEra(found->second) && this->isBelated(found->second, deletion)) {
        this->replaceBelated(found, deletion, changes);
    }
}

void TableReplica::removeMissing(const TableUpdate &update, bool newEra, Changes &changes)
{
    std::set<std::string> keys;
    for (const RowChange &row : update.rows) {
        // Rows of an older era are not listed by the store.
        if (!this->ofOlderEra(row)) {
            keys.insert(row.key);
        }
    }
    for (auto row = this->current.begin(); row != this->current.end();) {
        // A row that the current era has never listed is kept until the hold time ends.
        const bool wasListed
                = !this->ofOlderEra(row->second) || this->supersededRows.contains(row->first);
        if (keys.contains(row->first) || newEra || !wasListed) {
            ++row;
        } else {
            row = this->drop(row, update.to, changes);
        }
    }
    std::vector<std::string> unlisted;
    for (const auto &[key, row] : this->supersededRows) {
        if (!keys.contains(key)) {
            unlisted.push_back(key);
        }
    }
    for (const std::string &key : unlisted) {
        // Changes nothing here if the row was deleted before, but other replicas would use the row
        // when the hold time ends.
        this->remove({ key, "", update.to, true, update.confirmedAt }, changes);
    }
}

bool TableReplica::knows(const RowChange &row) const
{
    const auto found = this->current.find(row.key);
    const auto listed = this->supersededRows.find(row.key);
    return (found != this->current.end() && found->second.position >= row.position)
           || (listed != this->supersededRows.end() && listed->second.position >= row.position);
}

std::optional<WriterOrder> TableReplica::orderOf(const RowChange &row) const
{
    return this->settings.order ? this->settings.order(row) : std::nullopt;
}

TableReplica::RowIterator TableReplica::drop(RowIterator row, StorePosition position,
                                             Changes &changes)
{
    RowChange deletion = row->second;
    deletion.deleted = true;
    deletion.position = position;
    this->recordDeletion(deletion);
    deletion.value.clear();
    changes.push_back(std::move(deletion));
    return this->current.erase(row);
}

void TableReplica::recordDeletion(const RowChange &deletion)
{
    const auto later = std::upper_bound(this->deletions.begin(), this->deletions.end(), deletion,
                                        [](const RowChange &left, const RowChange &right) {
                                            return left.position < right.position;
                                        });
    this->deletions.insert(later, deletion);
    if (this->deletions.size() > maxRecordedDeletions) {
        this->deletionsSince = std::max(this->deletionsSince, this->deletions.front().position);
        this->deletions.pop_front();
    }
}

const RowChange *TableReplica::findDeletion(const std::string &key) const
{
    const auto found = std::find_if(this->deletions.rbegin(), this->deletions.rend(),
                                    [&key](const RowChange &row) { return row.key == key; });
    return found == this->deletions.rend() ? nullptr : &*found;
}

const RowChange *TableReplica::listedRow(const std::string &key) const
{
    if (const auto listed = this->supersededRows.find(key); listed != this->supersededRows.end()) {
        return &listed->second;
    }
    const auto found = this->current.find(key);
    return found == this->current.end() || this->ofOlderEra(found->second) ? nullptr
                                                                           : &found->second;
}

TableUpdate TableReplica::changesSince(StorePosition position) const
{
    TableUpdate update;
    update.to = this->currentPosition;
    update.confirmedAt = this->confirmed;
    update.complete = position < this->deletionsSince
                      || (this->unlistedSince < position && position < this->unlistedUntil);
    update.from = update.complete ? StorePosition() : position;
    for (const auto &[key, row] : this->current) {
        if (update.complete ? !this->ofOlderEra(row) : row.position > position) {
            update.rows.push_back(row);
        }
    }
    // What the store lists counts again when the hold times end.
    for (const auto &[key, row] : this->supersededRows) {
        if (update.complete || row.position > position) {
            update.rows.push_back(row);
        }
    }
    if (!update.complete) {
        for (const RowChange &deletion : this->deletions) {
            if (deletion.position > position) {
                update.rows.push_back(deletion);
                update.rows.back().value.clear();
            }
        }
    }
    // In the order in which they were made, as a row and its deletion may both be among them.
    std::stable_sort(update.rows.begin(), update.rows.end(),
                     [](const RowChange &left, const RowChange &right) {
                         return left.position < right.position;
                     });
    const std::vector<RowChange> retained = this->retainedRows();
    update.rows.insert(update.rows.end(), retained.begin(), retained.end());
    return update;
}

} // namespace Currantfall::Steering
