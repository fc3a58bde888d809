#include <algorithm>
#include <utility>

#include "currantfall/Steering/TableReplica.h"

// What a replica knows to be newer than what the store lists: after the store has returned from an
// older copy, and after a writer's call was held up.

namespace Currantfall::Steering {

void TableReplica::applyRetained(const TableUpdate &update, Changes &changes)
{
    for (const RowChange &row : update.rows) {
        if (!this->isRetained(row, update)) {
            continue;
        }
        if (!this->ofOlderEra(row)) {
            const auto found = this->current.find(row.key);
            if (found != this->current.end() && !this->ofOlderEra(found->second)
                && this->isBelated(found->second, row)) {
                this->replaceBelated(found, row, changes);
            }
        } else if (row.deleted) {
            this->removeRetained(row, changes);
        } else {
            this->putRetained(row, changes);
        }
    }
}

bool TableReplica::isRetained(const RowChange &row, const TableUpdate &update) const
{
    return this->ofOlderEra(row) || (!update.complete && row.position <= update.from);
}

void TableReplica::putRetained(const RowChange &row, Changes &changes)
{
    const auto found = this->current.find(row.key);
    if (found == this->current.end()) {
        const RowChange *deletion = this->findDeletion(row.key);
        const bool deletedSince = deletion != nullptr && deletion->position >= row.position;
        if (this->holding && !deletedSince && !this->supersededRows.contains(row.key)) {
            this->current.emplace(row.key, row);
            changes.push_back(row);
        }
        return;
    }
    RowChange &known = found->second;
    if (this->ofOlderEra(known)) {
        if (!this->isLater(row, known)) {
            return;
        }
    } else {
        const auto listedOrder = this->orderOf(known);
        const auto order = this->orderOf(row);
        if (!listedOrder || !order || *order <= *listedOrder) {
            return;
        }
        // The listed row, unless a later one is superseded already.
        this->supersededRows.emplace(row.key, known);
    }
    known = row;
    changes.push_back(row);
}

void TableReplica::removeRetained(const RowChange &deletion, Changes &changes)
{
    const auto found = this->current.find(deletion.key);
    if (found == this->current.end()) {
        return;
    }
    const RowChange known = found->second;
    if (this->ofOlderEra(known)) {
        if (!this->isLater(deletion, known)) {
            return;
        }
    } else {
        if (!this->holdingDeletions || !this->mustNotReplace(known, deletion, false)) {
            return;
        }
        this->supersededRows.emplace(deletion.key, known);
    }
    this->drop(found, deletion.position, changes);
}

void TableReplica::endHold(Changes &changes)
{
    this->holding = false;
    for (auto row = this->current.begin(); row != this->current.end();) {
        if (!this->ofOlderEra(row->second)) {
            ++row;
            continue;
        }
        const auto listed = this->supersededRows.find(row->first);
        if (listed == this->supersededRows.end()) {
            // Not recorded as a deletion of the store: the row may still be listed.
            RowChange dropped = row->second;
            dropped.deleted = true;
            dropped.value.clear();
            changes.push_back(std::move(dropped));
            row = this->current.erase(row);
            continue;
        }
        if (!this->mustNotReplace(listed->second, row->second, false)) {
            row->second = listed->second;
            changes.push_back(listed->second);
            this->supersededRows.erase(listed);
        }
        ++row;
    }
    this->useListedRows(changes);
}

void TableReplica::endDeletionHold(Changes &changes)
{
    this->holdingDeletions = false;
    this->useListedRows(changes);
}

void TableReplica::useListedRows(Changes &changes)
{
    for (auto listed = this->supersededRows.begin(); listed != this->supersededRows.end();) {
        const RowChange *deletion = this->findDeletion(listed->first);
        const bool deleted = deletion != nullptr
                             && (!this->ofOlderEra(*deletion)
                                 || (this->holdingDeletions
                                     && this->mustNotReplace(listed->second, *deletion, false)));
        if (deleted || this->current.contains(listed->first)) {
            ++listed;
            continue;
        }
        this->current.emplace(listed->first, listed->second);
        changes.push_back(listed->second);
        listed = this->supersededRows.erase(listed);
    }
}

bool TableReplica::isBelated(const RowChange &row, const RowChange &known) const
{
    const auto order = this->orderOf(row);
    const auto knownOrder = this->orderOf(known);
    if (!order || !knownOrder || *order >= *knownOrder) {
        return false;
    }
    // A live writer replaces an earlier value of its run that differs from the latest one.
    if (!known.deleted && order->run() == knownOrder->run()) {
        return true;
    }
    // Of a writer that is gone the store drops the row. One that is alive may have started again
    // with a clock that was set back, or been given up by the store before.
    return this->confirmed < row.readAt + this->settings.deletionHoldTime;
}

void TableReplica::dropListed(const RowChange &change)
{
    const auto listed = this->supersededRows.find(change.key);
    if (listed != this->supersededRows.end() && listed->second.position <= change.position) {
        this->supersededRows.erase(listed);
    }
}

void TableReplica::supersede(const RowChange &row, Outcome &outcome)
{
    const auto [listed, added] = this->supersededRows.emplace(row.key, row);
    if (added || listed->second.position < row.position) {
        listed->second = row;
        outcome.rowsToRelay.push_back(row);
    }
}

void TableReplica::replaceBelated(RowIterator listed, const RowChange &known, Changes &changes)
{
    this->supersededRows.emplace(listed->first, listed->second);
    changes.push_back(known);
    if (known.deleted) {
        this->recordDeletion(known);
        this->current.erase(listed);
    } else {
        listed->second = known;
    }
}

void TableReplica::useHeldRows(Changes &changes)
{
    for (auto listed = this->supersededRows.begin(); listed != this->supersededRows.end();) {
        const auto &[key, row] = *listed;
        const auto found = this->current.find(key);
        const RowChange *known
                = found == this->current.end() ? this->findDeletion(key) : &found->second;
        if (known == nullptr || this->ofOlderEra(*known) || this->isBelated(row, *known)) {
            ++listed;
            continue;
        }
        this->current.insert_or_assign(key, row);
        changes.push_back(row);
        listed = this->supersededRows.erase(listed);
    }
}

bool TableReplica::mustNotReplace(const RowChange &row, const RowChange &known, bool written) const
{
    const auto order = this->orderOf(row);
    const auto knownOrder = this->orderOf(known);
    if (!order || !knownOrder) {
        return !written && this->holding;
    }
    // A writer that started again may have a clock that was set back.
    if (written && order->run() != knownOrder->run()) {
        return false;
    }
    return *order <= *knownOrder;
}

bool TableReplica::isLater(const RowChange &change, const RowChange &known) const
{
    const bool laterPosition = change.position > known.position;
    const bool sameEra = change.position.era() == known.position.era();
    if (change.deleted && (sameEra || laterPosition)) {
        return laterPosition;
    }
    // The one of the later era may be a row of the copy, and one of the same era a belated row.
    const auto order = this->orderOf(change);
    const auto knownOrder = this->orderOf(known);
    if (!order || !knownOrder || (sameEra && *order == *knownOrder)) {
        return laterPosition;
    }
    return change.deleted ? *order >= *knownOrder : *order > *knownOrder;
}

std::vector<RowChange> TableReplica::retainedRows() const
{
    std::vector<RowChange> rows;
    for (const auto &[key, row] : this->current) {
        if (this->ofOlderEra(row) || this->supersededRows.contains(key)) {
            rows.push_back(row);
        }
    }
    for (const auto &[key, row] : this->supersededRows) {
        const RowChange *deletion = this->findDeletion(key);
        if (!this->current.contains(key) && deletion != nullptr) {
            rows.push_back(*deletion);
        }
    }
    return rows;
}

} // namespace Currantfall::Steering
