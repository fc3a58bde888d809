#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>

#include "EntryDeployment.h"
#include "SoakCallers.h"
#include "SoakFaults.h"
#include "Support/RunSupport.h"

using namespace Currantfall::Tests;
using nlohmann::json;

// Tests with a store whose rows go back to earlier values: it returns from an older copy, or calls
// reach it late.

namespace {

constexpr std::size_t callsAfterRestore = 300;

/// Log lines of `event` that the VM's present process has written.
std::vector<json> events(const EntryVm &vm, const std::string &event)
{
    std::vector<json> found;
    std::istringstream lines(vm.process->output());
    for (std::string line; std::getline(lines, line);) {
        json entry = json::parse(line, nullptr, false);
        if (entry.is_object() && entry["event"] == event) {
            found.push_back(std::move(entry));
        }
    }
    return found;
}

/// Waits until each VM has written a line of `event` that satisfies `condition`.
template<typename Condition>
void awaitEvent(const EntryDeployment &deployment, const std::string &event,
                const Condition &condition)
{
    for (const EntryVm &vm : deployment.vms()) {
        INFO("waits for " << event << " of " << vm.name);
        waitUntil([&] {
            const auto found = events(vm, event);
            return std::any_of(found.begin(), found.end(), condition);
        });
    }
}

void awaitConfiguration(const EntryDeployment &deployment)
{
    awaitEvent(deployment, "configuration", [&](const json &entry) {
        return entry["version"] == deployment.configurationVersion();
    });
}

void awaitNewEra(const EntryDeployment &deployment, const std::string &table)
{
    awaitEvent(deployment, "store_era_changed",
               [&](const json &entry) { return entry["table"] == table; });
}

/// The store is unavailable for a moment and returns from its copy.
void restore(EntryDeployment &deployment)
{
    StoreStandin &store = deployment.store();
    const std::uint64_t lostVersion = store.currentVersion();
    store.setFault(StoreFault::Refuses);
    store.restoreCopy();
    store.setFault(StoreFault::None);
    REQUIRE(store.currentVersion() < lostVersion);
}

/// Writes rows that a restored store will not have, so that it needs long to reach the versions
/// that VMs know.
void raiseVersion(EntryDeployment &deployment)
{
    for (int count = 0; count < 100; ++count) {
        deployment.registerServer(0);
    }
}

} // namespace

// Guards against VMs that take everything that is written after a restore for outdated, because the
// store gives out versions again that they know. They kept an old configuration for good.
TEST_CASE("VMs follow a store that returns from an older copy")
{
    EntryDeployment deployment;
    deployment.store().saveCopy();
    raiseVersion(deployment);
    deployment.configure(1);
    awaitConfiguration(deployment);
    restore(deployment);
    deployment.configure(2);
    awaitConfiguration(deployment);
    deployment.registerServer(0, "draining");
    awaitEvent(deployment, "server", [](const json &entry) { return entry["draining"] == true; });
    for (const EntryVm &vm : deployment.vms()) {
        // The configuration of the copy was never in force.
        const auto found = events(vm, "configuration");
        CHECK(std::is_sorted(found.begin(), found.end(), [](const json &left, const json &right) {
            return left["version"] < right["version"];
        }));
    }
}

// Guards against VMs that follow only the first of two restores.
TEST_CASE("VMs follow a store that returns from a copy twice")
{
    EntryDeployment deployment;
    deployment.store().saveCopy();
    for (unsigned round = 1; round <= 2; ++round) {
        raiseVersion(deployment);
        deployment.configure(round);
        awaitConfiguration(deployment);
        restore(deployment);
    }
    deployment.configure(3);
    awaitConfiguration(deployment);
}

// Guards against requests to servers that drained or left in the seconds that the store has lost.
// The copy lists them as ready until they or the store write again.
TEST_CASE("Servers that left before a restore get no requests")
{
    EntryDeployment deployment;
    const SoakServer &draining = *deployment.servers()[0];
    const SoakServer &gone = *deployment.servers()[1];
    deployment.store().saveCopy();
    raiseVersion(deployment);
    deployment.registerServer(0, "draining");
    deployment.unregisterServer(1);
    const auto isGone = [&](const json &entry) { return entry["peer"] == gone.identity().id; };
    awaitEvent(deployment, "server", [](const json &entry) { return entry["draining"] == true; });
    awaitEvent(deployment, "server_removed", isGone);
    restore(deployment);
    const std::uint64_t copiedVersion = deployment.store().currentVersion();
    awaitNewEra(deployment, "servers");

    const unsigned drainingBefore = draining.requestCount();
    const unsigned goneBefore = gone.requestCount();
    SoakCallers callers(deployment, 8);
    waitUntil([&] { return callers.completed() >= callsAfterRestore; });
    requireNone(judge(callers.finish(), deployment.ledger()).violations);
    CHECK(draining.requestCount() == drainingBefore);
    CHECK(gone.requestCount() == goneBefore);

    // The server's own newer entry counts again.
    deployment.registerServer(1);
    awaitEvent(deployment, "server", [&](const json &entry) {
        return entry["server"] == gone.identity().id && entry["version"] > copiedVersion;
    });
}

// Guards against requests to a server that leaves, because an older entry of it reaches the store
// after the one that says so (DRAIN).
TEST_CASE("A server that leaves gets no requests after an older entry of it")
{
    EntryDeployment deployment;
    StoreStandin &store = deployment.store();
    const SoakServer &leaving = *deployment.servers()[0];
    const std::string &id = leaving.identity().id;
    const std::string olderEntry = store.value("servers", id).value();
    deployment.registerServer(0, "draining");
    const auto isDraining
            = [&](const json &entry) { return entry["server"] == id && entry["draining"] == true; };
    awaitEvent(deployment, "server", isDraining);
    store.put("servers", id, olderEntry);
    // Longer than between two reads of the servers.
    std::this_thread::sleep_for(std::chrono::seconds(2));

    const unsigned before = leaving.requestCount();
    SoakCallers callers(deployment, 8);
    waitUntil([&] { return callers.completed() >= callsAfterRestore; });
    requireNone(judge(callers.finish(), deployment.ledger()).violations);
    CHECK(leaving.requestCount() == before);
}

// Guards against servers that all VMs but the reader drop although they are listed, because an
// entry that is written again changes nothing for the reader.
TEST_CASE("Servers that write their entries again after a restore stay in use on all VMs")
{
    EntryDeployment deployment;
    const std::string joining = deployment.servers()[1]->identity().id;
    const auto isRemoved = [&](const json &entry) { return entry["peer"] == joining; };
    deployment.unregisterServer(1);
    awaitEvent(deployment, "server_removed", isRemoved);
    deployment.store().saveCopy();
    const std::uint64_t copiedVersion = deployment.store().currentVersion();
    deployment.registerServer(1);
    awaitEvent(deployment, "server", [&](const json &entry) {
        return entry["server"] == joining && entry["version"] > copiedVersion;
    });
    raiseVersion(deployment);
    restore(deployment);
    awaitNewEra(deployment, "servers");
    // Within the hold time of servers, and long enough after the last update that peers were sent.
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    deployment.registerServer(1);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    for (const EntryVm &vm : deployment.vms()) {
        INFO(vm.name);
        const auto removals = events(vm, "server_removed");
        CHECK(std::count_if(removals.begin(), removals.end(), isRemoved) == 1);
    }
}

// Guards against VMs that are missing in the store for good, because it has lost their rows, and
// against writes that are repeated without end.
TEST_CASE("VMs write their rows again if the store has lost them")
{
    EntryDeployment deployment;
    StoreStandin &store = deployment.store();
    const std::size_t vmCount = deployment.vms().size();
    const auto awaitRows = [&] {
        for (const EntryVm &vm : deployment.vms()) {
            waitUntil([&] { return store.value("entry-vms", vm.name).has_value(); });
        }
    };
    awaitRows();
    for (const EntryVm &vm : deployment.vms()) {
        store.remove("entry-vms", vm.name);
    }
    store.saveCopy();
    awaitRows();
    raiseVersion(deployment);
    restore(deployment);
    awaitRows();
    // A write whose answer is late on a busy machine is repeated.
    CHECK(store.transactions() >= 3 * vmCount);
    CHECK(store.transactions() <= 6 * vmCount);
    deployment.awaitReady();
}

// Guards against a VM that starts while the store shows a copy, and serves by its old configuration
// although the other VMs know a newer one.
TEST_CASE("A VM that starts after a restore learns from its peers what the store has lost")
{
    EntryDeployment deployment;
    SoakFaultDriver driver(deployment);
    deployment.store().saveCopy();
    raiseVersion(deployment);
    deployment.configure(1);
    awaitConfiguration(deployment);
    restore(deployment);
    awaitNewEra(deployment, "op");
    CHECK(driver.restart(deployment.vms()[0]) == 0);
    awaitConfiguration(deployment);
}
