#include "currantfall/Platform/EnvironmentRow.h"

#include <functional>
#include <map>

#include <catch2/catch.hpp>

#include "currantfall/Platform/HostPort.h"
#include "currantfall/Platform/PlatformClient.h"

using namespace Currantfall;
using namespace Currantfall::Platform;
using nlohmann::json;

namespace {

json validRow()
{
    const auto row = EnvironmentRow::first("hash-1", "op-1", "ana")
                             .withDocument("hash-2", "op-2", "ben")
                             .withDrain({ DrainKind::Zone, "lm-a" }, "op-3", "ana",
                                        absl::FromUnixMillis(1'700'000'000'000));
    return row->toJson();
}

} // namespace

TEST_CASE("A row read back is the row that was written")
{
    const auto row = EnvironmentRow::fromJson(validRow());
    REQUIRE(row);
    REQUIRE(row->toJson() == validRow());
    REQUIRE(row->revision() == 3);
    REQUIRE(row->previous() == "hash-1");
    REQUIRE(row->findDrain({ DrainKind::Zone, "lm-a" })->operation == "op-3");
}

TEST_CASE("The history keeps the latest revisions")
{
    EnvironmentRow row = EnvironmentRow::first("hash", "op-1", "ana");
    for (std::size_t i = 2; i <= EnvironmentRow::historyLimit + 3; ++i) {
        row = row.withDocument("hash", "op-" + std::to_string(i), "ana");
    }
    REQUIRE(row.history().size() == EnvironmentRow::historyLimit);
    REQUIRE(row.history().front().revision == 4);
    REQUIRE(EnvironmentRow::fromJson(row.toJson()) == row);
}

TEST_CASE("Promoting the document in force keeps the previous one for a rollback")
{
    const EnvironmentRow row = EnvironmentRow::first("hash-1", "op-1", "ana")
                                       .withDocument("hash-2", "op-2", "ana")
                                       .withDocument("hash-2", "op-3", "ana");
    REQUIRE(row.previous() == "hash-1");
}

TEST_CASE("A malformed row is refused")
{
    const std::map<std::string, std::function<void(json &)>> faults = {
        { "not an object", [](json &row) { row = json::array(); } },
        { "missing member", [](json &row) { row.erase("previous"); } },
        { "unknown member", [](json &row) { row["extra"] = 1; } },
        { "revision 0", [](json &row) { row["revision"] = 0; } },
        { "negative revision", [](json &row) { row["revision"] = -1; } },
        { "revision as text", [](json &row) { row["revision"] = "3"; } },
        { "fractional revision", [](json &row) { row["revision"] = 3.5; } },
        { "empty document", [](json &row) { row["document"] = ""; } },
        { "operation not of the history", [](json &row) { row["operation"] = "op-9"; } },
        { "empty history", [](json &row) { row["history"] = json::array(); } },
        { "history with a gap", [](json &row) { row["history"].erase(1); } },
        { "history entry without operator",
          [](json &row) { row["history"][0].erase("operator"); } },
        { "drains not an array", [](json &row) { row["drains"] = json::object(); } },
        { "unknown drain kind", [](json &row) { row["drains"][0]["kind"] = "rack"; } },
        { "drain time as text", [](json &row) { row["drains"][0]["started_ms"] = "now"; } },
        { "drain time too large",
          [](json &row) { row["drains"][0]["started_ms"] = 18446744073709551615ULL; } },
        { "drain target twice", [](json &row) { row["drains"].push_back(row["drains"][0]); } },
    };
    for (const auto &[name, damage] : faults) {
        INFO(name);
        json row = validRow();
        damage(row);
        REQUIRE_FALSE(EnvironmentRow::fromJson(row));
    }
}

TEST_CASE("A VM list with one malformed entry is refused as a whole")
{
    const json valid = { { "vm", "a" },         { "zone", "z" },
                         { "region", "r" },     { "address", "127.0.0.1" },
                         { "port_base", 7000 }, { "state", "leaving" } };
    const auto parse = [](const json &entry) {
        return parseVmList(json { { "vms", json::array({ entry }) } }.dump(), "test");
    };
    REQUIRE(parse(valid)->front().state == VmState::Leaving);
    REQUIRE_FALSE(parse(valid)->front().peerAddress);
    json withPeerAddress = valid;
    withPeerAddress["peer_address"] = "10.0.0.1:7108";
    REQUIRE(parse(withPeerAddress)->front().peerAddress == HostPort { "10.0.0.1", 7108 });
    for (const json &patch :
         { json { { "state", "gone" } }, json { { "port_base", 65530 } },
           json { { "port_base", 0 } }, json { { "port_base", "7000" } }, json { { "vm", "" } },
           json { { "zone", nullptr } }, json { { "peer_address", "10.0.0.1" } },
           json { { "peer_address", 7008 } } }) {
        json entry = valid;
        entry.update(patch);
        INFO(patch.dump());
        REQUIRE_FALSE(parse(entry));
    }
    REQUIRE_FALSE(parseVmList("{", "test"));
    REQUIRE_FALSE(parseVmList("[]", "test"));
}

// Guards against a stack overflow while a malformed entry is quoted in a message.
TEST_CASE("A VM list with a deeply nested entry is refused")
{
    const std::string brackets(1'000'000, '[');
    const std::string nested = brackets + std::string(brackets.size(), ']');
    REQUIRE_FALSE(parseVmList("{\"vms\":[" + nested + "]}", "test"));
}

TEST_CASE("Addresses that are not IP:PORT are refused")
{
    REQUIRE(HostPort::parse("127.0.0.1:80") == HostPort { "127.0.0.1", 80 });
    for (const char *text :
         { "", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",
           "127.0.0.1: 80", "127.0.0.1:+80", "localhost:80", "127.0.0.1:80:80" }) {
        INFO(text);
        REQUIRE_FALSE(HostPort::parse(text));
    }
}
