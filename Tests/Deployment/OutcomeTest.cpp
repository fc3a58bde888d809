#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "DeploymentFixture.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

constexpr std::size_t callerThreads = 4;
constexpr std::size_t calls = 80;
constexpr int backendPort = 9000;

/// Changes the servers of one service: the one at x.x.`service`.1 and x.x.`service`.2 of the zone.
void setService(const DeploymentFixture &deployment, const std::string &zone, int service,
                const json &behaviour)
{
    const std::string client = deployment.clientIn(zone);
    const std::string network = client.substr(0, client.find(".200.200"));
    for (int server = 1; server <= 2; ++server) {
        httplib::Client control(network + "." + std::to_string(service) + "."
                                        + std::to_string(server),
                                backendPort);
        REQUIRE(control.Post("/_control/behaviour", behaviour.dump(), "application/json"));
    }
}

} // namespace

// Guards against not-run for a query whose first attempt ran and whose retry was refused.
TEST_CASE("A query that may have run is not called not-run when its retry is refused")
{
    DeploymentFixture deployment;
    // The first attempt in the callers' zone runs and its answer is cut; all others shed.
    for (const std::string &zone : deployment.zoneNames()) {
        setService(deployment, zone, 1,
                   zone == "lm-a" ? json { { "truncate", 1 } } : json { { "draining", true } });
    }
    Callers queries(deployment, callerThreads, false);
    waitUntil([&] { return queries.completed() >= calls; });
    const auto records = queries.finish();
    std::vector<std::string> ids;
    for (const CallRecord &record : records) {
        ids.push_back(record.requestId);
    }
    const json executions = deployment.executions(ids);
    std::size_t ranUnanswered = 0;
    for (const CallRecord &record : records) {
        INFO(record.requestId << " " << record.outcome);
        const int ran = executions.at(record.requestId).at("ran").get<int>();
        CHECK((record.outcome != "not-run" || ran == 0));
        ranUnanswered += ran > 0 && record.outcome == "outcome-unknown" ? 1 : 0;
    }
    CHECK(ranUnanswered > 0);
    for (int number = 1; number <= 10; ++number) {
        CHECK(deployment.vm("entry-" + std::to_string(number)).process->running());
    }
}
