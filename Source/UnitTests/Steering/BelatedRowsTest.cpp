#include <catch2/catch.hpp>

#include "currantfall/Steering/TableReplica.h"

using namespace Currantfall::Steering;
using namespace Currantfall::Common;

// Tests of a replica whose store lists an earlier value of a writer after a later one, because the
// call that wrote it was held up.

namespace {

constexpr int holdMs = 8000;

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

RowChange row(StoreVersion version, const std::string &value, int readMs = 0)
{
    return { "a", value, StorePosition(1, version), false, at(readMs) };
}

RowChange deletion(StoreVersion version)
{
    return { "a", "", StorePosition(1, version), true, at(0) };
}

TableUpdate complete(StoreVersion version, std::vector<RowChange> rows)
{
    return { {}, StorePosition(1, version), true, at(0), std::move(rows) };
}

TableUpdate changes(StoreVersion from, StoreVersion to, std::vector<RowChange> rows,
                    int confirmedMs = 0)
{
    return { StorePosition(1, from), StorePosition(1, to), false, at(confirmedMs),
             std::move(rows) };
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

TableReplica replicaWith(const std::vector<RowChange> &rows)
{
    TableReplica replica({ absl::Milliseconds(2000), absl::Milliseconds(holdMs), orderOf });
    replica.apply(complete(10, rows));
    return replica;
}

std::string valueOf(const TableReplica &replica)
{
    const auto found = replica.rows().find("a");
    return found == replica.rows().end() ? "" : found->second.value;
}

} // namespace

// Guards against requests to a server that leaves, because an older entry of it reaches the store
// after the one that says so (DRAIN).
TEST_CASE("A row that arrives at the store after a newer one of its writer is not used")
{
    TableReplica replica = replicaWith({ row(9, "ready 1.10") });
    replica.apply(changes(10, 11, { row(11, "draining 1.12") }));
    const auto outcome = replica.apply(changes(11, 12, { row(12, "ready 1.11") }));
    CHECK(outcome.changes.empty());
    CHECK(valueOf(replica) == "draining 1.12");
    CHECK(replica.listedRow("a")->value == "ready 1.11");

    SECTION("Neither is it after a full read")
    {
        CHECK(replica.apply(complete(13, { row(12, "ready 1.11") })).changes.empty());
        CHECK(valueOf(replica) == "draining 1.12");
    }
    SECTION("Neither is it later")
    {
        replica.apply(changes(12, 13, {}, 10 * holdMs));
        CHECK(valueOf(replica) == "draining 1.12");
    }
    SECTION("A newer value of the writer counts")
    {
        CHECK(replica.apply(changes(12, 13, { row(13, "ready 1.13") })).changes.size() == 1);
        CHECK(valueOf(replica) == "ready 1.13");
        CHECK(replica.listedRow("a")->value == "ready 1.13");
    }
    SECTION("Its deletion counts")
    {
        CHECK(replica.apply(changes(12, 13, { deletion(13) })).changes.size() == 1);
        CHECK(replica.rows().empty());
        CHECK(replica.listedRow("a") == nullptr);
    }
    SECTION("Rows without an order are used as they are listed")
    {
        replica.apply(changes(12, 13, { row(13, "ready") }));
        CHECK(valueOf(replica) == "ready");
    }
}

// Guards against requests to a server that has ended, because an older entry of it reaches the
// store after the removal of its entry (DRAIN).
TEST_CASE("A row that arrives at the store after the removal of a newer one is not used")
{
    TableReplica replica = replicaWith({ row(9, "draining 1.12") });
    replica.apply(changes(10, 11, { deletion(11) }));
    CHECK(replica.apply(changes(11, 12, { row(12, "ready 1.11") })).changes.empty());
    CHECK(replica.rows().empty());

    SECTION("Neither is it after a full read")
    {
        replica.apply(complete(13, { row(12, "ready 1.11") }));
        CHECK(replica.rows().empty());
    }
    SECTION("It is used if the store still lists it after the hold time")
    {
        // The server is alive: it does not write again what differs only in its number.
        replica.apply(changes(12, 13, {}, holdMs - 1));
        CHECK(replica.rows().empty());
        replica.apply(changes(13, 14, {}, holdMs));
        CHECK(valueOf(replica) == "ready 1.11");
    }
    SECTION("A server that registers again is used")
    {
        replica.apply(changes(12, 13, { row(13, "ready 1.13") }));
        CHECK(valueOf(replica) == "ready 1.13");
    }
    SECTION("A later run is used")
    {
        replica.apply(changes(12, 13, { row(13, "ready 2.1") }));
        CHECK(valueOf(replica) == "ready 2.1");
    }
}

// Guards against requests to an earlier run of a server, and against a server that is never used
// again because its clock was set back.
TEST_CASE("A row of an earlier run counts only after the hold time")
{
    const bool removed = GENERATE(false, true);
    TableReplica replica = replicaWith({ row(9, "draining 2.5") });
    if (removed) {
        replica.apply(changes(10, 11, { deletion(11) }));
    }
    const std::string known = removed ? "" : "draining 2.5";
    replica.apply(changes(10, 12, { row(12, "ready 1.40", 1000) }, 1000));
    CHECK(valueOf(replica) == known);
    replica.apply(changes(12, 13, {}, 1000 + holdMs - 1));
    CHECK(valueOf(replica) == known);

    SECTION("It is used if the store still lists it")
    {
        const auto outcome = replica.apply(changes(13, 14, {}, 1000 + holdMs));
        CHECK(outcome.localChanges.size() == 1);
        CHECK(valueOf(replica) == "ready 1.40");
        CHECK(replica.retainedRows().empty());
    }
    SECTION("It is not used if the store has dropped it")
    {
        replica.apply(changes(13, 14, { deletion(14) }, 1000 + holdMs));
        CHECK(replica.rows().empty());
    }
}

// Guards against a VM that uses a leaving server because it has started after the older entry had
// reached the store.
TEST_CASE("A replica that knows only the listed row learns the newer one from a peer")
{
    const bool removed = GENERATE(false, true);
    TableReplica peer = replicaWith({ row(9, "draining 1.12") });
    peer.apply(changes(10, 11, removed ? std::vector { deletion(11) } : std::vector<RowChange>()));
    peer.apply(changes(11, 12, { row(12, "ready 1.11") }));

    SECTION("With the versions that VMs compare")
    {
        TableReplica replica = replicaWith({});
        replica.apply(complete(12, { row(12, "ready 1.11") }));
        REQUIRE(valueOf(replica) == "ready 1.11");
        const auto outcome = replica.apply(changes(12, 12, peer.retainedRows()));
        REQUIRE(outcome.localChanges.size() == 1);
        CHECK(outcome.localChanges.front().deleted == removed);
        CHECK(replica.rows() == peer.rows());
        // The store's reader lists the row once more.
        CHECK(replica.apply(complete(13, { row(12, "ready 1.11") })).changes.empty());
        CHECK(replica.rows() == peer.rows());
    }
    SECTION("With the whole table")
    {
        TableReplica replica({ absl::Milliseconds(2000), absl::Milliseconds(holdMs), orderOf });
        replica.apply(peer.changesSince({}));
        CHECK(replica.rows() == peer.rows());
        CHECK(replica.listedRow("a")->value == "ready 1.11");
    }
    SECTION("A message that was overtaken by the removal of the row changes nothing")
    {
        TableReplica replica = replicaWith({});
        replica.apply(changes(10, 13, { row(12, "ready 1.11"), deletion(13) }));
        CHECK(replica.apply(changes(12, 12, peer.retainedRows())).localChanges.empty());
        CHECK(replica.rows().empty());
    }
}

// Guards against a replica that forgets which row the store lists last, because a deletion from
// before a restore replaces a row that has superseded a belated one.
TEST_CASE("A retained deletion leaves the belated row as the listed one")
{
    TableReplica replica = replicaWith({ row(9, "ready 1.10") });
    replica.apply(changes(10, 12, { row(11, "draining 1.12"), row(12, "ready 1.11") }));
    REQUIRE(replica.listedRow("a")->value == "ready 1.11");
    const RowChange earlier { "a", "draining 1.13", StorePosition(0, 50), true, at(0) };
    replica.apply(changes(12, 12, { earlier }));
    CHECK(replica.rows().empty());
    CHECK(replica.listedRow("a")->value == "ready 1.11");
}
