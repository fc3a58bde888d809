#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "EntryDeployment.h"

using namespace Currantfall::Tests;
using nlohmann::json;

namespace {

/// The number of addresses that the VM's directory names for a caller in the south.
std::size_t addressesInSouth(const EntryVm &vm)
{
    httplib::Client client(vm.host, EntryDeployment::directoryPort);
    const auto answer = client.Get("/resolve?name=shop.example&region=south&zone=south-a");
    if (!answer || answer->status != 200) {
        return 0;
    }
    return json::parse(answer->body).at("addresses").size();
}

} // namespace

// Guards against callers without any entry VM while all VMs of their region restart, because the
// routes of their host share no home.
TEST_CASE("Lookups name VMs while all VMs of the caller's region shut down")
{
    // The homes of "resident" are north, those of "moving" are south.
    constexpr unsigned disjointHomes = 1;
    EntryDeployment deployment;
    deployment.configure(disjointHomes);
    const std::string inForce = "\"event\":\"configuration\",\"version\":"
                                + std::to_string(deployment.configurationVersion()) + ",";
    std::vector<EntryVm> &vms = deployment.vms();
    EntryVm &answering = vms.front();
    waitUntil([&] { return answering.process->output().find(inForce) != std::string::npos; });
    waitUntil([&] { return addressesInSouth(answering) == 2; });
    for (EntryVm &vm : vms) {
        if (vm.region == "south") {
            vm.process->terminate();
        }
    }
    std::size_t lookups = 0;
    std::size_t failed = 0;
    bool running = true;
    while (running) {
        running = false;
        for (EntryVm &vm : vms) {
            running = running || (vm.region == "south" && vm.process->running());
        }
        ++lookups;
        failed += addressesInSouth(answering) == 0 ? 1 : 0;
        pauseBetweenChecks();
    }
    CHECK(lookups > 0);
    CHECK(failed == 0);
}
