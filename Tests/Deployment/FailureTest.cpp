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
    requireAllAnswered(bookingRecords);
    requireAllAnswered(queryRecords);
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
    requireAllAnswered(records);
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
