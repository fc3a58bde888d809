#include "ServerRows.h"

#include <catch2/catch.hpp>

#include "SteeringFixture.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;

namespace {

std::string entry(const std::string &slots = "3")
{
    return R"({"service":"bellbook","address":"127.0.0.9:8080","zone":"a","version":"v1","slots":)"
           + slots + R"(,"state":"ready","cold_remaining_ms":0,"seq":4,"born":1700000000123})";
}

Steering::RowChange row(const std::string &key, const std::string &value,
                        Steering::StoreVersion version)
{
    return { key, value, Steering::StorePosition(0, version), false, Common::monotonicNow() };
}

struct Fixture
{
    SteeringFixture steering;
    ServerRows rows { steering.steering, steering.log, steering.metrics };

    bool knows(const std::string &name)
    {
        return this->steering.steering.servers().find(Common::BackendServerName(name)) != nullptr;
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
