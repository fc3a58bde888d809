#include "ServerRows.h"

#include <catch2/catch.hpp>

#include "SteeringFixture.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;

namespace {

std::string entry(const std::string &slots = "3", const std::string &state = "ready")
{
    return R"({"service":"bellbook","address":"127.0.0.9:8080","zone":"a","version":"v1","slots":)"
           + slots + R"(,"state":")" + state
           + R"(","cold_remaining_ms":0,"seq":4,"born":1700000000123})";
}

Steering::RowChange row(const std::string &key, const std::string &value,
                        Steering::StoreVersion version)
{
    return { key, value, Steering::StorePosition(0, version), false, Common::monotonicNow() };
}

Steering::RowChange deletion(const std::string &key, Steering::StoreVersion version)
{
    return { key, "", Steering::StorePosition(0, version), true, Common::monotonicNow() };
}

struct Fixture
{
    SteeringFixture steering;
    ServerRows rows { steering.steering, steering.log, steering.metrics };

    bool knows(const std::string &name)
    {
        return this->steering.steering.servers().find(Common::BackendServerName(name)) != nullptr;
    }
    bool draining(const std::string &name)
    {
        const auto *known = this->steering.steering.servers().find(Common::BackendServerName(name));
        return known != nullptr && known->server().draining;
    }
    std::uint64_t ignored() const
    {
        return this->steering.metrics.counter("currantfall_store_rows_ignored_total",
                                              { { "table", "servers" } });
    }
};

std::vector<std::string> oddValues()
{
    return { "",
             std::string(65536, '['),
             entry(std::string(30'000, '[') + std::string(30'000, ']')),
             entry("1e999"),
             entry("4294967299"),
             entry("-1"),
             "\xff\xfe{",
             "{\"service\":\"" + std::string(65536, 's') + "\"}" };
}

} // namespace

// Guards against an odd row of another writer that ends the process or keeps the other rows from
// being applied, and against a server that stays in use after its row turned odd.
TEST_CASE("An odd row of a backend server changes nothing for the others")
{
    const std::string odd = GENERATE(from_range(oddValues()));
    Fixture fixture;
    CHECK(fixture.rows.apply({ row("i-1", entry(), 1), row("i-2", odd, 2), row("i-3", entry(), 3) })
                  .size()
          == 3);
    CHECK(fixture.knows("i-1"));
    CHECK_FALSE(fixture.knows("i-2"));
    CHECK(fixture.knows("i-3"));
    fixture.rows.apply({ row("i-2", entry(), 4) });
    CHECK(fixture.knows("i-2"));
    fixture.rows.apply({ row("i-2", odd, 5), row("i-4", entry(), 6) });
    CHECK_FALSE(fixture.knows("i-2"));
    CHECK(fixture.knows("i-4"));
    CHECK(fixture.ignored() == 2);
}

// Guards against a VM that goes on using a server because the VM that relays changes never knew it,
// and against relaying values as large as the store allows.
TEST_CASE("Peers learn that a row turned odd, without its value")
{
    const std::string odd = GENERATE(from_range(oddValues()));
    Fixture relaying;
    Fixture peer;
    peer.rows.apply({ row("i-2", entry(), 4) });
    const auto changes = relaying.rows.apply({ row("i-2", odd, 5) });
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().position.version() == 5);
    CHECK(changes.front().value.empty());
    peer.rows.apply(changes);
    CHECK_FALSE(peer.knows("i-2"));
}

// Guards against a log that is flooded by a writer of odd rows.
TEST_CASE("Odd rows are counted each time and logged once")
{
    Fixture fixture;
    for (Steering::StoreVersion version = 1; version <= 1000; ++version) {
        fixture.rows.apply({ row("i-2", "x", version) });
    }
    CHECK(fixture.ignored() == 1000);
    // The fixture's log admits no lines and counts those that were to be written.
    CHECK(fixture.steering.log.droppedLines() == 1);
}

// Guards against a server that is used until its end, because its entry and the removal of that
// entry were read together and applied in the other order (DRAIN).
TEST_CASE("A server whose entry and removal are read together is not used")
{
    Fixture fixture;
    const auto changes = fixture.rows.apply({ row("i-1", entry(), 1), deletion("i-1", 2) });
    CHECK_FALSE(fixture.knows("i-1"));
    REQUIRE(changes.size() == 2);
    Fixture peer;
    peer.rows.apply(changes);
    CHECK_FALSE(peer.knows("i-1"));

    SECTION("It is used again after it has registered again")
    {
        fixture.rows.apply({ row("i-1", entry(), 3) });
        CHECK(fixture.knows("i-1"));
        fixture.rows.apply({ deletion("i-1", 4), row("i-1", entry(), 5) });
        CHECK(fixture.knows("i-1"));
    }
    SECTION("A known server is not used either")
    {
        fixture.rows.apply({ row("i-1", entry("3"), 3) });
        fixture.rows.apply({ row("i-1", entry("5"), 4), deletion("i-1", 5) });
        CHECK_FALSE(fixture.knows("i-1"));
    }
}

// Guards against a server that is used although it leaves, because the last of several entries that
// were read together was compared with the one before the read, and was not applied (DRAIN).
TEST_CASE("The last of several entries that are read together counts")
{
    Fixture fixture;
    Fixture peer;
    const auto draining = entry("3", "draining");
    for (Fixture *vm : { &fixture, &peer }) {
        vm->rows.apply({ row("i-1", draining, 1) });
    }
    auto changes = fixture.rows.apply({ row("i-1", entry(), 2), row("i-1", draining, 3) });
    CHECK(fixture.draining("i-1"));
    peer.rows.apply(changes);
    CHECK(peer.draining("i-1"));

    fixture.rows.apply({ row("i-1", entry(), 4) });
    changes = fixture.rows.apply({ row("i-1", draining, 5), row("i-1", entry(), 6) });
    CHECK_FALSE(fixture.draining("i-1"));
    peer.rows.apply(changes);
    CHECK_FALSE(peer.draining("i-1"));
}
