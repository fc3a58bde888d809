#include "currantfall/Drain/HeadroomCheck.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace Currantfall::Drain {

namespace {

constexpr std::size_t slotsPerServer = 3;

// Three linked regions with two zones each; one service with two backend servers in each zone.
Configuration::Environment environment()
{
    Configuration::Environment result;
    Configuration::Service service;
    service.name = Common::ServiceName("bellbook");
    for (const std::string region : { "lm", "ok", "is" }) {
        result.regions.push_back({ Common::RegionName(region), {} });
        for (const std::string suffix : { "-a", "-b" }) {
            const Common::ZoneName zone(region + suffix);
            result.regions.back().zones.push_back(zone);
            for (const std::string number : { "-1", "-2" }) {
                service.backendServers.push_back(
                        { Common::BackendServerName("bellbook-" + zone.value() + number), zone,
                          "127.0.0.1:1", slotsPerServer });
            }
        }
    }
    const auto link = [&result](std::size_t left, std::size_t right) {
        result.links.push_back(
                { result.regions[left].name, result.regions[right].name, 4000, 0.5 });
    };
    link(0, 1);
    link(0, 2);
    link(1, 2);
    result.services.push_back(service);
    return result;
}

std::vector<ServiceLoad> evenLoad(const Configuration::Environment &environment, double fraction)
{
    std::vector<ServiceLoad> loads;
    for (const Configuration::Region &region : environment.regions) {
        for (const Common::ZoneName &zone : region.zones) {
            loads.push_back({ zone, environment.services[0].name, fraction });
        }
    }
    return loads;
}

HeadroomVerdict evaluate(const Configuration::Environment &environment, const DrainTarget &target,
                         const std::vector<ServiceLoad> &loads,
                         const std::vector<DrainTarget> &drains = {})
{
    const auto check = HeadroomCheck::create();
    return check->evaluate(environment, drains, target, loads).value();
}

} // namespace

TEST_CASE("A zone at 60% load can be drained, since the other regions have room")
{
    const auto document = environment();
    REQUIRE(evaluate(document, { DrainKind::Zone, "lm-a" }, evenLoad(document, 0.6)).allowed());
}

TEST_CASE("A drain that would overload the rest is refused and says where and by how much")
{
    const auto document = environment();
    const auto verdict = evaluate(document, { DrainKind::Zone, "lm-a" }, evenLoad(document, 0.8));
    // 6 zones x 6 slots x 0.8 = 28.8 slots of demand; 5 zones x 6 slots x 0.85 = 25.5 remain.
    REQUIRE(verdict.overloads.size() == 1);
    REQUIRE(verdict.overloads[0].toString()
            == "bellbook: region lm would need 8.4 of 6 slots, 3.3 above the limit");
    const auto single = evaluate(document, { DrainKind::BackendServer, "bellbook-ok-b-1" },
                                 evenLoad(document, 0.85));
    REQUIRE(single.overloads.size() == 1);
    REQUIRE(single.overloads[0].toString()
            == "bellbook: zone ok-b would need 5.1 of 3 slots, 2.55 above the limit");
}

TEST_CASE("A second drain is checked against what the first one left")
{
    const auto document = environment();
    const DrainTarget first { DrainKind::Region, "is" };
    const DrainTarget second { DrainKind::Region, "ok" };
    REQUIRE(evaluate(document, first, evenLoad(document, 0.5)).allowed());
    // The load of the drained region has moved to the others.
    auto loads = evenLoad(document, 0.75);
    REQUIRE_FALSE(evaluate(document, second, loads, { first }).allowed());
}

// Guards against a second drain that is checked before the VMs of the first one's zone have given
// up their load: two operators could start both within a second.
TEST_CASE("The load that a drained zone still reports counts against a second drain")
{
    const auto document = environment();
    const auto zoneOf = [&document](std::size_t region) {
        return DrainTarget { DrainKind::Zone, document.regions[region].zones.front().value() };
    };
    const auto loads = evenLoad(document, 0.6);
    REQUIRE(evaluate(document, zoneOf(1), loads).allowed());
    REQUIRE_FALSE(evaluate(document, zoneOf(1), loads, { zoneOf(0) }).allowed());
    // Once the load has moved, the drained zone has no report.
    auto moved = evenLoad(document, 0.6);
    std::erase_if(moved,
                  [&](const ServiceLoad &load) { return load.zone.value() == zoneOf(0).name; });
    REQUIRE(evaluate(document, zoneOf(1), moved, { zoneOf(0) }).allowed());
}

TEST_CASE("The last slots of a service can't be drained while it has load")
{
    auto document = environment();
    document.services[0].backendServers.resize(1);
    const DrainTarget target { DrainKind::BackendServer, "bellbook-lm-a-1" };
    REQUIRE_FALSE(evaluate(document, target, evenLoad(document, 0.01)).allowed());
    REQUIRE(evaluate(document, target, evenLoad(document, 0.0)).allowed());
}

TEST_CASE("Load does not move over a missing or closed link or into a reserve")
{
    const DrainTarget target { DrainKind::Region, "is" };
    auto document = environment();
    const auto loads = evenLoad(document, 0.5);
    document.links[1].shiftCap = 0.0;
    document.links.pop_back();
    REQUIRE_FALSE(evaluate(document, target, loads).allowed());
    document = environment();
    document.shift.reserve = 0.5;
    REQUIRE_FALSE(evaluate(document, target, loads).allowed());
}

TEST_CASE("Overload elsewhere does not refuse a drain that takes no slots")
{
    const auto document = environment();
    const auto loads = evenLoad(document, 1.5);
    REQUIRE(evaluate(document, { DrainKind::Vm, "vm-1" }, loads).allowed());
    const DrainTarget zone { DrainKind::Zone, "lm-a" };
    REQUIRE(evaluate(document, { DrainKind::BackendServer, "bellbook-lm-a-1" }, loads, { zone })
                    .allowed());
}

TEST_CASE("Unknown targets and loads that are no numbers are errors")
{
    const auto document = environment();
    const auto check = HeadroomCheck::create().value();
    const DrainTarget target { DrainKind::Zone, "lm-a" };
    REQUIRE_FALSE(check.evaluate(document, {}, { DrainKind::Zone, "lm" }, {}));
    auto loads = evenLoad(document, 0.5);
    loads[0].fraction = std::numeric_limits<double>::quiet_NaN();
    REQUIRE_FALSE(check.evaluate(document, {}, target, loads));
    loads[0] = { Common::ZoneName("xx"), Common::ServiceName("bellbook"), 0.5 };
    REQUIRE_FALSE(check.evaluate(document, {}, target, loads));
    REQUIRE_FALSE(HeadroomCheck::create(0.0));
    REQUIRE_FALSE(HeadroomCheck::create(1.01));
    REQUIRE_FALSE(DrainTarget::parse("zones", "lm-a"));
    REQUIRE(DrainTarget::parse("backend-server", "x")
            == DrainTarget { DrainKind::BackendServer, "x" });
}

TEST_CASE("A drain is allowed exactly if the demand fits below the limit of the remaining slots")
{
    rc::prop("conservation of demand", [] {
        const auto document = environment();
        auto loads = evenLoad(document, 0.0);
        double demand = 0.0;
        for (ServiceLoad &load : loads) {
            load.fraction = *rc::gen::inRange(0, 86) / 100.0;
            demand += load.fraction * 2 * slotsPerServer;
        }
        const auto &zone = loads[*rc::gen::inRange<std::size_t>(0, loads.size())].zone;
        const auto verdict = evaluate(document, { DrainKind::Zone, zone.value() }, loads);
        const double limit = HeadroomCheck::defaultLimit * 5 * 2 * slotsPerServer;
        double excess = 0.0;
        for (const Overload &overload : verdict.overloads) {
            excess += overload.excess;
        }
        RC_ASSERT(std::abs(excess - std::max(0.0, demand - limit)) < 1e-3);
    });
}

} // namespace Currantfall::Drain
