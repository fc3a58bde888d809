#include <cstdint>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "currantfall/Placement/LookupPlanner.h"
#include "currantfall/Placement/OwnershipTable.h"
#include "currantfall/Placement/RequestRouter.h"

#include "PlacementFixture.h"

// Prints the slopes of lookups and ownership; run with the tag [.benchmark].

namespace Currantfall::Placement {

namespace {

using namespace Testing;

constexpr std::uint32_t zonesPerRegion = 4;
constexpr std::uint32_t serversPerSite = 12;

double cpuSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return absl::ToDoubleSeconds(absl::DurationFromTimespec(time));
}

/// CPU microseconds of one call of `work`, averaged over at least 0.1 s.
template<typename Work>
double microsecondsPerCall(const Work &work)
{
    constexpr double leastSeconds = 0.1;
    const double start = cpuSeconds();
    std::uint64_t calls = 0;
    double spent = 0;
    while (spent < leastSeconds) {
        work();
        ++calls;
        spent = cpuSeconds() - start;
    }
    return 1e6 * spent / static_cast<double>(calls);
}

Common::ZoneName zoneName(std::uint32_t zone)
{
    return Common::ZoneName(absl::StrCat("zone-", zone));
}

Common::RegionName regionName(std::uint32_t zone)
{
    return Common::RegionName(absl::StrCat("region-", zone / zonesPerRegion));
}

/// One service per site, its servers spread over the zones.
Configuration::Environment sitesEnvironment(std::uint32_t zones, std::uint32_t sites)
{
    Configuration::Environment result;
    for (std::uint32_t zone = 0; zone < zones; ++zone) {
        if (zone % zonesPerRegion == 0) {
            result.regions.push_back({ regionName(zone), {} });
        }
        result.regions.back().zones.push_back(zoneName(zone));
    }
    std::uint32_t zone = 0;
    for (std::uint32_t site = 0; site < sites; ++site) {
        Configuration::Service service;
        service.name = Common::ServiceName(absl::StrCat("site-", site));
        for (std::uint32_t server = 0; server < serversPerSite; ++server) {
            const Common::ZoneName name = zoneName(zone++ % zones);
            service.backendServers.push_back(
                    { Common::BackendServerName(
                              absl::StrCat("site-", site, "-", name.value(), "-", server)),
                      name, "127.0.0.1:1", 3 });
        }
        result.services.push_back(service);
    }
    return result;
}

/// Members spread over the zones, each with the loads of four services.
std::vector<MemberHeard> membersOf(std::uint32_t count, std::uint32_t zones)
{
    std::vector<MemberHeard> result;
    for (std::uint32_t index = 0; index < count; ++index) {
        MemberHeard heard;
        heard.member.vm = Common::VmName(absl::StrCat("vm-", 10'000 + index));
        heard.member.zone = zoneName(index % zones);
        heard.member.region = regionName(index % zones);
        heard.member.incarnation = 1;
        for (std::uint32_t site = 0; site < 4; ++site) {
            heard.member.loads.push_back(
                    { Common::ServiceName(absl::StrCat("site-", site)), 3, 9, 1 });
        }
        heard.lastHeard = at(0);
        result.push_back(heard);
    }
    return result;
}

} // namespace

TEST_CASE("Cost of a lookup decision by number of members", "[.benchmark]")
{
    struct Size
    {
        std::uint32_t members;
        std::uint32_t zones;
    };
    const std::vector<Size> sizes
            = { { 10, 6 }, { 100, 6 }, { 300, 6 }, { 1'000, 55 }, { 4'600, 55 } };
    for (const auto &[count, zones] : sizes) {
        const Configuration::Environment environment = sitesEnvironment(zones, 4);
        std::vector<PlacementMember> members;
        for (const MemberHeard &heard : membersOf(count, zones)) {
            members.push_back(heard.member);
        }
        const Common::ServiceName service("site-0");
        const Common::ZoneName zone = zoneName(0);
        std::uint64_t seed = 0;
        std::size_t entries = 0;
        const double plan = microsecondsPerCall([&] {
            entries += LookupPlanner::plan(environment, members, service, zone, ++seed).size();
        });
        RouteQuery query;
        query.self = members.front().vm;
        query.service = service;
        std::size_t targets = 0;
        const double route = microsecondsPerCall([&] {
            ++query.random;
            targets += RequestRouter::route(environment, members, query).size();
        });
        REQUIRE(targets > 0);
        std::size_t copied = 0;
        const double copy = microsecondsPerCall([&] {
            const std::vector<PlacementMember> snapshot = members; // NOLINT: the copy is measured.
            copied += snapshot.size();
        });
        REQUIRE(entries > 0);
        REQUIRE(copied > 0);
        const nlohmann::ordered_json line = {
            { "members", count },          { "zones", zones },
            { "plan_ns", 1e3 * plan },     { "lookup_decisions_per_s_per_core", 1e6 / plan },
            { "request_route_us", route }, { "snapshot_copy_us", copy },
        };
        std::cout << line.dump() << std::endl;
    }
}

TEST_CASE("Cost of ownership by number of members and servers", "[.benchmark]")
{
    struct Size
    {
        std::uint32_t members;
        std::uint32_t zones;
        std::uint32_t sites;
    };
    const std::vector<Size> sizes = {
        { 10, 6, 4 }, { 300, 6, 4 }, { 300, 6, 59 }, { 4'600, 55, 59 }, { 4'600, 55, 590 }
    };
    for (const auto &[count, zones, sites] : sizes) {
        const Configuration::Environment environment = sitesEnvironment(zones, sites);
        const std::vector<MemberHeard> members = membersOf(count, zones);
        OwnershipTable table(members.front().member.vm, at(0));
        const double update
                = microsecondsPerCall([&] { table.update(at(10'000), environment, members); });
        const double advance = microsecondsPerCall([&] { table.advance(at(10'000)); });
        const double due = microsecondsPerCall([&] { table.nextDue(); });
        const nlohmann::ordered_json line = {
            { "members", count },
            { "zones", zones },
            { "backend_servers", sites * serversPerSite },
            { "update_us", update },
            { "advance_us", advance },
            { "next_due_us", due },
        };
        std::cout << line.dump() << std::endl;
    }
}

} // namespace Currantfall::Placement
