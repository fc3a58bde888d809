#include <algorithm>
#include <chrono>
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
    // A link past the relay would make the cut incomplete.
    REQUIRE(deployment.directLinks() == 0);
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

namespace {

const std::vector<std::string> lowerMainland { "entry-1", "entry-2", "entry-3", "entry-4" };
const std::vector<std::string> okanagan { "entry-5", "entry-6", "entry-7", "entry-8" };
const std::vector<std::string> island { "entry-9", "entry-10" };

/// One slot of 100 ms; the 12 slots of a region's service take 120 requests/s.
DeploymentOptions slowServers(const std::string &shift)
{
    DeploymentOptions options = withLinks();
    options.backendArguments = { "--service-time-ms", "100" };
    options.editDocument = [shift](const std::string &text) {
        return std::regex_replace(text, std::regex("shift: .*"), "shift: " + shift);
    };
    return options;
}

/// Callers that want more than the 12 slots of their region.
constexpr std::size_t floodThreads = 48;
const std::vector<std::string> floodZones { "lm-a", "lm-b" };

/// A field of the credits that these VMs hold, summed, for the granting VMs.
int held(DeploymentFixture &deployment, const std::vector<std::string> &holders,
         const std::vector<std::string> &granters, const std::string &field)
{
    int sum = 0;
    for (const std::string &holder : holders) {
        const json status = deployment.status(deployment.vm(holder));
        for (const json &credit : status["credits"]["held"]) {
            const bool chosen
                    = std::find(granters.begin(), granters.end(), credit["vm"].get<std::string>())
                      != granters.end();
            sum += chosen ? credit[field].get<int>() : 0;
        }
    }
    return sum;
}

int refusals(DeploymentFixture &deployment, const std::vector<std::string> &granters)
{
    int sum = 0;
    for (const std::string &granter : granters) {
        sum += deployment.status(deployment.vm(granter))["credits"]["refused"].get<int>();
    }
    return sum;
}

/// What the VMs logged of refused credits, and of their own pauses.
std::string creditLog(DeploymentFixture &deployment, const std::vector<std::string> &vms)
{
    std::string found;
    for (const std::string &vm : vms) {
        std::istringstream lines(deployment.vm(vm).process->errors());
        for (std::string line; std::getline(lines, line);) {
            const bool wanted = line.find("on credit") != std::string::npos
                                || line.find("was paused") != std::string::npos;
            if (wanted) {
                found.append(vm).append(": ").append(line).append("\n");
            }
        }
    }
    return found;
}

} // namespace

// Guards against traffic that is sent to a lost region, and against callers elsewhere that notice.
TEST_CASE("A lost region gets no shift after its credits have lapsed")
{
    DeploymentFixture deployment(
            slowServers("{interval_ms: 250, max_step: 1.0, reserve: 0.0, slow_start_ms: 500}"));
    Callers flood(deployment, floodThreads, false, floodZones);
    waitUntil([&] { return held(deployment, lowerMainland, okanagan, "taken") > 0; });
    Callers elsewhere(deployment, callerThreads, true, { "is-a", "is-b" });
    for (const std::string &vm : okanagan) {
        deployment.vm(vm).process->pause();
    }
    // Not "available", which is 0 as well while all of a valid credit is in use.
    waitUntil([&] { return held(deployment, lowerMainland, okanagan, "valid") == 0; });
    const int taken = held(deployment, lowerMainland, okanagan, "taken");
    const int takenElsewhere = held(deployment, lowerMainland, island, "taken");
    waitForState(deployment, "entry-1", "entry-5", "suspect");
    waitUntil(
            [&] { return held(deployment, lowerMainland, island, "taken") > takenElsewhere + 10; });
    CHECK(held(deployment, lowerMainland, okanagan, "taken") == taken);
    waitForCalls(elsewhere, calls);
    const auto records = elsewhere.finish();
    requireAllAnswered(records);
    requireTrueOutcomes(deployment, records);
    requireTrueOutcomes(deployment, flood.finish());
    for (const std::string &vm : okanagan) {
        deployment.vm(vm).process->resume();
    }
}

// Guards against credits that outlive their holder's pause.
TEST_CASE("A paused holder of credits uses none of them when it wakes")
{
    DeploymentFixture deployment(
            slowServers("{interval_ms: 250, max_step: 1.0, reserve: 0.0, slow_start_ms: 500}"));
    Callers flood(deployment, floodThreads, false, floodZones);
    std::vector<std::string> granters = okanagan;
    granters.insert(granters.end(), island.begin(), island.end());
    // Which VM of the zone gets the callers depends on the ownership of the backend servers.
    std::vector<std::string> zone { "entry-1", "entry-2" };
    waitUntil([&] {
        std::swap(zone.front(), zone.back());
        return held(deployment, { zone.front() }, granters, "taken") > 0;
    });
    const std::string holder = zone.front();
    const std::string neighbour = zone.back();
    deployment.vm(holder).process->pause();
    waitForState(deployment, neighbour, holder, "suspect");
    const int before = refusals(deployment, granters);
    deployment.vm(holder).process->resume();
    waitForState(deployment, neighbour, holder, "live");
    const int taken = held(deployment, { holder }, granters, "taken");
    waitUntil([&] { return held(deployment, { holder }, granters, "taken") > taken; });
    INFO(creditLog(deployment, granters)
         << creditLog(deployment, lowerMainland) << "paused: " << holder);
    CHECK(refusals(deployment, granters) == before);
    requireTrueOutcomes(deployment, flood.finish());
}

// Guards against credits that a holder uses again before the granter knows that the attempt on them
// was cancelled: the next request on them is refused although the region has room for it.
TEST_CASE("Cancelled attempts keep their credit until the granter has ended them")
{
    DeploymentFixture deployment(
            slowServers("{interval_ms: 250, max_step: 1.0, reserve: 0.0, slow_start_ms: 500}"));
    // Hedges of the requests that hang cancel the other attempt.
    deployment.setBackendBehaviour({ { "hang", 0.1 } });
    Callers flood(deployment, floodThreads, false, floodZones);
    std::vector<std::string> granters = okanagan;
    granters.insert(granters.end(), island.begin(), island.end());
    waitUntil([&] { return held(deployment, lowerMainland, granters, "taken") > 600; });
    INFO(creditLog(deployment, granters));
    CHECK(refusals(deployment, granters) == 0);
    requireTrueOutcomes(deployment, flood.finish());
}

namespace {

/// Credits that the VM has granted for the service.
json granted(DeploymentFixture &deployment, const std::string &granter, const std::string &service)
{
    const json all = deployment.status(deployment.vm(granter))["credits"]["granted"];
    return all.value(service, json::object());
}

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

} // namespace

// Guards against a region that is overrun by shifted work, and a link above its cap, while and
// after the link is cut.
TEST_CASE("A link between regions that is cut and healed under load stays under its cap")
{
    // A tenth of 20 Mbit/s, split over the 4 services of the region's 4 VMs.
    constexpr double capOfGranter = 15'625.0;
    // What a holder may save up, and the time for which a grant is counted.
    constexpr double graceSeconds = 2.25;
    // Must fit into one second of a holder's share of the cap.
    constexpr std::size_t bodyBytes = 7500;
    DeploymentOptions options
            = slowServers("{interval_ms: 250, max_step: 1.0, reserve: 0.0, slow_start_ms: 500}");
    options.editDocument = [edit = options.editDocument](const std::string &text) {
        return std::regex_replace(edit(text),
                                  std::regex("capacity_mbit_per_s: 4000, shift_cap: 0.5"),
                                  "capacity_mbit_per_s: 20, shift_cap: 0.1");
    };
    DeploymentFixture deployment(options);
    const auto start = std::chrono::steady_clock::now();
    // In one zone, so that at most two VMs share a granter.
    Callers flood(deployment, floodThreads, false, { "lm-a" }, { .uploadBytes = bodyBytes });
    const auto cutRegions = [&](bool cut) {
        for (const std::string &zone : floodZones) {
            for (const char *other : { "ok-a", "ok-b" }) {
                deployment.links().set(zone, other, { { "cut", cut } });
            }
        }
    };
    const auto requireUnderCap = [&] {
        for (const std::string &vm : okanagan) {
            const json credits = granted(deployment, vm, "scrollcast");
            if (!credits.empty()) {
                INFO(vm << " " << credits.dump() << " after " << secondsSince(start) << " s");
                REQUIRE(credits["bytes_per_s"] == capOfGranter);
                REQUIRE(credits["bytes_received"].get<double>()
                        <= capOfGranter * (secondsSince(start) + graceSeconds));
            }
        }
    };
    const auto taken = [&] { return held(deployment, lowerMainland, okanagan, "taken"); };
    const auto waitForTaken = [&](int wanted) {
        while (taken() < wanted) {
            requireUnderCap();
        }
    };
    waitForTaken(8);
    cutRegions(true);
    waitUntil([&] { return held(deployment, lowerMainland, okanagan, "available") == 0; });
    cutRegions(false);
    waitForTaken(taken() + 40); // Exceeds a cap that is ten times too high.
    requireUnderCap();
    requireTrueOutcomes(deployment, flood.finish());
    CHECK(deployment.slotOverruns() == 0);
    CHECK(deployment.executionSummary()["totals"]["slot_overruns"] == 0);
}

// Guards against a region whose cold backend servers get the whole shift at once.
TEST_CASE("Cold backend servers of another region get a slow start")
{
    constexpr double slowStartSeconds = 4.0;
    constexpr double islandSlots = 12.0;
    DeploymentFixture deployment(
            slowServers("{interval_ms: 250, max_step: 1.0, reserve: 0.0, slow_start_ms: 4000}"));
    deployment.setBackendBehaviour({ { "cold_start_ms", 4000 }, { "cold_factor", 5 } });
    const auto start = std::chrono::steady_clock::now();
    Callers flood(deployment, floodThreads, false, floodZones);
    int highest = 0;
    while (highest < 6) {
        int outstanding = 0;
        for (const std::string &vm : island) {
            outstanding += granted(deployment, vm, "slotview").value("outstanding", 0);
        }
        INFO(outstanding << " credits after " << secondsSince(start) << " s");
        REQUIRE(outstanding <= islandSlots * secondsSince(start) / slowStartSeconds);
        highest = std::max(highest, outstanding);
    }
    requireTrueOutcomes(deployment, flood.finish());
    CHECK(deployment.slotOverruns() == 0);
}

// Guards against a lost region's callers who take more of another region than it would grant: their
// requests arrive at its entry VMs and look like those of its own callers.
TEST_CASE("Callers of a lost region are served by other regions only within credits")
{
    constexpr int grantableSlots = 6;
    DeploymentFixture deployment(
            slowServers("{interval_ms: 250, max_step: 1.0, reserve: 0.5, slow_start_ms: 500}"));
    for (const std::string &vm : okanagan) {
        deployment.vm(vm).process.reset();
    }
    // Lookups name the lost VMs until then.
    for (const std::string &vm : okanagan) {
        waitForState(deployment, "entry-1", vm, "suspect");
        waitForState(deployment, "entry-9", vm, "suspect");
    }
    Callers callers(deployment, floodThreads, false, { "ok-a", "ok-b" });
    while (callers.completed() < 25 * calls) {
        int inUse = 0;
        for (const std::string &vm : island) {
            const json services = deployment.status(deployment.vm(vm))["services"];
            inUse += services.value("slotview", json::object()).value("in_use", 0);
        }
        REQUIRE(inUse <= grantableSlots);
    }
    const auto records = callers.finish();
    requireTrueOutcomes(deployment, records);
    // They are served, not only kept out.
    const auto answered
            = std::count_if(records.begin(), records.end(),
                            [](const CallRecord &record) { return record.outcome == "answered"; });
    INFO(answered << " of " << records.size() << " answered");
    CHECK(answered >= grantableSlots);
}
