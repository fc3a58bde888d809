#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// Version of the platform's store. Increases with every transaction.
using StoreVersion = std::uint64_t;
/// Number of times that the store has returned from an older copy of itself. Versions increase only
/// within one era.
using StoreEra = std::uint64_t;

/// A row that was written or deleted.
struct RowChange
{
    std::string key;
    std::string value;
    StoreVersion version = 0;
    bool deleted = false;
    /// When this value was first read from the store, by the local clock.
    Common::Instant readAt;

    friend bool operator==(const RowChange &left, const RowChange &right) = default;
};

/// Changes of one table between two versions, or all of its rows.
struct TableUpdate
{
    /// All changes after this version, up to `to`, are included. Unused if `complete`.
    StoreVersion from = 0;
    StoreVersion to = 0;
    /// Whether `rows` contains all rows of the table instead of changes.
    bool complete = false;
    /// Era that the store stated, if this is one of its answers and states one.
    std::optional<StoreEra> era;
    /// The table was at `to` at this time or later.
    Common::Instant confirmedAt;
    std::vector<RowChange> rows;

    friend bool operator==(const TableUpdate &left, const TableUpdate &right) = default;
};

/// A replica of one table of the platform's store. It is maintained from updates of the store and
/// of other VMs, which may arrive out of order and more than once.
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
    };

    Outcome apply(const TableUpdate &update);

    /// False until the first complete update has been applied.
    bool loaded() const { return this->isLoaded; }
    StoreVersion version() const { return this->currentVersion; }
    /// The latest time at which the replica is known to have been up to date.
    Common::Instant confirmedAt() const { return this->confirmed; }
    const std::map<std::string, RowChange> &rows() const { return this->current; }
    /// Returns the update that brings a replica at `version` to the state of this one: the changes
    /// since `version`, or all rows if not all deletions since then are still recorded.
    TableUpdate changesSince(StoreVersion version) const;

private:
    bool isLoaded = false;
    StoreVersion currentVersion = 0;
    Common::Instant confirmed = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    std::map<std::string, RowChange> current;
    /// The latest deletions, ordered by version.
    std::deque<RowChange> deletions;
    /// `deletions` contains all deletions after this version.
    StoreVersion deletionsSince = 0;

    void recordDeletion(const RowChange &deletion);
    /// Whether a recorded deletion of the row is at least as new as `row`.
    bool deletedSince(const RowChange &row) const;
};

} // namespace Currantfall::Steering
