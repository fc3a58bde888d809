#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>

#include <catch2/catch.hpp>

#include "Callers.h"
#include "FaultDriver.h"
#include "Support/RunSupport.h"

using namespace Currantfall::Tests;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t idsPerQuery = 5000;
constexpr std::size_t calmCalls = 200;

struct RunSettings
{
    std::uint64_t seed = 0;
    milliseconds length { 0 };
    milliseconds meanGap { 0 };
    std::size_t threads = 0; ///< Callers of each kind.
    json behaviour = json::object();
    std::string kinds; ///< Names of the faults that come about, with commas; empty for all.
};

/// What became of the requests of a run, compared with what the backend servers did.
struct Verdict
{
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, std::size_t> reasons; ///< Of refusals and unknown outcomes.
    std::vector<std::string> violations;
};

void judge(const CallRecord &record, const json &counts, Verdict &verdict)
{
    const int started = counts.at("started").get<int>();
    const int ran = counts.at("ran").get<int>();
    const auto wrong = [&](const std::string &what) {
        verdict.violations.push_back(what + ": " + record.requestId + " " + record.outcome + " "
                                     + std::to_string(record.status) + " " + record.reason
                                     + ", started " + std::to_string(started) + ", ran "
                                     + std::to_string(ran));
    };
    ++verdict.outcomes[record.outcome];
    if (record.outcome != "answered") {
        ++verdict.reasons[record.outcome + " " + record.reason
                          + (record.shortDeadline ? " (short deadline)" : "")];
    }
    if (record.wrong) {
        wrong("wrong or partial answer");
    }
    if (record.keyed && started > 1) {
        wrong("executed twice");
    }
    // A query that a caller has sent again after a lost connection may have run the first time.
    if (record.outcome == "not-run" && started > 0 && (record.keyed || !record.repeated)) {
        wrong("false not-run");
    }
    if (record.outcome == "answered" && record.status == 200 && ran == 0) {
        wrong("answered without execution");
    }
    if (record.outcome != "answered" && record.outcome != "not-run"
        && record.outcome != "outcome-unknown" && record.outcome != "unreachable") {
        wrong("no outcome");
    }
}

Verdict judge(const DeploymentFixture &deployment, const std::vector<CallRecord> &records)
{
    Verdict verdict;
    for (std::size_t first = 0; first < records.size(); first += idsPerQuery) {
        const std::size_t end = std::min(records.size(), first + idsPerQuery);
        std::vector<std::string> ids;
        for (std::size_t index = first; index < end; ++index) {
            ids.push_back(records[index].requestId);
        }
        const json executions = deployment.executions(ids);
        for (std::size_t index = first; index < end; ++index) {
            judge(records[index], executions.at(records[index].requestId), verdict);
        }
    }
    return verdict;
}

/// Fresh callers while nothing fails: all are answered, and no slot is used twice.
void requireWell(DeploymentFixture &deployment, std::size_t threads)
{
    const auto overruns = [&] {
        return deployment.executionSummary().at("totals").at("slot_overruns").get<std::size_t>();
    };
    const std::size_t before = overruns();
    Callers bookings(deployment, threads, true);
    Callers queries(deployment, threads, false);
    waitUntil(
            [&] { return bookings.completed() >= calmCalls && queries.completed() >= calmCalls; });
    for (Callers *const callers : { &bookings, &queries }) {
        const Verdict verdict = judge(deployment, callers->finish());
        requireNone(verdict.violations);
        INFO(json(verdict.outcomes).dump());
        CHECK(verdict.outcomes.size() == 1);
        CHECK(verdict.outcomes.count("answered") == 1);
    }
    CHECK(overruns() == before);
    CHECK(deployment.slotOverruns() == 0);
}

/// The schedule; with `kinds` the others are left out and the rest keeps its times.
std::vector<Fault> faultsOf(const RunSettings &settings)
{
    std::vector<Fault> faults = faultSchedule(settings.seed, settings.length, settings.meanGap);
    std::erase_if(faults, [&settings](const Fault &fault) {
        return !settings.kinds.empty()
               && ("," + settings.kinds + ",").find("," + toString(fault.kind) + ",")
                          == std::string::npos;
    });
    return faults;
}

void runWithFaults(const RunSettings &settings)
{
    const std::vector<Fault> faults = faultsOf(settings);
    std::cout << "seed " << settings.seed << ", " << faults.size() << " faults" << std::endl;
    for (const Fault &fault : faults) {
        std::cout << fault.toJson().dump() << "\n";
    }
    std::cout << std::flush;
    DeploymentFixture deployment;
    deployment.setBackendBehaviour(settings.behaviour);
    FaultDriver driver(deployment);
    Callers bookings(deployment, settings.threads, true, {}, { .shortDeadlines = true });
    Callers queries(deployment, settings.threads, false, {}, { .shortDeadlines = true });
    driver.run(faults);
    const auto bookingRecords = bookings.finish();
    const auto queryRecords = queries.finish();
    driver.settle();
    const Verdict booked = judge(deployment, bookingRecords);
    const Verdict queried = judge(deployment, queryRecords);
    const json summary { { "seed", settings.seed },
                         { "seconds", settings.length.count() / 1000 },
                         { "keyed", bookingRecords.size() },
                         { "keyed_outcomes", booked.outcomes },
                         { "keyed_reasons", booked.reasons },
                         { "idempotent", queryRecords.size() },
                         { "idempotent_outcomes", queried.outcomes },
                         { "idempotent_reasons", queried.reasons },
                         { "faults", driver.counts() },
                         { "violations", booked.violations.size() + queried.violations.size()
                                                 + driver.violations().size() } };
    std::cout << summary.dump() << std::endl;
    requireNone(booked.violations);
    requireNone(queried.violations);
    requireWell(deployment, settings.threads);
    requireNone(driver.violations());
}

} // namespace

// Guards against faults of the coordination between VMs that only a combination of failures shows.
TEST_CASE("Random faults cause no double execution, no false not-run and no wrong answer")
{
    runWithFaults({ 20261204, milliseconds(6000), milliseconds(250), 4, json::object(), {} });
}

// The long run: seed, length in seconds, mean gap between faults, callers of each kind, service
// time of the backend servers and the kinds of faults come from environment variables.
TEST_CASE("Long run with random faults", "[.long]")
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    RunSettings settings;
    settings.seed = numberFromEnvironment("CURRANTFALL_RUN_SEED", 1);
    settings.length = milliseconds(numberFromEnvironment("CURRANTFALL_RUN_SECONDS", 60)
                                   * millisecondsPerSecond);
    settings.meanGap = milliseconds(numberFromEnvironment("CURRANTFALL_RUN_GAP_MS", 500));
    settings.threads = numberFromEnvironment("CURRANTFALL_RUN_CALLERS", 12);
    settings.behaviour
            = { { "service_time_ms", numberFromEnvironment("CURRANTFALL_RUN_SERVICE_MS", 10) } };
    const char *const kinds = std::getenv("CURRANTFALL_RUN_KINDS");
    settings.kinds = kinds == nullptr ? "" : kinds;
    runWithFaults(settings);
}
