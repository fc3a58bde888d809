#include "currantfall/Steering/RequestScope.h"

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Steering;

namespace {

struct Terms
{
    std::vector<std::string> keys { "key-1" };
    std::vector<std::string> routeHomes {};
    std::vector<std::string> tenantHomes {};
    bool publicAccess = false;
    bool hasRoute = true;
    std::string tenant = "a";
};

std::vector<Common::RegionName> regions(const std::vector<std::string> &names)
{
    return { names.begin(), names.end() };
}

RoutingConfiguration configuration(const Terms &terms)
{
    Route route;
    route.host = "h.example";
    route.prefix = "/a/";
    route.rank = 3;
    route.publicAccess = terms.publicAccess;
    route.allowedRegions = regions(terms.routeHomes);
    route.services = { { Common::ServiceName("s"), 1.0 } };
    Tenants::Tenant tenant;
    tenant.name = Common::TenantName(terms.tenant);
    tenant.keys = terms.keys;
    tenant.rank = 1;
    tenant.allowedRegions = regions(terms.tenantHomes);
    return RoutingConfiguration(1, {},
                                terms.hasRoute ? std::vector { route } : std::vector<Route>(), {},
                                Tenants::TenantTable({ tenant }));
}

std::optional<RequestScope> arrive(const RoutingConfiguration &configuration,
                                   const std::string &key = "key-1")
{
    return RequestScope::atArrival(configuration, *configuration.match("h.example", "/a/1"),
                                   { "h.example", "/a/1", key });
}

} // namespace

// Guards against requests outside the regions that route and tenant allow (HOME).
TEST_CASE("The homes of the route and of the tenant both bind")
{
    const auto before = configuration({ { "key-1" }, { "north", "south" }, { "south", "west" } });
    const auto scope = arrive(before);
    REQUIRE(scope);
    CHECK(scope->homes.contains(Common::RegionName("south")));
    CHECK_FALSE(scope->homes.contains(Common::RegionName("north")));
    CHECK_FALSE(scope->homes.contains(Common::RegionName("west")));
    const auto after = configuration({ { "key-1" }, {}, { "north" } });
    const auto homes = scope->homesNow(after);
    REQUIRE(homes);
    CHECK_FALSE(homes->contains(Common::RegionName("south")));
    CHECK_FALSE(homes->contains(Common::RegionName("north")));
}

TEST_CASE("The rank of the tenant precedes that of the route")
{
    const auto configured = configuration({});
    CHECK(arrive(configured)->rank == 1);
    const auto open = configuration({ { "key-1" }, {}, {}, true });
    CHECK(arrive(open, "")->rank == 3);
    CHECK(arrive(open, "")->tenant.empty());
}

// Guards against requests that wait, or are repeated, with a key that was withdrawn meanwhile.
TEST_CASE("A request does not outlive the key of its caller")
{
    const auto scope = arrive(configuration({}));
    REQUIRE(scope);
    CHECK(scope->tenant == Common::TenantName("a"));
    CHECK(scope->hasTenants);
    CHECK(scope->homesNow(configuration({ { "other", "key-1" } })));
    CHECK_FALSE(scope->homesNow(configuration({ { "other" } })));
    // The key of another tenant now.
    Terms moved;
    moved.tenant = "b";
    CHECK_FALSE(scope->homesNow(configuration(moved)));
    // A public route does not make a withdrawn key valid.
    CHECK_FALSE(scope->homesNow(configuration({ { "other" }, {}, {}, true })));
    // Requests that have arrived outlive their route, but not their key.
    Terms removed;
    removed.hasRoute = false;
    CHECK(scope->homesNow(configuration(removed)));
    removed.keys = { "other" };
    CHECK_FALSE(scope->homesNow(configuration(removed)));
}

TEST_CASE("A request without a valid key gets no scope")
{
    const auto configured = configuration({});
    CHECK_FALSE(arrive(configured, ""));
    CHECK_FALSE(arrive(configured, "key-2"));
    const auto open = arrive(configuration({ { "key-1" }, {}, {}, true }), "key-2");
    REQUIRE(open);
    CHECK(open->tenant.empty());
    // The route needs a key from now on.
    CHECK_FALSE(open->homesNow(configured));
}
