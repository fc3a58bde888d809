#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "currantfall/Placement/DirectPowerOfTwo.h"
#include "currantfall/Placement/LookupPlanner.h"
#include "currantfall/Placement/RequestRouter.h"

#include "PlacementFixture.h"

using namespace Currantfall::Common;
using namespace Currantfall::Placement;
using namespace Currantfall::Placement::Testing;

namespace {

std::vector<std::string> plan(const std::vector<PlacementMember> &members, std::uint64_t seed = 1)
{
    std::vector<std::string> result;
    const auto entries = LookupPlanner::plan(environment(1), members, ServiceName("s"),
                                             ZoneName("r1-a"), seed);
    result.reserve(entries.size());
    for (const VmName &vm : entries) {
        result.push_back(vm.value());
    }
    return result;
}

std::vector<std::string> route(const std::vector<PlacementMember> &members,
                               const std::vector<std::string> &excluded = {},
                               const std::vector<std::string> &withCredit = {},
                               std::uint64_t random = 0, bool everywhereOnCredit = false)
{
    RouteQuery query;
    query.self = VmName("self");
    query.service = ServiceName("s");
    query.random = random;
    query.everywhereOnCredit = everywhereOnCredit;
    for (const std::string &vm : excluded) {
        query.excluded.insert(VmName(vm));
    }
    for (const std::string &vm : withCredit) {
        query.withCredit.insert(VmName(vm));
    }
    std::vector<std::string> result;
    for (const RouteTarget &target : RequestRouter::route(environment(1), members, query)) {
        result.push_back(target.vm.value());
    }
    return result;
}

} // namespace

TEST_CASE("A lookup returns near VMs that own slots first and never leaving ones")
{
    PlacementMember leaving = member("leaving", "r1-a", 4, 4);
    leaving.leaving = true;
    const std::vector members { member("far", "r2-a", 9, 9), leaving, member("none", "r1-a"),
                                member("near", "r1-b", 2, 2), member("own", "r1-a", 0, 2) };
    REQUIRE(plan(members) == std::vector<std::string> { "own", "none", "near" });
}

TEST_CASE("A lookup has an alternative entry as long as any VM can be one")
{
    PlacementMember suspect = member("suspect", "r1-a", 2, 2);
    suspect.suspect = true;
    REQUIRE(plan({ member("own", "r1-a", 1, 2), member("far", "r2-a", 1, 2), suspect })
            == std::vector<std::string> { "own", "far" });
    REQUIRE(plan({ member("own", "r1-a", 1, 2), suspect })
            == std::vector<std::string> { "own", "suspect" });
    std::vector<PlacementMember> many;
    many.reserve(10);
    for (int index = 0; index < 10; ++index) {
        many.push_back(member("vm-" + std::to_string(index), "r1-a", 1, 1));
    }
    REQUIRE(plan(many).size() == LookupPlanner::mostEntries);
}

TEST_CASE("Lookups spread callers by free slots, and repeat their answer for the same seed")
{
    const std::vector members { member("small", "r1-a", 1, 10), member("large", "r1-a", 9, 10) };
    std::map<std::string, int> first;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        ++first[plan(members, seed).front()];
        REQUIRE(plan(members, seed) == plan(members, seed));
    }
    // The weights are 2 and 10.
    REQUIRE(first["small"] > 120);
    REQUIRE(first["small"] < 215);
}

TEST_CASE("A request goes to free slots in its region before it queues, and to credits before a "
          "long queue")
{
    const std::vector members { member("self", "r1-a", 0, 2, 1), member("mate", "r1-a", 0, 2, 5),
                                member("near", "r1-b", 1, 2), member("far", "r2-a", 2, 2) };
    REQUIRE(route(members) == std::vector<std::string> { "near", "self", "mate" });
    REQUIRE(route(members, { "near" }, { "far" })
            == std::vector<std::string> { "self", "far", "mate" });
}

// Guards against callers of a lost region who take slots of this one as if they were its own.
TEST_CASE("A request of another region's caller goes to owners on credit only")
{
    const std::vector members { member("self", "r1-a", 2, 2), member("mate", "r1-a", 2, 2),
                                member("far", "r2-a", 2, 2) };
    REQUIRE(route(members, {}, {}, 0, true).empty());
    REQUIRE(route(members, {}, { "mate", "far" }, 0, true)
            == std::vector<std::string> { "mate", "far" });
    REQUIRE(route(members, {}, { "self" }, 0, true) == std::vector<std::string> { "self" });
}

TEST_CASE("A request is not sent to leaving or suspect owners")
{
    std::vector members { member("self", "r1-a", 1, 2), member("mate", "r1-a", 2, 2) };
    REQUIRE(route(members).front() == "self");
    members[0].leaving = true;
    members[1].suspect = true;
    REQUIRE(route(members).empty());
}

TEST_CASE("Owners with equal load share the requests, and the most loaded one is never first")
{
    const std::vector members { member("self", "r1-a"), member("x", "r1-a", 2, 4),
                                member("y", "r1-a", 2, 4), member("full", "r1-a", 1, 4) };
    std::set<std::string> first;
    for (std::uint64_t random = 0; random < 64; ++random) {
        first.insert(route(members, {}, {}, random * 0x9e3779b97f4a7c15U).front());
    }
    REQUIRE(first == std::set<std::string> { "x", "y" });
}

TEST_CASE("The baseline chooses the less loaded of two servers and none that is excluded")
{
    const std::vector<BackendServerLoad> servers { { BackendServerName("a"), 2, 2 },
                                                   { BackendServerName("b"), 0, 2 } };
    REQUIRE(DirectPowerOfTwo::choose(servers, {}, 0) == BackendServerName("b"));
    REQUIRE(DirectPowerOfTwo::choose(servers, { BackendServerName("b") }, 0)
            == BackendServerName("a"));
    REQUIRE(!DirectPowerOfTwo::choose({}, {}, 0));
}
