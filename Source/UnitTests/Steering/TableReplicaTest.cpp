#include "currantfall/Steering/TableReplica.h"

#include <catch2/catch.hpp>

#include "currantfall/Steering/ReadSchedule.h"

using namespace Currantfall::Steering;
using namespace Currantfall::Common;
using Status = TableReplica::Status;

namespace {

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

RowChange row(const std::string &key, StoreVersion version, bool deleted = false)
{
    return { key, "v" + std::to_string(version), StorePosition(0, version), deleted, at(0) };
}

TableUpdate complete(StoreVersion version, std::vector<RowChange> rows, int confirmed = 0)
{
    return { {}, StorePosition(0, version), true, at(confirmed), std::move(rows) };
}

TableUpdate changes(StoreVersion from, StoreVersion to, std::vector<RowChange> rows,
                    int confirmed = 0)
{
    return { StorePosition(0, from), StorePosition(0, to), false, at(confirmed), std::move(rows) };
}

} // namespace

// Guards against replicas that miss a change because an earlier update was lost.
TEST_CASE("An update that does not follow the replica's version is not applied")
{
    TableReplica replica;
    CHECK(replica.apply(changes(5, 9, { row("a", 9) })).status == Status::Gap);
    CHECK(replica.apply(complete(10, { row("a", 9) })).changes.size() == 1);
    CHECK(replica.apply(changes(11, 12, { row("b", 12) })).status == Status::Gap);
    CHECK(replica.position() == StorePosition(0, 10));
    CHECK(replica.apply(changes(8, 12, { row("a", 9), row("b", 12) })).changes.size() == 1);
    CHECK(replica.rows().size() == 2);
}

// Guards against a delayed update restoring a row that was deleted in the meantime.
TEST_CASE("A replica never returns to an older state")
{
    TableReplica replica;
    replica.apply(complete(10, { row("a", 9) }));
    CHECK(replica.apply(changes(10, 20, { row("a", 15, true) })).changes.size() == 1);
    CHECK(replica.apply(changes(8, 14, { row("a", 14) })).status == Status::Stale);
    CHECK(replica.apply(changes(8, 21, { row("a", 14) })).changes.empty());
    CHECK(replica.rows().empty());
    CHECK(replica.apply(changes(21, 30, { row("a", 25) })).changes.size() == 1);
}

// Guards against a row that stays in the replica of a VM that read it, because the VM that relays
// changes learned of the row and its deletion at once.
TEST_CASE("The deletion of a row that the replica never had is passed on")
{
    TableReplica reader;
    reader.apply(complete(10, { row("a", 9) }));
    TableReplica other = reader;
    CHECK(other.apply(changes(10, 12, { row("b", 12) })).changes.size() == 1);
    const auto outcome = reader.apply(changes(10, 15, { row("b", 15, true) }));
    REQUIRE(outcome.changes.size() == 1);
    CHECK(other.apply(changes(10, 15, outcome.changes)).changes.size() == 1);
    CHECK(other.rows() == reader.rows());
    TableReplica behind;
    behind.apply(complete(12, { row("a", 9), row("b", 12) }));
    behind.apply(reader.changesSince(StorePosition(0, 12)));
    CHECK(behind.rows() == reader.rows());
    CHECK(reader.apply(changes(10, 16, { row("b", 15, true) })).changes.empty());
}

// Guards against VMs endlessly sending each other rows at the same version, which can happen after
// a restart of all VMs.
TEST_CASE("An update at the current version only renews its confirmation time")
{
    TableReplica replica;
    replica.apply(complete(10, { row("a", 9) }));
    const auto outcome = replica.apply(changes(5, 10, { row("b", 8) }, 500));
    CHECK(outcome.status == Status::Applied);
    CHECK(outcome.changes.empty());
    CHECK(replica.confirmedAt() == at(500));
    CHECK(replica.rows().size() == 1);
}

// Guards against VMs that keep an earlier state of a row, because the VM that read several changes
// of the row at once relayed only the first of them (DRAIN).
TEST_CASE("The last of several changes of a row is relayed")
{
    TableReplica reader;
    // A full read of several pages may contain rows that were written after its position.
    reader.apply(complete(10, { row("a", 12) }));
    TableReplica other;
    other.apply(complete(10, {}));
    const auto outcome = reader.apply(changes(10, 12, { row("a", 11), row("a", 12) }));
    REQUIRE(outcome.status == Status::Applied);
    other.apply(changes(10, 12, outcome.withRowsToRelay(outcome.changes)));
    CHECK(other.rows() == reader.rows());
}

TEST_CASE("A complete update removes rows that it does not contain")
{
    TableReplica replica;
    replica.apply(complete(10, { row("a", 9), row("b", 8) }));
    const auto outcome = replica.apply(complete(20, { row("b", 8), row("c", 15) }));
    REQUIRE(outcome.changes.size() == 2);
    CHECK(outcome.changes[0].key == "c");
    CHECK(outcome.changes[1].key == "a");
    CHECK(outcome.changes[1].deleted);
}

TEST_CASE("An outdated replica gets the changes, or all rows if deletions are no longer recorded")
{
    TableReplica source;
    source.apply(complete(10, { row("a", 9), row("b", 8) }));
    source.apply(changes(10, 20, { row("a", 15, true), row("c", 18) }));
    const TableUpdate since = source.changesSince(StorePosition(0, 12));
    CHECK_FALSE(since.complete);
    CHECK(since.rows.size() == 2);
    const TableUpdate all = source.changesSince(StorePosition(0, 3));
    CHECK(all.complete);
    CHECK(all.rows.size() == 2);

    TableReplica behind;
    behind.apply(complete(12, { row("a", 9), row("b", 8) }));
    behind.apply(since);
    CHECK(behind.rows() == source.rows());
    TableReplica fresh;
    fresh.apply(all);
    CHECK(fresh.rows() == source.rows());
}

namespace {

ReadSettings readSettings()
{
    ReadSettings result;
    result.interval = absl::Milliseconds(500);
    result.staleAfter = absl::Seconds(1);
    result.delayPerRank = absl::Milliseconds(100);
    result.maxRankDelay = absl::Milliseconds(300);
    result.initialBackoff = absl::Milliseconds(250);
    result.maxBackoff = absl::Seconds(1);
    return result;
}

} // namespace

// Guards against a number of store reads that grows with the number of VMs.
TEST_CASE("Only the first VM reads while replicas are up to date")
{
    ReadSchedule schedule(readSettings());
    schedule.started();
    CHECK_FALSE(schedule.due(at(0), 0, true, at(0)));
    schedule.finished(at(0), true);
    CHECK_FALSE(schedule.due(at(499), 0, true, at(0)));
    CHECK(schedule.due(at(500), 0, true, at(400)));
    CHECK_FALSE(schedule.due(at(900), 1, true, at(0)));
}

// Guards against outdated replicas when the first reader has crashed or can't reach the store.
TEST_CASE("Other VMs read in order of rank when their replicas become stale")
{
    ReadSchedule schedule(readSettings());
    CHECK(schedule.due(at(1000), 1, true, at(0)));
    CHECK_FALSE(schedule.due(at(1000), 2, true, at(0)));
    CHECK(schedule.due(at(1100), 2, true, at(0)));
    CHECK(schedule.due(at(1300), 50, true, at(0)));
    CHECK(schedule.due(at(0), 50, false, at(0)));
}

// Guards against a flood of reads while the store is down. They would be refused but still charged.
TEST_CASE("Failed reads are retried with exponential backoff")
{
    ReadSchedule schedule(readSettings());
    int now = 0;
    const std::vector<int> backoffs { 250, 500, 1000, 1000 };
    for (const int backoff : backoffs) {
        schedule.started();
        schedule.finished(at(now), false);
        CHECK_FALSE(schedule.due(at(now + backoff - 1), 0, false, at(0)));
        CHECK(schedule.due(at(now + backoff), 0, false, at(0)));
        now += backoff;
    }
    schedule.started();
    schedule.finished(at(now), true);
    CHECK(schedule.due(at(now), 0, false, at(0)));
}
