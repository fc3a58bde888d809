#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// Version of the platform's store; grows with every transaction.
using StoreVersion = std::uint64_t;

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
    /// All changes later than this are included. Unused if `complete`.
    StoreVersion from = 0;
    StoreVersion to = 0;
    /// `rows` are all rows of the table.
    bool complete = false;
    /// The table was at `to` at this time or later.
    Common::Instant confirmedAt;
    std::vector<RowChange> rows;

    friend bool operator==(const TableUpdate &left, const TableUpdate &right) = default;
};

/// A copy of one table of the platform's store, kept from updates that come from the store or from
/// other VMs, in any order and more than once.
class TableReplica
{
public:
    enum class Verdict {
        Applied,
        Stale, ///< The replica is newer; nothing was changed.
        Gap, ///< Changes are missing between the replica and the update; a complete one is needed.
    };
    struct Outcome
    {
        Verdict verdict = Verdict::Stale;
        /// Rows whose value changed, as they are now.
        std::vector<RowChange> changes;
    };

    Outcome apply(const TableUpdate &update);

    /// False until a complete update was applied.
    bool loaded() const { return this->isLoaded; }
    StoreVersion version() const { return this->currentVersion; }
    /// The latest time at which the replica is known to have had all changes.
    Common::Instant confirmedAt() const { return this->confirmed; }
    const std::map<std::string, RowChange> &rows() const { return this->current; }
    /// What a replica at `version` needs to become like this one: the changes since then, or all
    /// rows if deletions since then are no longer known.
    TableUpdate changesSince(StoreVersion version) const;

private:
    bool isLoaded = false;
    StoreVersion currentVersion = 0;
    Common::Instant confirmed = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    std::map<std::string, RowChange> current;
    /// Latest deletions, in the order of their versions.
    std::deque<RowChange> deletions;
    /// All deletions later than this are in `deletions`.
    StoreVersion deletionsSince = 0;

    void remember(const RowChange &deletion);
    /// Whether the row was deleted after it was written.
    bool deletedSince(const RowChange &row) const;
};

} // namespace Currantfall::Steering
