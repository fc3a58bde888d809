#include <catch2/catch.hpp>

#include "currantfall/Steering/TableReplica.h"

using namespace Currantfall::Steering;
using namespace Currantfall::Common;
using Status = TableReplica::Status;

// Tests of a replica whose store returns from an older copy of itself.

namespace {

constexpr int holdMs = 2000;
constexpr int deletionHoldMs = 8000;

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

RowChange row(const std::string &key, StorePosition position, const std::string &value)
{
    return { key, value, position, false, at(0) };
}

RowChange deletion(const std::string &key, StorePosition position)
{
    return { key, "", position, true, at(0) };
}

TableUpdate complete(StorePosition to, std::vector<RowChange> rows, int confirmed = 0)
{
    return { {}, to, true, at(confirmed), std::move(rows) };
}

TableUpdate changes(StorePosition from, StorePosition to, std::vector<RowChange> rows,
                    int confirmed = 0)
{
    return { from, to, false, at(confirmed), std::move(rows) };
}

/// Reads values such as "ready 2.7": the run and the number of the value.
std::optional<WriterOrder> orderOf(const RowChange &row)
{
    const auto space = row.value.find(' ');
    const auto point = row.value.find('.');
    if (space == std::string::npos || point == std::string::npos) {
        return std::nullopt;
    }
    return WriterOrder(std::stol(row.value.substr(space)), std::stoul(row.value.substr(point + 1)));
}

/// Settings of a table like that of the backend servers.
RetentionSettings serverSettings()
{
    return { absl::Milliseconds(holdMs), absl::Milliseconds(deletionHoldMs), orderOf };
}

StorePosition old(StoreVersion version)
{
    return { 1, version };
}

StorePosition restored(StoreVersion version)
{
    return { 2, version };
}

/// A replica at version 100 of the first era, at time 0.
TableReplica replicaWith(const std::vector<RowChange> &rows,
                         RetentionSettings settings = serverSettings())
{
    TableReplica replica(std::move(settings));
    replica.apply(complete(old(100), rows));
    return replica;
}

std::string valueOf(const TableReplica &replica, const std::string &key)
{
    const auto found = replica.rows().find(key);
    return found == replica.rows().end() ? "" : found->second.value;
}

} // namespace

// Guards against versions of different eras that are compared.
TEST_CASE("Positions are ordered by era, then by version")
{
    CHECK(StorePosition(1, 100) < StorePosition(2, 3));
    CHECK(StorePosition(2, 3) < StorePosition(2, 4));
    CHECK(StorePosition(2, 3) == StorePosition(2, 3));
    CHECK(WriterOrder(1, 100) < WriterOrder(2, 3));
    CHECK(WriterOrder(2, 3) < WriterOrder(2, 4));
}

// Guards against a replica that takes all reads of a restored store for outdated, because versions
// went back.
TEST_CASE("A complete update of a newer era replaces the replica whatever its version is")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    const auto outcome
            = replica.apply(complete(restored(40), { row("a", restored(39), "ready 1.6"),
                                                     row("b", restored(40), "ready 1.1") }));
    CHECK(outcome.status == Status::Applied);
    CHECK(outcome.changes.size() == 2);
    CHECK(replica.position() == restored(40));
    CHECK(valueOf(replica, "a") == "ready 1.6");
}

// Guards against rows that are hidden because their version was given out before.
TEST_CASE("Rows with versions that were given out before are applied")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    replica.apply(complete(restored(40), { row("a", restored(30), "ready 1.5") }));
    const auto written = replica.apply(
            changes(restored(40), restored(50), { row("a", restored(50), "draining 1.6") }));
    CHECK(written.changes.size() == 1);
    CHECK(valueOf(replica, "a") == "draining 1.6");
    const auto deleted
            = replica.apply(changes(restored(50), restored(60), { deletion("a", restored(60)) }));
    CHECK(deleted.changes.size() == 1);
    CHECK(replica.rows().empty());
}

// Guards against an update that was on its way while the store was restored.
TEST_CASE("Updates of an older era are outdated whatever their version is")
{
    TableReplica replica = replicaWith({});
    replica.apply(complete(restored(40), {}));
    CHECK(replica.apply(complete(old(200), { row("a", old(150), "ready 1.5") })).status
          == Status::Stale);
    CHECK(replica.apply(changes(old(100), old(200), { row("a", old(150), "ready 1.5") })).status
          == Status::Stale);
    CHECK(replica.rows().empty());
    CHECK(replica.position() == restored(40));
}

// Guards against changes of a new era on top of rows of an old one.
TEST_CASE("Changes of a newer era need a complete update first")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    CHECK(replica.apply(changes(restored(100), restored(101), {})).status == Status::Gap);
    CHECK(replica.apply(changes(old(100), restored(101), {})).status == Status::Gap);
    CHECK(replica.position() == old(100));
}

// Guards against VMs that stay in the old era because a peer sends them only changes.
TEST_CASE("A replica of an older era gets all rows from one of a newer era")
{
    TableReplica source = replicaWith({ row("a", old(90), "ready 1.5") });
    source.apply(complete(restored(40), { row("b", restored(30), "ready 1.1") }));
    const TableUpdate update = source.changesSince(old(100));
    CHECK(update.complete);
    TableReplica behind = replicaWith({ row("c", old(50), "ready 1.5") });
    CHECK(behind.apply(update).status == Status::Applied);
    CHECK(behind.position() == restored(40));
    CHECK(valueOf(behind, "a") == "ready 1.5");
    CHECK(valueOf(behind, "b") == "ready 1.1");
}

// Guards against requests to a server that is leaving, because the copy still lists it as ready.
TEST_CASE("A row stays as it is until its writer has written a newer value")
{
    TableReplica replica = replicaWith({ row("a", old(90), "draining 1.5") });
    const auto read
            = replica.apply(complete(restored(40), { row("a", restored(30), "ready 1.4") }));
    CHECK(read.changes.empty());
    CHECK(valueOf(replica, "a") == "draining 1.5");
    CHECK(replica.listedRow("a")->value == "ready 1.4");

    SECTION("The end of the hold time does not matter")
    {
        replica.apply(changes(restored(40), restored(41), {}, holdMs + 1));
        CHECK(valueOf(replica, "a") == "draining 1.5");
    }
    SECTION("A second complete update does not matter")
    {
        replica.apply(complete(restored(41), { row("a", restored(30), "ready 1.4") }));
        CHECK(valueOf(replica, "a") == "draining 1.5");
    }
    SECTION("An older value that is written later does not matter")
    {
        replica.apply(changes(restored(40), restored(41), { row("a", restored(41), "ready 1.5") }));
        CHECK(valueOf(replica, "a") == "draining 1.5");
    }
    SECTION("A newer value counts")
    {
        replica.apply(changes(restored(40), restored(41), { row("a", restored(41), "ready 1.6") }));
        CHECK(valueOf(replica, "a") == "ready 1.6");
    }
    SECTION("A value of another start counts, even if its clock was set back")
    {
        replica.apply(changes(restored(40), restored(41), { row("a", restored(41), "ready 0.1") }));
        CHECK(valueOf(replica, "a") == "ready 0.1");
    }
    SECTION("A deletion counts")
    {
        replica.apply(changes(restored(40), restored(41), { deletion("a", restored(41)) }));
        CHECK(replica.rows().empty());
        CHECK(replica.listedRow("a") == nullptr);
    }
    SECTION("A row that a later complete update lacks is deleted")
    {
        CHECK(replica.apply(complete(restored(41), {})).changes.size() == 1);
        CHECK(replica.rows().empty());
    }
}

// Guards against the start of a server before its last one, which the copy lists.
TEST_CASE("A row of an earlier start does not replace one of a later start")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 2.1") });
    replica.apply(complete(restored(40), { row("a", restored(30), "ready 1.9") }));
    replica.apply(changes(restored(40), restored(41), {}, holdMs + 1));
    CHECK(valueOf(replica, "a") == "ready 2.1");
}

// Guards against requests to a server that has left, because the copy still lists it.
TEST_CASE("A deleted row stays deleted until its writer has written a newer value")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    replica.apply(changes(old(100), old(110), { deletion("a", old(110)) }));
    const auto read
            = replica.apply(complete(restored(40), { row("a", restored(30), "ready 1.4") }));
    CHECK(read.changes.empty());
    replica.apply(changes(restored(40), restored(41), {}, holdMs + 1));
    CHECK(replica.rows().empty());
    replica.apply(changes(restored(41), restored(42), { row("a", restored(42), "ready 1.6") }));
    CHECK(valueOf(replica, "a") == "ready 1.6");
}

// Guards against an evacuation that stays out of force although the store lists it. Without
// a hold time of deletions, a row that was deleted in the lost seconds is listed again.
TEST_CASE("A deleted row returns with the copy in tables that do not keep deletions")
{
    RetentionSettings settings = serverSettings();
    settings.deletionHoldTime = absl::ZeroDuration();
    TableReplica replica = replicaWith({ row("evacuate", old(90), "{}") }, settings);
    replica.apply(changes(old(100), old(110), { deletion("evacuate", old(110)) }));
    CHECK(replica.apply(complete(restored(40), { row("evacuate", restored(30), "{}") }))
                  .changes.size()
          == 1);
    CHECK(replica.rows().size() == 1);
}

// Guards against the loss of servers and evacuations of the lost seconds before their writers had
// time to write them again, and against keeping them for good.
TEST_CASE("Rows that the copy lacks are kept until the hold time has passed")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5"), row("b", old(91), "{}") });
    CHECK(replica.apply(complete(restored(40), {})).changes.empty());
    CHECK(replica.listedRow("a") == nullptr);
    replica.apply(complete(restored(41), {}, holdMs - 1));
    CHECK(replica.rows().size() == 2);

    SECTION("Rows that are written again stay")
    {
        const auto written = replica.apply(changes(
                restored(41), restored(42),
                { row("a", restored(42), "ready 1.5"), row("b", restored(42), "{}") }, holdMs));
        CHECK(written.changes.empty());
        CHECK(written.localChanges.empty());
        // Peers that still hold these rows must be told.
        CHECK(written.rowsToRelay.size() == 2);
        CHECK(replica.rows().size() == 2);
        CHECK(replica.retainedRows().empty());
    }
    SECTION("Other rows are dropped, and peers are not told")
    {
        const auto end = replica.apply(changes(restored(41), restored(41), {}, holdMs));
        CHECK(end.changes.empty());
        REQUIRE(end.localChanges.size() == 2);
        CHECK(end.localChanges[0].deleted);
        CHECK(replica.rows().empty());
        // A server that is alive returns with its next entry.
        replica.apply(changes(restored(41), restored(42), { row("a", restored(42), "ready 1.6") }));
        CHECK(valueOf(replica, "a") == "ready 1.6");
    }
}

// Guards against dropping rows while the store can't be read, when nobody can write them again.
TEST_CASE("The hold time ends with a confirmation of the replica only")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    replica.apply(complete(restored(40), {}));
    const auto late = replica.apply(changes(restored(40), restored(40), {}, holdMs - 1));
    CHECK(late.localChanges.empty());
    CHECK(replica.rows().size() == 1);
}

// Guards against rows whose order is unknown that are ignored for good.
TEST_CASE("A row without a known order is preferred to the copy until the hold time has passed")
{
    TableReplica replica = replicaWith({ row("a", old(90), "draining"), row("b", old(91), "x") });
    replica.apply(changes(old(100), old(110), { deletion("b", old(110)) }));
    replica.apply(complete(restored(40),
                           { row("a", restored(30), "ready"), row("b", restored(31), "x") }));
    CHECK(valueOf(replica, "a") == "draining");
    CHECK_FALSE(replica.rows().contains("b"));
    SECTION("The copy counts after the hold time")
    {
        const auto end = replica.apply(changes(restored(40), restored(40), {}, holdMs));
        CHECK(end.localChanges.size() == 2);
        CHECK(valueOf(replica, "a") == "ready");
        CHECK(valueOf(replica, "b") == "x");
    }
    SECTION("A row that is written in the new era counts at once")
    {
        replica.apply(changes(restored(40), restored(42),
                              { row("a", restored(41), "ready"), row("b", restored(42), "y") }));
        CHECK(valueOf(replica, "a") == "ready");
        CHECK(valueOf(replica, "b") == "y");
    }
}

// Guards against a VM that has just started, read the copy itself and uses a server that its peers
// know to be leaving or gone, or an old configuration.
TEST_CASE("A replica that read the copy takes over what a peer knows from the older era")
{
    const std::vector<RowChange> copy { row("a", restored(30), "ready 1.4"),
                                        row("b", restored(31), "ready 1.4") };
    TableReplica informed
            = replicaWith({ row("a", old(90), "draining 1.5"), row("b", old(91), "ready 1.5"),
                            row("c", old(92), "ready 1.1") });
    informed.apply(changes(old(100), old(110), { deletion("b", old(110)) }));
    informed.apply(complete(restored(40), copy));
    const std::vector<RowChange> retained = informed.retainedRows();
    CHECK(retained.size() == 3);

    TableReplica started(serverSettings());
    SECTION("After its own read")
    {
        started.apply(complete(restored(40), copy));
        const auto outcome = started.apply(changes(restored(40), restored(40), retained));
        CHECK(outcome.changes.empty());
        CHECK(outcome.localChanges.size() == 3);
        CHECK(started.apply(changes(restored(40), restored(40), retained)).localChanges.empty());
    }
    SECTION("Instead of its own read")
    {
        started.apply(informed.changesSince({}));
    }
    CHECK(valueOf(started, "a") == "draining 1.5");
    CHECK_FALSE(started.rows().contains("b"));
    CHECK(valueOf(started, "c") == "ready 1.1");
}

// Guards against a peer's older knowledge that hides what was written since the restore.
TEST_CASE("Rows of an older era do not replace newer values or undo deletions")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    replica.apply(complete(restored(40), { row("a", restored(35), "ready 1.7"),
                                           row("b", restored(36), "ready 1.2") }));
    replica.apply(changes(restored(40), restored(41), { deletion("b", restored(41)) }));
    const auto outcome = replica.apply(
            changes(restored(41), restored(41),
                    { row("a", old(99), "draining 1.6"), row("b", old(99), "ready 1.1") }));
    CHECK(outcome.localChanges.empty());
    CHECK(valueOf(replica, "a") == "ready 1.7");
    CHECK_FALSE(replica.rows().contains("b"));
}

// Guards against memory that grows with each restore.
TEST_CASE("Each era starts a new hold time and drops what the last one kept")
{
    TableReplica replica = replicaWith({ row("a", old(90), "draining 1.5") });
    for (int era = 2; era < 10; ++era) {
        const StorePosition position(static_cast<StoreEra>(era), 40);
        const int now = era * 2 * holdMs;
        const std::string joined = "joined-" + std::to_string(era);
        replica.apply(complete(position, { row("a", position, "ready 1.4") }, now));
        CHECK(valueOf(replica, "a") == "draining 1.5");
        CHECK(replica.rows().size() <= 2);
        const StorePosition next(position.era(), 41);
        replica.apply(changes(position, next, { row(joined, next, "ready 1.1") }, now + holdMs));
        CHECK(replica.rows().size() == 2);
    }
}

// Guards against a change for stores without eras, whose positions all have era 0.
TEST_CASE("A store without eras that goes back is outdated")
{
    TableReplica replica(serverSettings());
    replica.apply(complete({ 0, 100 }, { row("a", { 0, 90 }, "ready 1.5") }));
    CHECK(replica.apply(complete({ 0, 40 }, {})).status == Status::Stale);
    CHECK(replica.rows().size() == 1);
}

// Guards against live servers and evacuations that are dropped by all VMs but the reader (EVAC, and
// servers without requests), because a row that is written again with the same value changes
// nothing for the reader.
TEST_CASE("A replica that is told of rows that are written again keeps them")
{
    const std::vector<RowChange> known { row("a", old(90), "ready 1.5"), row("b", old(91), "{}") };
    TableReplica reader = replicaWith(known);
    TableReplica other = replicaWith(known);
    reader.apply(complete(restored(40), {}));
    other.apply(complete(restored(40), {}));
    const auto written = reader.apply(
            changes(restored(40), restored(42),
                    { row("a", restored(41), "ready 1.6"), row("b", restored(42), "{}") }, 100));
    auto told = written.changes;
    for (const RowChange &listing : written.rowsToRelay) {
        if (listing.key != "a" || told.empty()) {
            told.push_back(listing);
        }
    }
    other.apply(changes(restored(40), restored(42), told, 100));
    other.apply(changes(restored(42), restored(42), {}, holdMs));
    CHECK(other.rows() == reader.rows());
    CHECK(other.rows().size() == 2);
}

// Guards against a row that a full read can't bring back, because it was dropped at the end of the
// hold time.
TEST_CASE("A row that was dropped after the hold time returns with the next full read")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    replica.apply(complete(restored(40), {}));
    replica.apply(changes(restored(40), restored(42), {}, holdMs));
    CHECK(replica.rows().empty());
    replica.apply(complete(restored(43), { row("a", restored(41), "ready 1.5") }, holdMs + 1));
    CHECK(valueOf(replica, "a") == "ready 1.5");
}

// Guards against a server that gets no requests any more although it is alive and listed, because
// its entry had expired in the lost seconds and does not change.
TEST_CASE("A deletion of an older era gives way to a row that stays listed")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    replica.apply(changes(old(100), old(110), { deletion("a", old(110)) }));
    replica.apply(complete(restored(40), { row("a", restored(30), "ready 1.5") }));
    replica.apply(changes(restored(40), restored(41), {}, deletionHoldMs - 1));
    CHECK(replica.rows().empty());
    const auto end = replica.apply(changes(restored(41), restored(41), {}, deletionHoldMs));
    CHECK(end.localChanges.size() == 1);
    CHECK(valueOf(replica, "a") == "ready 1.5");
}

// Guards against a VM that uses a server that has left, because it is at another position than the
// peer that knows.
TEST_CASE("What a peer knows from the older era is taken over at any position of the era")
{
    const std::vector<RowChange> copy { row("a", restored(30), "ready 1.4") };
    TableReplica informed = replicaWith({ row("a", old(90), "draining 1.5") });
    informed.apply(complete(restored(40), copy));
    TableReplica started(serverSettings());
    SECTION("The peer is behind")
    {
        started.apply(complete(restored(45), copy));
        const auto outcome
                = started.apply(changes(restored(40), restored(40), informed.retainedRows()));
        CHECK(outcome.status == Status::Stale);
        CHECK(outcome.localChanges.size() == 1);
    }
    SECTION("The peer is ahead")
    {
        started.apply(complete(restored(40), copy));
        informed.apply(changes(restored(40), restored(45), {}));
        started.apply(informed.changesSince(started.position()));
    }
    CHECK(valueOf(started, "a") == "draining 1.5");
}

// Guards against a VM that starts and drops a server at the end of the hold time although the store
// lists it, because its peer told it only what it prefers to the listed row.
TEST_CASE("A replica that got all rows from a peer keeps those that the store lists")
{
    TableReplica informed = replicaWith({ row("a", old(90), "ready 1.5") });
    informed.apply(changes(old(100), old(110), { row("a", old(110), "draining 1.6") }));
    informed.apply(complete(restored(40), { row("a", restored(30), "ready 1.5") }));
    TableReplica started(serverSettings());
    started.apply(informed.changesSince({}));
    CHECK(valueOf(started, "a") == "draining 1.6");
    started.apply(changes(restored(40), restored(40), {}, holdMs));
    CHECK(valueOf(started, "a") == "draining 1.6");
    CHECK(started.listedRow("a") != nullptr);
}

// Guards against a server at the address of its earlier start, or a server that has left: a reader
// that reads the whole table once more tells its peers of the copy's rows beside changes.
TEST_CASE("A row of the copy that comes with later changes does not count as written")
{
    const std::vector<RowChange> copy { row("a", restored(30), "ready 1.9") };
    TableReplica reader = replicaWith({ row("a", old(90), "ready 2.1") });
    TableReplica other = replicaWith({ row("a", old(90), "ready 2.1") });
    std::string expected = "ready 2.1";
    SECTION("The replica prefers a row") { }
    SECTION("The replica prefers a deletion")
    {
        const TableUpdate left = changes(old(100), old(110), { deletion("a", old(110)) });
        reader.apply(left);
        other.apply(left);
        expected = "";
    }
    reader.apply(complete(restored(40), copy));
    other.apply(complete(restored(40), copy));
    const auto read = reader.apply(
            complete(restored(50), { copy.front(), row("b", restored(45), "ready 1.1") }, 100));
    std::vector<RowChange> told = read.changes;
    told.insert(told.end(), read.rowsToRelay.begin(), read.rowsToRelay.end());
    other.apply(changes(restored(40), restored(50), told, 100));
    CHECK(valueOf(reader, "a") == expected);
    CHECK(valueOf(other, "a") == expected);
    CHECK(valueOf(other, "b") == "ready 1.1");
}

// Guards against a server that a VM uses for good although the store deleted its row, because
// a peer that read the store later still holds the row of the older era.
TEST_CASE("A row that the store does not list any more is deleted even if a peer still holds it")
{
    const std::string known = GENERATE("ready 1.3", "ready 1.5");
    TableReplica early(serverSettings());
    early.apply(complete(restored(40), { row("a", restored(30), "ready 1.4") }));
    TableReplica late = replicaWith({ row("a", old(90), known) });
    late.apply(complete(restored(46), {}));
    const TableUpdate update = late.changesSince(early.position());
    REQUIRE(update.complete);
    early.apply(update);
    early.apply(changes(restored(46), restored(46), {}, deletionHoldMs));
    CHECK_FALSE(early.rows().contains("a"));
}

// Guards against requests to a server that has left, because the store returns a second time from
// a copy that lists it.
TEST_CASE("A row stays deleted if the store deleted it again between two restores")
{
    TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
    replica.apply(changes(old(100), old(110), { deletion("a", old(110)) }));
    replica.apply(complete(restored(40), { row("a", restored(30), "ready 1.4") }));
    replica.apply(changes(restored(40), restored(45), { deletion("a", restored(45)) }));
    const StorePosition again(3, 40);
    replica.apply(complete(again, { row("a", { 3, 30 }, "ready 1.4") }));
    replica.apply(changes(again, again, {}, deletionHoldMs - 1));
    CHECK_FALSE(replica.rows().contains("a"));
    replica.apply(changes(again, again, {}, deletionHoldMs));
    CHECK(valueOf(replica, "a") == "ready 1.4");
}

// Guards against a server that all VMs but the reader use again when the hold time of deletions
// ends, although the store has deleted its row: the reader found the row missing in a full read.
TEST_CASE("Peers are told that the store does not list a row any more that was not in use")
{
    const auto prepared = [] {
        TableReplica replica = replicaWith({ row("a", old(90), "ready 1.5") });
        replica.apply(changes(old(100), old(110), { deletion("a", old(110)) }));
        replica.apply(complete(restored(40), { row("a", restored(30), "ready 1.4") }));
        return replica;
    };
    TableReplica reader = prepared();
    TableReplica other = prepared();
    const auto read = reader.apply(complete(restored(50), {}, 100));
    REQUIRE(read.changes.size() == 1);
    CHECK(read.changes.front().deleted);
    SECTION("With the changes")
    {
        other.apply(changes(restored(40), restored(50), read.changes, 100));
    }
    SECTION("On request")
    {
        other.apply(reader.changesSince(other.position()));
    }
    CHECK(other.position() == restored(50));
    other.apply(changes(restored(50), restored(50), {}, deletionHoldMs));
    CHECK_FALSE(other.rows().contains("a"));
}

// Guards against a server that gets no requests from VMs other than the reader, because the reader
// knew its row before it reached the row's position.
TEST_CASE("Peers are told of a row that was written between two pages of a full read")
{
    TableReplica reader(serverSettings());
    reader.apply(complete(old(100), { row("a", old(101), "ready 1.1") }));
    TableReplica other(serverSettings());
    other.apply(complete(old(100), {}));
    const auto read
            = reader.apply(changes(old(100), old(101), { row("a", old(101), "ready 1.1") }));
    REQUIRE(read.rowsToRelay.size() == 1);
    other.apply(changes(old(100), old(101), read.rowsToRelay));
    CHECK(valueOf(other, "a") == "ready 1.1");
}

// Guards against a VM that goes back to an earlier entry of a server after two restores, because
// a peer has read that entry in the era between them.
TEST_CASE("Rows that are known from different older eras are compared by their writer's order")
{
    const StorePosition again(3, 40);
    const std::vector<RowChange> copy { row("a", restored(30), "ready 1.4") };
    TableReplica replica(serverSettings());
    RowChange known = copy.front();
    std::string expected;
    SECTION("The peer knows the earlier one")
    {
        replica = replicaWith({ row("a", old(90), "draining 1.5") });
        expected = "draining 1.5";
    }
    SECTION("The peer knows the later one")
    {
        known = row("a", old(90), "draining 1.5");
        expected = "draining 1.5";
    }
    SECTION("The peer knows that the row is deleted")
    {
        known = deletion("a", old(110));
        known.value = "ready 1.5";
    }
    replica.apply(complete(restored(40), copy));
    replica.apply(complete(again, {}));
    replica.apply(changes(again, again, { known }));
    CHECK(valueOf(replica, "a") == expected);
}

// Guards against a server that a VM uses for good although it is gone: a reader that missed its row
// and the row's deletion told the VM of neither.
TEST_CASE("A replica that read all rows does not know what was deleted meanwhile")
{
    TableReplica reader = replicaWith({});
    TableReplica other = replicaWith({});
    reader.apply(changes(old(100), old(102), {}));
    other.apply(changes(old(100), old(103), { row("a", old(103), "ready 1.1") }));
    reader.apply(complete(old(110), {}));
    CHECK_FALSE(reader.changesSince(old(102)).complete);
    CHECK_FALSE(reader.changesSince(old(110)).complete);
    other.apply(reader.changesSince(other.position()));
    CHECK(other.position() == old(110));
    CHECK(other.rows().empty());

    SECTION("All rows are read once more after some changes")
    {
        reader.apply(changes(old(110), old(112), {}));
        reader.apply(complete(old(120), {}));
        CHECK(reader.changesSince(old(102)).complete);
        CHECK_FALSE(reader.changesSince(old(112)).complete);
        CHECK(reader.changesSince(old(115)).complete);
    }
    SECTION("All rows are read once more without changes between")
    {
        reader.apply(complete(old(120), {}));
        CHECK(reader.changesSince(old(110)).complete);
        CHECK_FALSE(reader.changesSince(old(120)).complete);
    }
    SECTION("The store returns from a copy")
    {
        reader.apply(complete(restored(40), {}));
        CHECK(reader.changesSince(old(110)).complete);
        CHECK_FALSE(reader.changesSince(restored(40)).complete);
    }
}
