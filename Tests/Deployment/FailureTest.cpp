#include <algorithm>

#include <catch2/catch.hpp>

#include "DeploymentFixture.h"
#include "Outcomes.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

constexpr std::size_t callerThreads = 6;
constexpr std::size_t callsBefore = 60;
constexpr std::size_t callsAfter = 120;

} // namespace

TEST_CASE("A graceful shutdown of an entry VM is not noticed by callers")
{
    DeploymentFixture deployment;
    Callers bookings(deployment, callerThreads, true);
    Callers queries(deployment, callerThreads, false);
    waitForCalls(bookings, callsBefore);
    EntryVm &leaving = deployment.vm("entry-1");
    leaving.process->terminate();
    CHECK(leaving.process->wait() == 0);
    waitForCalls(bookings, callsAfter);
    const auto bookingRecords = bookings.finish();
    const auto queryRecords = queries.finish();
    CHECK(countOutcomes(bookingRecords).size() == 1);
    CHECK(countOutcomes(bookingRecords).count("answered") == 1);
    CHECK(countOutcomes(queryRecords).size() == 1);
    requireTrueOutcomes(deployment, bookingRecords);
    requireTrueOutcomes(deployment, queryRecords);
    CHECK(deployment.slotOverruns() == 0);
}

TEST_CASE("A killed entry VM causes no double execution and no false not-run")
{
    DeploymentFixture deployment;
    Callers bookings(deployment, callerThreads, true);
    Callers queries(deployment, callerThreads, false);
    waitForCalls(bookings, callsBefore);
    deployment.vm("entry-3").process->kill();
    deployment.vm("entry-3").process.reset();
    waitForCalls(bookings, callsAfter);
    // The killed VM comes back as another incarnation, which knows none of its old keys.
    deployment.startVm(deployment.vm("entry-3"));
    deployment.waitReady(deployment.vm("entry-3"));
    waitForCalls(bookings, callsAfter);
    const auto bookingRecords = bookings.finish();
    requireTrueOutcomes(deployment, bookingRecords);
    requireTrueOutcomes(deployment, queries.finish());
    CHECK(countOutcomes(bookingRecords)["answered"] > callsBefore);
}

TEST_CASE("A paused entry VM does not use what lapsed when it wakes")
{
    DeploymentFixture deployment;
    Callers bookings(deployment, callerThreads, true);
    waitForCalls(bookings, callsBefore);
    EntryVm &paused = deployment.vm("entry-5");
    paused.process->pause();
    // The rest takes over its backend servers, after which its ownership has lapsed.
    waitUntil([&] {
        const json services = deployment.status(deployment.vm("entry-6")).value("services", json());
        std::size_t slots = 0;
        for (const auto &service : services) {
            slots += service.at("slots").get<std::size_t>();
        }
        return slots == 24;
    });
    paused.process->resume();
    deployment.waitReady(paused);
    waitForCalls(bookings, callsAfter);
    requireTrueOutcomes(deployment, bookings.finish());
    CHECK(deployment.slotOverruns() == 0);
}

TEST_CASE("A platform outage is not noticed by callers and fails promotions clearly")
{
    DeploymentFixture deployment;
    Callers bookings(deployment, callerThreads, true);
    waitForCalls(bookings, callsBefore);
    deployment.setPlatformFaults({ { "outage", true } });
    CHECK(deployment.runTool({ "promote", deployment.documentPath() }) == 3);
    CHECK(deployment.runTool({ "drain", "start", "zone", "lm-a" }) == 3);
    waitForCalls(bookings, callsAfter);
    const auto records = bookings.finish();
    CHECK(countOutcomes(records).size() == 1);
    CHECK(countOutcomes(records).count("answered") == 1);
    requireTrueOutcomes(deployment, records);
}

TEST_CASE("A VM that starts during a platform outage takes its configuration from peers")
{
    DeploymentFixture deployment({ "entry-2" });
    deployment.setPlatformFaults({ { "outage", true } });
    deployment.startVm(deployment.vm("entry-2"));
    deployment.waitReady(deployment.vm("entry-2"));
    CHECK(deployment.status(deployment.vm("entry-2")).at("revision") == 1);
}

TEST_CASE("A drained availability zone gets no new work and cuts no request")
{
    DeploymentFixture deployment;
    Callers bookings(deployment, callerThreads, true);
    Callers queries(deployment, callerThreads, false);
    waitForCalls(bookings, callsBefore);
    REQUIRE(deployment.runTool({ "drain", "start", "zone", "ok-a" }) == 0);
    waitUntil([&] {
        const json drains = deployment.status(deployment.vm("entry-5")).value("drains", json());
        return drains.size() == 1 && drains[0]["held"] == 0;
    });
    const auto startedIn = [&](const std::string &zone) {
        std::size_t started = 0;
        const json summary = deployment.executionSummary();
        for (const json &server : summary.at("servers")) {
            const std::string name = server.at("server");
            if (name.find(zone) != std::string::npos) {
                started += server.at("started").get<std::size_t>();
            }
        }
        return started;
    };
    const std::size_t before = startedIn("ok-a");
    waitForCalls(bookings, callsAfter);
    CHECK(startedIn("ok-a") == before);
    REQUIRE(deployment.runTool({ "drain", "finish", "zone", "ok-a" }) == 0);
    const auto bookingRecords = bookings.finish();
    const auto queryRecords = queries.finish();
    CHECK(countOutcomes(bookingRecords).size() == 1);
    CHECK(countOutcomes(bookingRecords).count("answered") == 1);
    CHECK(countOutcomes(queryRecords).count("answered") == 1);
    CHECK(countOutcomes(queryRecords).size() == 1);
    requireTrueOutcomes(deployment, bookingRecords);
}
