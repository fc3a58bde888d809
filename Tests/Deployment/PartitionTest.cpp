#include <fstream>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>

#include "DeploymentFixture.h"
#include "Outcomes.h"
#include "RevisionWatch.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

constexpr std::size_t callerThreads = 4;
constexpr std::size_t calls = 60;

DeploymentOptions withLinks()
{
    DeploymentOptions options;
    options.zoneLinks = true;
    return options;
}

/// Promotes the document with another lookup TTL, which changes nothing else.
void promoteAgain(const DeploymentFixture &deployment, int ttlMs)
{
    std::stringstream text;
    text << std::ifstream(deployment.documentPath()).rdbuf();
    const std::string changed = std::regex_replace(text.str(), std::regex("ttl_ms: [0-9]+"),
                                                   "ttl_ms: " + std::to_string(ttlMs));
    std::ofstream(deployment.documentPath()) << changed;
    REQUIRE(deployment.runTool({ "promote", deployment.documentPath() }) == 0);
}

void waitForRevision(DeploymentFixture &deployment, const std::vector<std::string> &vms,
                     int revision)
{
    for (const std::string &vm : vms) {
        waitUntil([&] {
            return deployment.status(deployment.vm(vm)).value("revision", 0) == revision;
        });
    }
}

/// Waits until `viewer` sees the member in the state.
void waitForState(DeploymentFixture &deployment, const std::string &viewer,
                  const std::string &member, const std::string &state)
{
    waitUntil([&] {
        const json members
                = deployment.status(deployment.vm(viewer)).value("members", json::array());
        return std::any_of(members.begin(), members.end(), [&](const json &entry) {
            return entry["vm"] == member && entry["state"] == state;
        });
    });
}

} // namespace

// Guards against a zone that stops serving without the platform and the other zones, that keeps an
// old document after healing, and against keyed work that runs on both sides of the cut.
TEST_CASE("A zone cut off from everything serves its callers and adopts the highest revision")
{
    DeploymentFixture deployment(withLinks());
    RevisionWatch watch(deployment);
    Callers inside(deployment, callerThreads, true, { "lm-a" });
    Callers outside(deployment, callerThreads, true, { "lm-b", "ok-a", "is-a" });
    waitForCalls(inside, calls);
    deployment.links().isolate({ "lm-a" }, true);
    promoteAgain(deployment, 2001);
    promoteAgain(deployment, 2002);
    waitForRevision(deployment, { "entry-3", "entry-5", "entry-9" }, 3);
    waitForState(deployment, "entry-1", "entry-3", "suspect");
    waitForState(deployment, "entry-3", "entry-1", "suspect");
    Callers queries(deployment, callerThreads, false, { "lm-a" });
    Callers bookings(deployment, callerThreads, true, { "lm-a" });
    waitForCalls(queries, calls);
    waitForCalls(bookings, calls);
    CHECK(deployment.status(deployment.vm("entry-1")).at("revision") == 1);
    const auto queryRecords = queries.finish();
    const auto bookingRecords = bookings.finish();
    deployment.links().isolate({ "lm-a" }, false);
    waitForRevision(deployment, { "entry-1", "entry-2" }, 3);
    waitForState(deployment, "entry-1", "entry-3", "live");
    waitForState(deployment, "entry-3", "entry-1", "live");
    waitForCalls(inside, calls);
    const auto insideRecords = inside.finish();
    const auto outsideRecords = outside.finish();
    requireAllAnswered(queryRecords);
    requireAllAnswered(bookingRecords);
    for (const auto &records : { queryRecords, bookingRecords, insideRecords, outsideRecords }) {
        requireTrueOutcomes(deployment, records);
    }
    CHECK(countOutcomes(insideRecords)["answered"] > calls);
    CHECK(watch.finish() == 0);
}

// Guards against two zones that stay at different revisions, or both keep each other's backend
// servers, after they could not hear each other.
TEST_CASE("Two zones cut from each other but not from the platform converge")
{
    DeploymentFixture deployment(withLinks());
    RevisionWatch watch(deployment);
    Callers bookings(deployment, callerThreads, true, { "lm-a", "lm-b" });
    Callers queries(deployment, callerThreads, false, { "lm-a", "lm-b" });
    waitForCalls(bookings, calls);
    deployment.links().set("lm-a", "lm-b", { { "cut", true } });
    waitForState(deployment, "entry-1", "entry-3", "suspect");
    waitForState(deployment, "entry-3", "entry-1", "suspect");
    promoteAgain(deployment, 2001);
    waitForRevision(deployment, { "entry-1", "entry-2", "entry-3", "entry-4" }, 2);
    waitForCalls(bookings, calls);
    deployment.links().set("lm-a", "lm-b", { { "cut", false } });
    waitForState(deployment, "entry-1", "entry-3", "live");
    waitForState(deployment, "entry-3", "entry-1", "live");
    deployment.waitAllSlotsOwned();
    waitForCalls(bookings, calls);
    const auto bookingRecords = bookings.finish();
    const auto queryRecords = queries.finish();
    requireTrueOutcomes(deployment, bookingRecords);
    requireTrueOutcomes(deployment, queryRecords);
    CHECK(countOutcomes(bookingRecords)["answered"] > 2 * calls);
    CHECK(countOutcomes(queryRecords)["wrong"] == 0);
    CHECK(watch.finish() == 0);
}
