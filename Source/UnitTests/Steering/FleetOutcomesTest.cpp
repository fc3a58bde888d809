#include "currantfall/Steering/FleetOutcomes.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace Currantfall::Steering;
using namespace Currantfall::Common;

namespace {

const BackendServerName failingServer("i-bad");

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

/// Entry VMs that send their reports to each other. In production this happens every 250 ms.
class Fleet
{
public:
    explicit Fleet(int count)
    {
        for (int number = 0; number < count; ++number) {
            this->vms.emplace_back(VmName("vm-" + std::to_string(number)));
        }
    }

    void exchange(Instant now)
    {
        for (FleetOutcomes &sender : this->vms) {
            const OutcomeReport report = sender.takeReport(now);
            if (report.servers.empty()) {
                continue;
            }
            for (FleetOutcomes &receiver : this->vms) {
                receiver.apply(report, now);
            }
        }
    }

    std::size_t vmsSeeingFailure(Instant now) const
    {
        std::size_t count = 0;
        for (const FleetOutcomes &vm : this->vms) {
            count += vm.failing(failingServer, now) ? 1 : 0;
        }
        return count;
    }

    std::vector<FleetOutcomes> vms;
};

} // namespace

// A server passes its health checks but fails every request, and each of ten VMs sends it one
// request in five seconds. Guards against each VM having to detect the failure by itself.
TEST_CASE("A server that fails all requests is excluded by all VMs after three failures")
{
    Fleet fleet(10);
    for (int number = 0; number < 3; ++number) {
        CHECK(fleet.vmsSeeingFailure(at(250 * number)) == 0);
        fleet.vms[number].onFailed(failingServer, at(250 * number));
        fleet.exchange(at(250 * number));
    }
    CHECK(fleet.vmsSeeingFailure(at(600)) == 10);
    // The server may get requests again after a few seconds.
    CHECK(fleet.vmsSeeingFailure(at(3000)) == 0);
}

// A server fails some of its requests and answers the others from its warm cache. Guards against
// excluding it.
TEST_CASE("A server that answers some of its requests is not excluded")
{
    Fleet fleet(10);
    for (int number = 0; number < 40; ++number) {
        FleetOutcomes &vm = fleet.vms[number % 10];
        if (number % 5 < 2) {
            vm.onFailed(failingServer, at(100 * number));
        } else {
            vm.onAnswered(failingServer, at(100 * number));
        }
        fleet.exchange(at(100 * number));
        // The first two VMs see only failures until they receive the counts of the other VMs.
        CHECK((number < 6 || fleet.vmsSeeingFailure(at(100 * number)) == 0));
    }
}

// Guards against applying duplicate or delayed reports that were forwarded by another VM, and
// against ignoring the reports of a VM after its restart.
TEST_CASE("Only newer reports are applied, and those of a later run are newer")
{
    FleetOutcomes receiver(VmName("vm-1"));
    OutcomeReport report { VmName("vm-2"), 5, { { failingServer, { 0.0, 3.0 } } } };
    receiver.onFailed(failingServer, at(0));
    CHECK(receiver.apply(report, at(0)));
    CHECK(receiver.failing(failingServer, at(0)));
    CHECK_FALSE(receiver.apply(report, at(10)));
    report.sequence = 4;
    CHECK_FALSE(receiver.apply(report, at(10)));

    FleetOutcomes restarted(VmName("vm-2"));
    restarted.startRun(1000);
    restarted.onAnswered(failingServer, at(20));
    restarted.onFailed(failingServer, at(20));
    CHECK(receiver.apply(restarted.takeReport(at(30)), at(30)));
    CHECK_FALSE(receiver.failing(failingServer, at(30)));
    // A VM ignores its own report when it is forwarded back.
    CHECK_FALSE(
            restarted.apply({ VmName("vm-2"), 2000, { { failingServer, { 0.0, 9.0 } } } }, at(30)));
}

// One VM can't reach a server that works for all other VMs.
TEST_CASE("One VM with a faulty network path does not make others exclude a server")
{
    FleetOutcomes disconnected(VmName("vm-1"));
    FleetOutcomes other(VmName("vm-2"));
    disconnected.onFailed(failingServer, at(0), 5.0);
    other.apply(disconnected.takeReport(at(0)), at(0));
    CHECK(disconnected.failing(failingServer, at(0)));
    CHECK_FALSE(other.failing(failingServer, at(0)));
}

// Guards against unnecessary reports of servers without recent failures.
TEST_CASE("Only servers with recent failures are reported")
{
    FleetOutcomes vm(VmName("vm-1"));
    vm.onAnswered(failingServer, at(0));
    CHECK(vm.takeReport(at(10)).servers.empty());
    vm.apply({ VmName("vm-2"), 1, { { failingServer, { 0.0, 1.0 } } } }, at(20));
    const OutcomeReport report = vm.takeReport(at(20));
    REQUIRE(report.servers.size() == 1);
    CHECK(report.servers[0].counts.answered > 0.9);
    CHECK(vm.takeReport(at(30)).servers.empty());
    vm.onAnswered(failingServer, at(10000));
    CHECK(vm.takeReport(at(10000)).servers.empty());
}

TEST_CASE("Counts are discarded when a server restarts")
{
    FleetOutcomes vm(VmName("vm-1"));
    vm.onFailed(failingServer, at(0), 3.0);
    CHECK(vm.failing(failingServer, at(0)));
    vm.forget(failingServer);
    CHECK_FALSE(vm.failing(failingServer, at(0)));
}
