#include "EntrySettings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "VmRow.h"

using namespace Currantfall;
using nlohmann::json;

namespace {

json validSettings()
{
    return json::parse(R"({
        "vm": "edge-1", "zone": "a", "region": "west", "address": "10.1.0.15",
        "zones": {"a": "west", "b": "east"},
        "listeners": {"callers": "10.1.0.15:8641", "readiness": "10.1.0.15:8640",
                      "directory": "10.1.0.15:8644", "peers": "10.1.0.15:8649"},
        "seeds": ["10.1.0.15:8649"], "store": {"address": "10.200.1.7:8642"},
        "memory_mb": 260, "max_descriptors": 4100, "processor_share": 0.2,
        "shutdown_grace_s": 6, "lookup_ttl_max_s": 5, "server_drain_ms": 2000,
        "retries": {"ratio": 0.2, "extra": 60, "window_s": 10},
        "cold": {"overage": 1.5, "extra": 5},
        "quota": {"window_s": 4, "overage": 0.1, "extra": 20}, "unknown": [1]})");
}

} // namespace

TEST_CASE("Settings of an entry VM are read, unknown fields are ignored")
{
    const auto settings = Entry::EntrySettings::parse(validSettings().dump());
    REQUIRE(settings);
    CHECK(settings->vm.value() == "edge-1");
    CHECK(settings->callers.port == 8641);
    CHECK(settings->zones.at(Common::ZoneName("b")).value() == "east");
    CHECK(settings->seeds.size() == 1);
    CHECK(settings->memoryBytes == std::size_t { 260 } * 1024 * 1024);
    CHECK(settings->shutdownGrace == absl::Seconds(6));
    CHECK(settings->serverDrainTime == absl::Seconds(2));
    CHECK(settings->metrics.toString() == "10.1.0.15:9464");
    CHECK(settings->quotaTolerance == Quotas::QuotaTolerance { absl::Seconds(4), 0.1, 20.0 });
}

// Guards against a tolerance that the platform does not allow.
TEST_CASE("Without a tolerance in the settings, limits of tenants are exact")
{
    json document = validSettings();
    document.erase("quota");
    const auto settings = Entry::EntrySettings::parse(document.dump());
    REQUIRE(settings);
    CHECK(settings->quotaTolerance.overage == 0.0);
    CHECK(settings->quotaTolerance.extra == 0.0);
}

// Guards against requests to leaving servers for a time that the platform does not allow.
TEST_CASE("Without a drain time in the settings, leaving servers get no requests")
{
    json document = validSettings();
    document.erase("server_drain_ms");
    const auto settings = Entry::EntrySettings::parse(document.dump());
    REQUIRE(settings);
    CHECK(settings->serverDrainTime == absl::ZeroDuration());
}

TEST_CASE("Errors in settings name the field and what is expected")
{
    const auto [pointer, value, expected] = GENERATE(table<std::string, json, std::string>(
            { { "/vm", "", "/vm: expected a text that is not empty" },
              { "/listeners/callers", "10.1.0.15", "/listeners/callers: expected IP:PORT" },
              { "/store/address", 7, "/store/address: expected a text that is not empty" },
              { "/memory_mb", 1, "/memory_mb: expected a number from 16 to 1e+06" },
              { "/server_drain_ms", -1, "/server_drain_ms: expected a number from 0 to 3.6e+06" },
              { "/quota/overage", -1, "/quota/overage: expected a number from 0 to 10" },
              { "/server_drain_ms", "2", "/server_drain_ms: expected a number from 0 to 3.6e+06" },
              { "/retries/ratio", "x", "/retries/ratio: expected a number from 0 to 10" },
              { "/zones", json::array(),
                "/zones: expected an object of zone names and their regions" },
              { "/zones/a", 1, "/zones/a: expected the name of a region" },
              { "/seeds/0", "x", "/seeds: expected a list of IP:PORT" } }));
    json document = validSettings();
    document[json::json_pointer(pointer)] = value;
    const auto settings = Entry::EntrySettings::parse(document.dump());
    REQUIRE_FALSE(settings);
    CHECK(settings.error().detail() == expected);
    CHECK_FALSE(Entry::EntrySettings::parse("[]"));
    CHECK_FALSE(Entry::EntrySettings::parse("{"));
}

TEST_CASE("Registered VMs survive the round trip, other rows are refused")
{
    Entry::RegisteredVm registered;
    registered.vm.vm = Common::VmName("edge-1");
    registered.vm.zone = Common::ZoneName("a");
    registered.vm.region = Common::RegionName("west");
    registered.vm.address = "10.1.0.15";
    registered.vm.portBase = 8641;
    registered.processorShare = 0.5;
    const auto read = Entry::readVmRow("edge-1", Entry::writeVmRow(registered));
    REQUIRE(read);
    CHECK(*read == registered);
    for (const char *invalidRow : { "", "[]", "{}", R"({"zone":"a","region":"w","address":1})" }) {
        CHECK_FALSE(Entry::readVmRow("edge-1", invalidRow));
    }
}
