#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "DeploymentFixture.h"
#include "Outcomes.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

constexpr std::size_t callerThreads = 6;
constexpr std::size_t callsBefore = 60;
constexpr std::size_t callsAfter = 120;

/// Work that the VM holds of the only drain in force; nothing until the drain has arrived.
bool holdsNothing(const DeploymentFixture &deployment, const EntryVm &vm)
{
    const json drains = deployment.status(vm).value("drains", json());
    return drains.size() == 1 && drains[0]["held"] == 0;
}

/// Attempts that the backend servers of a name part have started.
std::size_t startedAt(const DeploymentFixture &deployment, const std::string &namePart)
{
    std::size_t started = 0;
    const json summary = deployment.executionSummary();
    for (const json &server : summary.at("servers")) {
        if (server.at("server").get<std::string>().find(namePart) != std::string::npos) {
            started += server.at("started").get<std::size_t>();
        }
    }
    return started;
}

/// Keyed and idempotent callers of all zones.
struct Load
{
    explicit Load(const DeploymentFixture &deployment)
        : deployment(deployment), bookings(deployment, callerThreads, true),
          queries(deployment, callerThreads, false)
    {
        waitForCalls(this->bookings, callsBefore);
    }

    void waitForMore() { waitForCalls(this->bookings, callsAfter); }

    /// Ends the calls and requires that all were answered truly.
    void requireNoErrors()
    {
        for (Callers *callers : { &this->bookings, &this->queries }) {
            const auto records = callers->finish();
            requireAllAnswered(records);
            requireTrueOutcomes(this->deployment, records);
        }
    }

    const DeploymentFixture &deployment;
    Callers bookings;
    Callers queries;
};

} // namespace

TEST_CASE("A drained availability zone gets no new work and cuts no request")
{
    DeploymentFixture deployment;
    Load load(deployment);
    REQUIRE(deployment.runTool({ "drain", "start", "zone", "ok-a" }) == 0);
    // Each VM of the zone reports only its own backend servers.
    for (const std::string name : { "entry-5", "entry-6" }) {
        waitUntil([&] { return holdsNothing(deployment, deployment.vm(name)); });
    }
    const std::size_t before = startedAt(deployment, "ok-a");
    load.waitForMore();
    CHECK(startedAt(deployment, "ok-a") == before);
    REQUIRE(deployment.runTool({ "drain", "finish", "zone", "ok-a" }) == 0);
    load.requireNoErrors();
}

// Guards against an owner that goes on starting work on one of several backend servers of a zone.
TEST_CASE("A drained backend server gets no new work and cuts no request")
{
    DeploymentFixture deployment;
    Load load(deployment);
    const std::string server = "bellbook-lm-a-1";
    REQUIRE(deployment.runTool({ "drain", "start", "backend-server", server }) == 0);
    for (const std::string name : { "entry-1", "entry-2" }) {
        waitUntil([&] { return holdsNothing(deployment, deployment.vm(name)); });
    }
    const std::size_t before = startedAt(deployment, server);
    load.waitForMore();
    CHECK(startedAt(deployment, server) == before);
    // After the drain the server gets work again.
    REQUIRE(deployment.runTool({ "drain", "finish", "backend-server", server }) == 0);
    waitUntil([&] { return startedAt(deployment, server) > before; });
    load.requireNoErrors();
}

// Guards against a drained VM that is still named to callers, keeps slots, or loses the keys that
// it has issued.
TEST_CASE("A drained VM gives up its slots and its callers without an error")
{
    DeploymentFixture deployment;
    Load load(deployment);
    REQUIRE(deployment.runTool({ "drain", "start", "vm", "entry-3" }) == 0);
    EntryVm &drained = deployment.vm("entry-3");
    waitUntil([&] {
        return holdsNothing(deployment, drained)
               && deployment.status(drained).value("services", json { 0 }).empty();
    });
    waitUntil([&] {
        const json entries = deployment.lookup("bellbook", "lm-b").value("entries", json());
        return !entries.empty()
               && std::none_of(entries.begin(), entries.end(),
                               [](const json &entry) { return entry["vm"] == "entry-3"; });
    });
    deployment.waitAllSlotsOwned();
    load.waitForMore();
    drained.process->terminate();
    CHECK(drained.process->wait() == 0);
    load.waitForMore();
    load.requireNoErrors();
    CHECK(deployment.slotOverruns() == 0);
}
