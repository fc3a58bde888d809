#include <ctime>
#include <iostream>
#include <string>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "currantfall/Platform/EnvironmentRow.h"

// Prints the sizes of what daemons read from the platform; run with the tag [.benchmark].

using namespace Currantfall;
using namespace Currantfall::Platform;
using nlohmann::json;

namespace {

double cpuSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return absl::ToDoubleSeconds(absl::DurationFromTimespec(time));
}

/// A row with a full history, and hashes and operation ids of 32 digits.
EnvironmentRow rowWithDrains(int drains)
{
    const std::string hash(32, 'a');
    EnvironmentRow row = EnvironmentRow::first(hash, std::string(32, '0'), "operator-1");
    const auto operation
            = [&row] { return std::string(26, '0') + std::to_string(100'000 + row.revision()); };
    for (int drain = 0; drain < drains; ++drain) {
        row = row.withDrain({ DrainKind::Zone, absl::StrCat("zone-", drain) }, operation(),
                            "operator-1", absl::FromUnixMillis(1'700'000'000'000))
                      .value();
    }
    for (std::size_t change = 0; change < EnvironmentRow::historyLimit; ++change) {
        row = row.withDocument(hash, operation(), "operator-1");
    }
    return row;
}

json vmList(int count)
{
    json vms = json::array();
    for (int index = 0; index < count; ++index) {
        vms.push_back({ { "vm", absl::StrCat("vm-", 10'000 + index) },
                        { "zone", absl::StrCat("zone-", index % 55) },
                        { "region", absl::StrCat("region-", index % 16) },
                        { "address", "127.100.100.100" },
                        { "port_base", 7000 },
                        { "state", "live" } });
    }
    return { { "vms", vms } };
}

} // namespace

TEST_CASE("Bytes of a row by number of drains", "[.benchmark]")
{
    for (const int drains : { 0, 5, 50 }) {
        const json line = { { "drains", drains },
                            { "row_bytes", rowWithDrains(drains).toJson().dump().size() } };
        std::cout << line.dump() << std::endl;
    }
}

TEST_CASE("Bytes of the VM list by number of VMs", "[.benchmark]")
{
    for (const int count : { 10, 100, 1'000, 4'600 }) {
        const std::string text = vmList(count).dump();
        const double start = cpuSeconds();
        const json parsed = json::parse(text);
        const double parse = cpuSeconds() - start;
        REQUIRE(parsed.at("vms").size() == static_cast<std::size_t>(count));
        const json line = { { "vms", count },
                            { "list_bytes", text.size() },
                            { "json_parse_us", 1e6 * parse } };
        std::cout << line.dump() << std::endl;
    }
}
