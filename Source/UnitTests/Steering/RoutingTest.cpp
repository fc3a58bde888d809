#include <catch2/catch.hpp>

#include "currantfall/Steering/EntryDirectory.h"
#include "currantfall/Steering/RoutingConfiguration.h"
#include "currantfall/Steering/SplitChooser.h"

using namespace Currantfall::Steering;
using namespace Currantfall::Common;

namespace {

Route route(const std::string &prefix, const std::string &service)
{
    Route result;
    result.name = prefix;
    result.host = "Bookings.Example";
    result.prefix = prefix;
    result.services = { { ServiceName(service), 1.0 } };
    return result;
}

RoutingConfiguration configuration()
{
    return RoutingConfiguration(
            7, {},
            { route("/", "root"), route("/slots/", "slotview"), route("/slots/old/", "oldnews") },
            {});
}

EntryVm vm(const std::string &name, const std::string &zone, const std::string &region,
           double share = 1.0)
{
    return { VmName(name), ZoneName(zone), RegionName(region), name + ":80", share };
}

} // namespace

// Guards against requests that are sent to a service of another route.
TEST_CASE("The route with the longest prefix is used")
{
    const RoutingConfiguration routes = configuration();
    const auto nameOf = [&routes](const std::string &host, const std::string &path) {
        const Route *found = routes.match(host, path);
        return found == nullptr ? std::string("none") : found->name;
    };
    CHECK(nameOf("bookings.example", "/slots/old/1?a=/slots/") == "/slots/old/");
    CHECK(nameOf("BOOKINGS.example:8080", "/slots/1") == "/slots/");
    CHECK(nameOf("bookings.example", "/slots") == "/");
    CHECK(nameOf("bookings.example", "/slotsx/1") == "/");
    CHECK(nameOf("bookings.example", "nothing") == "none");
    CHECK(nameOf("other.example", "/slots/1") == "none");
}

// Guards against services of a traffic split whose share of the requests differs from their weight.
TEST_CASE("A traffic split follows its weights, also with few objects")
{
    SplitChooser chooser;
    Route split = route("/", "a");
    split.services = { { ServiceName("a"), 90.0 }, { ServiceName("b"), 10.0 } };
    const int objects = GENERATE(0, 1, 7, 100);
    std::map<ServiceName, int> counts;
    constexpr int requests = 1000;
    for (int index = 0; index < requests; ++index) {
        const std::string object = objects == 0 ? "" : std::to_string(index % objects);
        ++counts[chooser.choose(split, object)];
    }
    CHECK(counts[ServiceName("b")] >= requests * 0.07);
    CHECK(counts[ServiceName("b")] <= requests * 0.13);
}

// Guards against callers that know a single address and must wait for their next lookup when it
// fails.
TEST_CASE("Callers get several entry VMs, of their own zone or region if possible")
{
    const std::vector<EntryVm> vms { vm("a1", "a", "west"), vm("a2", "a", "west"),
                                     vm("b1", "b", "west"), vm("c1", "c", "east") };
    const auto names = [&vms](const std::string &zone, const std::string &region) {
        std::string result;
        for (const EntryVm &entry :
             entriesFor({ ZoneName(zone), RegionName(region), {} }, vms, 64).vms) {
            result += entry.vm.value() + " ";
        }
        return result;
    };
    CHECK(names("a", "west") == "a1 a2 ");
    CHECK(names("b", "west") == "a1 a2 b1 ");
    CHECK(names("c", "east") == "a1 a2 b1 c1 ");
    CHECK(names("unknown", "unknown") == "a1 a2 b1 c1 ");
}

// Guards against bodies that are sent to VMs outside the homes of their route (HOME) because the
// lookup named these VMs: few VMs of the caller's region are known during restarts.
TEST_CASE("Lookups name no VM outside the homes of the caller's routes and its region")
{
    const std::vector<EntryVm> vms { vm("a1", "a", "west"), vm("c1", "c", "east"),
                                     vm("d1", "d", "south"), vm("d2", "d", "south") };
    const auto named = [&vms](const std::string &zone, const std::string &region,
                              const HomeRegions &homes) {
        std::string result;
        const auto found = entriesFor({ ZoneName(zone), RegionName(region), homes }, vms, 64);
        for (const EntryVm &entry : found.vms) {
            result += entry.vm.value() + " ";
        }
        return result + toString(found.scope);
    };
    const auto west = HomeRegions::fromList({ RegionName("west") });
    const auto east = HomeRegions::fromList({ RegionName("east") });
    CHECK(named("a", "west", {}) == "a1 c1 d1 d2 all-regions");
    CHECK(named("a", "west", west) == "a1 homes");
    CHECK(named("a", "west", east) == "a1 c1 homes");
    CHECK(named("a", "west", west.intersectedWith(east)) == "a1 homes");
    CHECK(named("d", "south", west) == "d1 d2 zone");
    CHECK(named("e", "north", west) == "a1 homes");
}

// Guards against callers without any VM, although VMs run, because no VM of their region serves and
// the routes of their host share no home.
TEST_CASE("Lookups name leaving VMs of the caller's region, and others only if it has none")
{
    const auto apart = HomeRegions::fromList({ RegionName("west") })
                               .intersectedWith(HomeRegions::fromList({ RegionName("east") }));
    const auto west = HomeRegions::fromList({ RegionName("west") });
    std::vector<EntryVm> vms { vm("a1", "a", "west"), vm("c1", "c", "east"), vm("d1", "d", "south"),
                               vm("d2", "d", "south") };
    const auto named = [&vms](const HomeRegions &homes, bool regionLost) {
        std::string result;
        const auto found
                = entriesFor({ ZoneName("d"), RegionName("south"), homes, regionLost }, vms, 64);
        for (const EntryVm &entry : found.vms) {
            result += entry.vm.value() + " ";
        }
        return result + toString(found.scope);
    };
    vms[2].leaving = true;
    CHECK(named(apart, false) == "d2 homes");
    CHECK(named(west, false) == "a1 d2 homes");
    // A planned restart of the region: its VMs serve until they end.
    vms[3].leaving = true;
    CHECK(named(apart, false) == "d1 d2 leaving");
    CHECK(named(west, false) == "a1 homes");
    // They have ended and are expected back.
    vms.resize(2);
    CHECK(named(apart, false) == "none");
    CHECK(named(west, false) == "a1 homes");
    CHECK(named(apart, true) == "a1 c1 all-regions");
    CHECK(named(west, true) == "a1 homes");
}

// Guards against a lookup that takes the homes of one route for those of its host.
TEST_CASE("The homes of a host are those of all of its routes")
{
    const auto homed = [](const std::string &prefix, const std::vector<RegionName> &homes) {
        Route result = route(prefix, "slotview");
        result.allowedRegions = homes;
        return result;
    };
    const RoutingConfiguration routes(1, {},
                                      { homed("/a/", {}),
                                        homed("/b/", { RegionName("west"), RegionName("east") }),
                                        homed("/c/", { RegionName("east"), RegionName("south") }) },
                                      {});
    CHECK(routes.homesOf("BOOKINGS.example:80") == HomeRegions::fromList({ RegionName("east") }));
    CHECK(routes.homesOf("other.example").allRegions());
}

// Guards against small VMs that get as many callers as large ones.
TEST_CASE("Callers get the large VMs of a zone")
{
    const std::vector<EntryVm> vms { vm("small", "a", "west", 0.1), vm("big1", "a", "west", 0.5),
                                     vm("big2", "a", "west", 0.5), vm("tiny", "a", "west", 0.1) };
    const auto entries = entriesFor({ ZoneName("a"), RegionName("west"), {} }, vms, 64).vms;
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].vm.value() == "big1");
    CHECK(entries[1].vm.value() == "big2");
    // With a single large VM, a small one is returned as well.
    const auto two
            = entriesFor({ ZoneName("a"), RegionName("west"), {} }, { vms[0], vms[1] }, 64).vms;
    CHECK(two.size() == 2);
}
