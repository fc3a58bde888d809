#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantfall/Common/Time.h"
#include "currantfall/Steering/StorePosition.h"
#include "currantfall/Steering/WriterOrder.h"

namespace Currantfall::Steering {

/// A row that was written or deleted.
struct RowChange
{
    std::string key;
    /// The last known value if `deleted`; empty if no value is known.
    std::string value;
    StorePosition position;
    bool deleted = false;
    /// When this value was first read from the store, by the local clock.
    Common::Instant readAt;

    friend bool operator==(const RowChange &left, const RowChange &right) = default;
};

/// Changes of one table between two positions of the same era, or all of its rows.
struct TableUpdate
{
    /// All changes after this position, up to `to`, are included. Unused if `complete`.
    StorePosition from;
    StorePosition to;
    /// Whether `rows` contains all rows of the table instead of changes.
    bool complete = false;
    /// The table was at `to` at this time or later.
    Common::Instant confirmedAt;
    /// Rows of an older era than `to` are what the sender still knows from before the store
    /// returned from a copy. Rows of changes at positions up to `from` are what the sender knows to
    /// be newer than what the store lists. Such rows are retained rows.
    std::vector<RowChange> rows;
    /// Number of rows read from the store that could not be decoded.
    std::size_t unreadableRows = 0;

    friend bool operator==(const TableUpdate &left, const TableUpdate &right) = default;
};

/// Determines what a replica keeps when the store returns from an older copy of itself.
struct RetentionSettings
{
    /// Time after the first read of a new era, by the confirmations of the replica, for which rows
    /// that the copy lacks are kept, and for which rows with unknown order are preferred to those
    /// of the copy.
    absl::Duration holdTime = absl::ZeroDuration();
    /// Time for which a row that is known to be deleted stays deleted although the copy lists it,
    /// if its writer does not write it, and for which a belated row is not used. Covers the time
    /// after which the store drops the row of a writer that is gone.
    absl::Duration deletionHoldTime = absl::ZeroDuration();
    /// Reads the order of a row from its key and value. Without it, or without a result, the order
    /// is unknown.
    std::function<std::optional<WriterOrder>(const RowChange &)> order;
};

/// A replica of one table of the platform's store. It is maintained from updates of the store and
/// of other VMs, which may arrive out of order and more than once.
///
/// A writer's call may be performed seconds later than its next one, so that the store lists an
/// earlier value. Such a belated row is not used: the replica keeps what it knows, a row or a
/// deletion, until the writer has written a newer value. After a deletion, and if the row is of an
/// earlier run, it is used when the store still lists it after the hold time of deletions.
///
/// When the store returns from an older copy, its era increases and the replica follows it, except
/// for rows about which the replica knows something newer than the copy:
/// - A row that its writer numbered stays as it is until the writer has written a newer value.
/// - A deleted row stays deleted until its writer has written a newer value or the hold time of
///   deletions has passed.
/// - Rows that the copy lacks, and rows without a known order, stay until they are written again or
///   the hold time has passed.
class TableReplica
{
public:
    enum class Status {
        Applied,
        Stale, ///< The replica is newer. Nothing was changed.
        Gap,   ///< Changes between the replica and the update are missing. Needs a complete update.
    };
    struct Outcome
    {
        Status status = Status::Stale;
        /// Rows that were added, changed or deleted, in their new state.
        std::vector<RowChange> changes;
        /// Changes that are not relayed, because every replica derives them itself.
        std::vector<RowChange> localChanges;
        /// Rows that must be relayed although they may change nothing here: rows that the
        /// store lists for the first time in its current era although the replica has known them
        /// since an older one, which other replicas would drop when the hold time ends, and rows
        /// that the replica knew before it reached their position.
        std::vector<RowChange> rowsToRelay;

        /// Returns `changes`, which are those of `changes` above that matter to peers, with the
        /// rows to relay. Changes of one row stay in the order in which they were made.
        std::vector<RowChange> withRowsToRelay(std::vector<RowChange> changes) const;
    };

    explicit TableReplica(RetentionSettings settings = {}) : settings(std::move(settings)) { }

    /// Rows of an older era in the update are applied whatever its position is in the current era.
    Outcome apply(const TableUpdate &update);

    /// False until the first complete update has been applied.
    bool loaded() const { return this->isLoaded; }
    StorePosition position() const { return this->currentPosition; }
    /// The latest time at which the replica is known to have been up to date.
    Common::Instant confirmedAt() const { return this->confirmed; }
    const std::map<std::string, RowChange> &rows() const { return this->current; }
    /// The row as the store lists it in the current era, or nullptr if the store does not list it.
    const RowChange *listedRow(const std::string &key) const;
    /// Returns the update that brings a replica at `position` to the state of this one: the changes
    /// since `position`, or all rows if not all deletions since then are still recorded.
    TableUpdate changesSince(StorePosition position) const;
    /// Rows and deletions that take precedence over the rows that the store lists.
    std::vector<RowChange> retainedRows() const;

private:
    RetentionSettings settings;
    bool isLoaded = false;
    StorePosition currentPosition;
    Common::Instant confirmed = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    std::map<std::string, RowChange> current;
    /// The latest deletions, ordered by position.
    std::deque<RowChange> deletions;
    /// `deletions` contains all deletions after this position, except those between
    /// `unlistedSince` and `unlistedUntil`.
    StorePosition deletionsSince;
    /// Between these positions all rows were read instead of the changes, which does not show rows
    /// that were added and deleted meanwhile.
    StorePosition unlistedSince;
    StorePosition unlistedUntil;
    /// Rows that the store lists in the current era but that are not used, because the replica
    /// knows a newer value or deletion. Contains only rows of the store's table.
    std::map<std::string, RowChange> supersededRows;
    Common::Instant holdUntil;
    bool holding = false;
    Common::Instant deletionHoldUntil;
    bool holdingDeletions = false;

    using Changes = std::vector<RowChange>;
    using RowIterator = std::map<std::string, RowChange>::iterator;

    void startEra(const TableUpdate &update);
    /// `written`: the row is known to have been written after the store returned, and is not part
    /// of the copy.
    void put(const RowChange &row, bool written, Outcome &outcome);
    void remove(const RowChange &deletion, Changes &changes);
    void removeMissing(const TableUpdate &update, bool newEra, Changes &changes);
    bool isRetained(const RowChange &row, const TableUpdate &update) const;
    /// Whether `row` is an earlier value of its writer than `known` although the store lists it
    /// later. Both are of the current era.
    bool isBelated(const RowChange &row, const RowChange &known) const;
    /// Keeps a belated row as one that the store lists.
    void supersede(const RowChange &row, Outcome &outcome);
    /// Drops a superseded row that was listed before `change` of the same row.
    void dropListed(const RowChange &change);
    /// Replaces a belated row by a newer value or deletion at an earlier position.
    void replaceBelated(RowIterator listed, const RowChange &known, Changes &changes);
    /// Uses belated rows that the store still lists when their hold time has passed.
    void useHeldRows(Changes &changes);
    /// Applies what a peer knows from an older era than the one of this replica.
    void putRetained(const RowChange &row, Changes &changes);
    void removeRetained(const RowChange &deletion, Changes &changes);
    void applyRetained(const TableUpdate &update, Changes &changes);
    /// Ends the hold time: drops what is kept only until then.
    void endHold(Changes &changes);
    /// Ends the hold time of deletions: uses the rows that the store still lists.
    void endDeletionHold(Changes &changes);
    /// Uses rows that were superseded by deletions that don't count any more.
    void useListedRows(Changes &changes);
    /// Whether `row`, which the store lists in a newer era, must not replace `known`, which is a
    /// row or a deletion.
    bool mustNotReplace(const RowChange &row, const RowChange &known, bool written) const;
    /// Whether `change` happened after `known`, both of which are of older eras.
    bool isLater(const RowChange &change, const RowChange &known) const;
    /// Whether the replica has the row as it was at the position of `row`, or later.
    bool knows(const RowChange &row) const;
    std::optional<WriterOrder> orderOf(const RowChange &row) const;
    bool ofOlderEra(const RowChange &row) const
    {
        return row.position.era() < this->currentPosition.era();
    }
    /// Erases a row that was deleted at `position`.
    RowIterator drop(RowIterator row, StorePosition position, Changes &changes);
    void recordDeletion(const RowChange &deletion);
    /// The latest recorded deletion of the row, or nullptr.
    const RowChange *findDeletion(const std::string &key) const;
};

} // namespace Currantfall::Steering
