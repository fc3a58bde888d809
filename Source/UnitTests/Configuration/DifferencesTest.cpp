#include "currantfall/Configuration/Differences.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "Documents.h"
#include "currantfall/Configuration/DocumentReader.h"

namespace Currantfall::Configuration {

TEST_CASE("A changed slot count gives one line with the path of the backend server")
{
    const Environment before = parseEnvironment(exampleText("bellringer")).value();
    Environment after = before;
    after.services[1].backendServers[0].slots = 4;
    REQUIRE(describeDifferences(before, after)
            == std::vector<std::string> {
                    "services.bellbook.backend_servers.bellbook-lm-a-1.slots: 3 -> 4" });
}

TEST_CASE("An added or removed item gives one line, not one for each of its fields")
{
    const Environment before = parseEnvironment(exampleText("bellringer")).value();
    Environment after = before;
    after.services[3].name = Common::ServiceName("oldnews-2");
    after.tenants.pop_back();
    after.services[0].routes[0].methods.pop_back();
    REQUIRE(describeDifferences(before, after)
            == std::vector<std::string> { "services.oldnews: removed", "services.oldnews-2: added",
                                          "services.slotview.routes.HEAD /: removed",
                                          "tenants.kamloops: removed" });
}

TEST_CASE("Moving items shows no change, except for the priority of ranks")
{
    const Environment before = parseEnvironment(exampleText("velamar")).value();
    Environment after = before;
    std::reverse(after.services[0].backendServers.begin(), after.services[0].backendServers.end());
    std::reverse(after.clientBlocks.begin(), after.clientBlocks.end());
    std::swap(after.links[0].first, after.links[0].second);
    REQUIRE(describeDifferences(before, after).empty());
    std::swap(after.ranks[1], after.ranks[2]);
    after.services[2].rank = 2;
    after.services[3].rank = 1;
    REQUIRE(describeDifferences(before, after)
            == std::vector<std::string> { "ranks.archive.position: 3 -> 2",
                                          "ranks.uploads.position: 2 -> 3" });
}

} // namespace Currantfall::Configuration
