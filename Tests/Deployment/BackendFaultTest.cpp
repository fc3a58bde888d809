#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "DeploymentFixture.h"
#include "Outcomes.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

constexpr std::size_t callerThreads = 4;
constexpr std::size_t callsPerFault = 60;
constexpr std::size_t callsPerStorm = 300;
// Each VM may use two retries per service before it has earned any.
constexpr double reservedRetries = 2.0 * 10;
// A leaving server gets no new work after this time.
constexpr std::chrono::milliseconds drainTime { 3000 };
// In this time requests that are under way arrive.
constexpr std::chrono::milliseconds arrivalTime { 500 };
constexpr std::chrono::milliseconds observationTime { 2000 };
constexpr std::chrono::milliseconds pauseTime { 2000 };
constexpr int pausesObserved = 3;
constexpr std::size_t maxRequestsInPause = 2;

/// Drives both kinds of callers until each has completed `calls` more.
struct Traffic
{
    explicit Traffic(const DeploymentFixture &deployment)
        : bookings(deployment, callerThreads, true), queries(deployment, callerThreads, false)
    { }

    void run(std::size_t calls) const
    {
        waitForCalls(this->bookings, calls);
        waitForCalls(this->queries, calls);
    }

    Callers bookings;
    Callers queries;
};

/// Runs both kinds of callers under one behaviour of all backend servers.
void requireTrueUnder(const DeploymentFixture &deployment, const json &behaviour)
{
    INFO(behaviour.dump());
    const double retriesBefore = deployment.metric("currantfall_retries_total");
    deployment.setBackendBehaviour(behaviour, "-");
    Traffic traffic(deployment);
    traffic.run(callsPerFault);
    const auto bookings = traffic.bookings.finish();
    const auto queries = traffic.queries.finish();
    requireTrueOutcomes(deployment, bookings);
    requireTrueOutcomes(deployment, queries);
    CHECK(countOutcomes(queries)["answered"] > 0);
    const double retries = deployment.metric("currantfall_retries_total") - retriesBefore;
    const auto requests = static_cast<double>(bookings.size() + queries.size());
    // A hanging server is noticed at the deadline, when there is no time for a retry.
    CHECK((retries > 0 || behaviour["hang"] != 0));
    CHECK(retries <= 0.1 * requests + 2 * reservedRetries);
}

/// The counters of the backend servers of the two services that are called, by name.
json countersOf(const DeploymentFixture &deployment, const std::string &part)
{
    json counters = json::object();
    const json summary = deployment.executionSummary();
    for (const json &server : summary.at("servers")) {
        const auto name = server.at("server").get<std::string>();
        const bool called = name.starts_with("slotview") || name.starts_with("bellbook");
        if (called && name.find(part) != std::string::npos) {
            counters[name] = server;
        }
    }
    return counters;
}

/// Waits until each of these servers has started another request.
void waitForNewWork(const DeploymentFixture &deployment, const std::string &part)
{
    const json before = countersOf(deployment, part);
    waitUntil([&] {
        const json now = countersOf(deployment, part);
        return std::all_of(before.items().begin(), before.items().end(), [&](const auto &server) {
            return now.at(server.key()).at("started") > server.value().at("started");
        });
    });
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

bool isExpired(const CallRecord &record)
{
    return record.outcome == "answered" && record.status != 200;
}

} // namespace

// Guards against passing on what a faulty backend server sends, and against repeating what it ran.
TEST_CASE("Faulty backend servers cause no wrong answer, false not-run or double execution")
{
    const DeploymentFixture deployment;
    const json healthy {
        { "truncate", 0 }, { "mismatch", 0 }, { "close_after_run", 0 }, { "hang", 0 }
    };
    for (const auto &[fault, fraction] : { std::pair { "truncate", 0.3 },
                                           { "mismatch", 0.3 },
                                           { "close_after_run", 0.3 },
                                           { "hang", 0.05 } }) {
        json behaviour = healthy;
        behaviour[fault] = fraction;
        requireTrueUnder(deployment, behaviour);
    }
    CHECK(deployment.slotOverruns() == 0);
}

// Guards against a final not-run from the retry after a first attempt that has run.
TEST_CASE("A shed retry does not turn an unknown outcome into not-run")
{
    const DeploymentFixture deployment;
    deployment.setBackendBehaviour({ { "draining", true } }, "slotview-");
    deployment.setBackendBehaviour({ { "draining", false }, { "close_after_run", 1 } },
                                   "slotview-lm-a-1");
    Callers queries(deployment, callerThreads, false);
    waitForCalls(queries, callsPerFault);
    const auto records = queries.finish();
    requireTrueOutcomes(deployment, records);
    CHECK(countOutcomes(records)["answered"] == 0);
    CHECK(countOutcomes(records)["outcome-unknown"] > 0);
}

// Guards against retries that multiply the load when part of the backend servers fails: attempts
// stay below 1.1 times the requests, and few callers notice.
TEST_CASE("A failing third of the backend servers causes no retry storm")
{
    const std::vector<std::string> third { "-lm-a-2", "-lm-b-2", "-ok-a-2", "-is-b-1" };
    std::vector<std::string> separate;
    for (const std::string service : { "slotview", "bellbook", "scrollcast", "oldnews" }) {
        for (const std::string &server : third) {
            separate.push_back(service + server);
        }
    }
    DeploymentFixture deployment(DeploymentOptions { .separate = separate });
    const auto change = [&](const json &behaviour) {
        for (const std::string &server : third) {
            deployment.setBackendBehaviour(behaviour, server);
        }
    };
    std::size_t requests = 0;
    const auto requireFewFailures = [&](const std::string &failure) {
        INFO(failure);
        Traffic traffic(deployment);
        traffic.run(callsPerStorm);
        auto records = traffic.queries.finish();
        // An answer that says "expired" was in the queue of a VM whose servers had all failed.
        CHECK(std::count_if(records.begin(), records.end(), isExpired) == 0);
        CHECK(countOutcomes(records)["answered"] >= records.size() * 9 / 10);
        requests += records.size();
        records = traffic.bookings.finish();
        CHECK(std::count_if(records.begin(), records.end(), isExpired) == 0);
        CHECK(countOutcomes(records)["answered"] >= records.size() * 8 / 10);
        requests += records.size();
        const auto allowed = 1.1 * static_cast<double>(requests) + 2 * reservedRetries;
        CHECK(deployment.metric("currantfall_backend_attempts_total") <= allowed);
    };
    change({ { "draining", true } });
    requireFewFailures("refusing");
    change({ { "draining", false }, { "close_after_run", 1 } });
    requireFewFailures("closing");
    change({ { "close_after_run", 0 } });
    requireFewFailures("recovered");
    deployment.separateBackends().kill();
    requireFewFailures("dead");
    CHECK(deployment.slotOverruns() == 0);
}

// Guards against new work on a server after it has announced in its answers that it leaves, and
// against a server that stays out of use after its restart.
TEST_CASE("Backend servers that leave by their answers get no new work until their next run")
{
    const std::string part = "-lm-a-1";
    const DeploymentFixture deployment;
    Traffic traffic(deployment);
    waitForNewWork(deployment, part);
    const std::size_t servers = countersOf(deployment, part).size();
    CHECK(servers == 2);
    deployment.setBackendBehaviour({ { "leaving", true } }, part);
    waitUntil([&] {
        return deployment.metric("currantfall_backend_leaving_total")
               >= static_cast<double>(servers);
    });
    // Later than the announcements.
    const std::int64_t noticed = wallClockMs();
    std::this_thread::sleep_for(drainTime + arrivalTime + observationTime);
    traffic.run(callsPerFault);
    const json after = countersOf(deployment, part);
    for (const auto &[name, counters] : after.items()) {
        INFO(name << " noticed at " << noticed << " " << counters.dump());
        // A request that was started in time may still be on its way.
        CHECK(counters.at("last_new_work_ms") <= noticed + (drainTime + arrivalTime).count());
    }
    deployment.setBackendBehaviour({ { "leaving", false } }, part);
    waitForNewWork(deployment, part);
    for (const auto &records : { traffic.bookings.finish(), traffic.queries.finish() }) {
        requireTrueOutcomes(deployment, records);
        requireAllAnswered(records);
    }
    CHECK(deployment.slotOverruns() == 0);
}

// Guards against requests to a server that has asked this VM for a pause, and against a pause that
// does not end.
TEST_CASE("Backend servers that ask for pauses are left alone and used again afterwards")
{
    const std::string part = "-lm-a-1";
    const DeploymentFixture deployment;
    Traffic traffic(deployment);
    waitForNewWork(deployment, part);
    CHECK(countersOf(deployment, part).size() == 2);
    for (const double share : { 1.0, 0.3 }) {
        const json behaviour { { "pause", share }, { "pause_ms", pauseTime.count() } };
        INFO(behaviour.dump());
        const json before = countersOf(deployment, part);
        deployment.setBackendBehaviour(behaviour, part);
        std::this_thread::sleep_for(pausesObserved * pauseTime);
        traffic.run(callsPerFault);
        const json after = countersOf(deployment, part);
        for (const auto &[name, counters] : after.items()) {
            INFO(counters.dump());
            CHECK(counters.at("paused") > before.at(name).at("paused"));
            CHECK(counters.at("max_requests_in_pause") <= maxRequestsInPause);
        }
    }
    CHECK(deployment.metric("currantfall_backend_pauses_total") >= 4);
    deployment.setBackendBehaviour({ { "pause", 0 } }, part);
    waitForNewWork(deployment, part);
    std::size_t refused = 0;
    for (const auto &records : { traffic.bookings.finish(), traffic.queries.finish() }) {
        requireTrueOutcomes(deployment, records);
        auto outcomes = countOutcomes(records);
        CHECK(outcomes["answered"] + outcomes["not-run"] == records.size());
        refused += outcomes["not-run"];
    }
    // A refusal that can't be retried reaches its caller; no other request is refused.
    std::size_t paused = 0;
    const json last = countersOf(deployment, part);
    for (const auto &[name, counters] : last.items()) {
        paused += counters.at("paused").get<std::size_t>();
    }
    CHECK(refused <= paused);
    CHECK(deployment.slotOverruns() == 0);
}

// Guards against hedges that don't help, and against losing attempts that keep their slots.
TEST_CASE("Hedges answer queries that hang, and cancel the losing attempts")
{
    const DeploymentFixture deployment;
    Callers queries(deployment, callerThreads, false);
    // Hedges need measured answer times first, and a budget.
    waitForCalls(queries, callsPerStorm);
    deployment.setBackendBehaviour({ { "hang", 0.05 } }, "slotview-");
    waitForCalls(queries, callsPerStorm);
    const auto records = queries.finish();
    requireTrueOutcomes(deployment, records);
    CHECK(deployment.metric("currantfall_hedges_total") > 0);
    CHECK(deployment.executionSummary().at("totals").at("cancelled") > 0);
    waitUntil([&] { return deployment.executionSummary().at("totals").at("in_use") == 0; });
}
