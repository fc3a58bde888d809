#include "currantfall/Steering/FleetOutcomes.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace Currantfall::Steering;
using namespace Currantfall::Common;

namespace {

const BackendServerName bad("i-bad");

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

/// Entry VMs that exchange their reports every 250 ms, as they do in service.
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

    std::size_t convinced(Instant now) const
    {
        std::size_t count = 0;
        for (const FleetOutcomes &vm : this->vms) {
            count += vm.failing(bad, now) ? 1 : 0;
        }
        return count;
    }

    std::vector<FleetOutcomes> vms;
};

} // namespace

// Pattern: a server answers its health checks and fails every request, and each of ten VMs sends it
// a request in five seconds. Guards against VMs that each have to find out for themselves.
TEST_CASE("A server that fails everything is given up by all VMs after three failures")
{
    Fleet fleet(10);
    for (int number = 0; number < 3; ++number) {
        CHECK(fleet.convinced(at(250 * number)) == 0);
        fleet.vms[number].onFailed(bad, at(250 * number));
        fleet.exchange(at(250 * number));
    }
    CHECK(fleet.convinced(at(600)) == 10);
    // It is tried again after a few seconds.
    CHECK(fleet.convinced(at(3000)) == 0);
}

// Pattern: a server fails a part of its requests; the others are answered from its warm cache.
TEST_CASE("A server that answers some of its requests is kept")
{
    Fleet fleet(10);
    for (int number = 0; number < 40; ++number) {
        FleetOutcomes &vm = fleet.vms[number % 10];
        if (number % 5 < 2) {
            vm.onFailed(bad, at(100 * number));
        } else {
            vm.onAnswered(bad, at(100 * number));
        }
        fleet.exchange(at(100 * number));
        // Two VMs that saw only failures first learn of the answers of the others.
        CHECK((number < 6 || fleet.convinced(at(100 * number)) == 0));
    }
}

// Guards against reports that come twice or late by way of another VM, and against a VM that was
// started again and whose reports nobody believes.
TEST_CASE("Only newer reports count, and those of a later run are newer")
{
    FleetOutcomes receiver(VmName("vm-1"));
    OutcomeReport report { VmName("vm-2"), 5, { { bad, { 0.0, 3.0 } } } };
    receiver.onFailed(bad, at(0));
    CHECK(receiver.apply(report, at(0)));
    CHECK(receiver.failing(bad, at(0)));
    CHECK_FALSE(receiver.apply(report, at(10)));
    report.sequence = 4;
    CHECK_FALSE(receiver.apply(report, at(10)));

    FleetOutcomes restarted(VmName("vm-2"));
    restarted.startRun(1000);
    restarted.onAnswered(bad, at(20));
    restarted.onFailed(bad, at(20));
    CHECK(receiver.apply(restarted.takeReport(at(30)), at(30)));
    CHECK_FALSE(receiver.failing(bad, at(30)));
    // A VM's own report that comes back is no news.
    CHECK_FALSE(restarted.apply({ VmName("vm-2"), 2000, { { bad, { 0.0, 9.0 } } } }, at(30)));
}

// Pattern: a VM that can't reach a server which serves all others.
TEST_CASE("One VM with a bad path does not make others give up a server")
{
    FleetOutcomes cut(VmName("vm-1"));
    FleetOutcomes other(VmName("vm-2"));
    cut.onFailed(bad, at(0), 5.0);
    other.apply(cut.takeReport(at(0)), at(0));
    CHECK(cut.failing(bad, at(0)));
    CHECK_FALSE(other.failing(bad, at(0)));
}

// Guards against messages about servers that nobody suspects.
TEST_CASE("Only servers that failed lately are reported")
{
    FleetOutcomes vm(VmName("vm-1"));
    vm.onAnswered(bad, at(0));
    CHECK(vm.takeReport(at(10)).servers.empty());
    vm.apply({ VmName("vm-2"), 1, { { bad, { 0.0, 1.0 } } } }, at(20));
    const OutcomeReport report = vm.takeReport(at(20));
    REQUIRE(report.servers.size() == 1);
    CHECK(report.servers[0].counts.answered > 0.9);
    CHECK(vm.takeReport(at(30)).servers.empty());
    vm.onAnswered(bad, at(10000));
    CHECK(vm.takeReport(at(10000)).servers.empty());
}

TEST_CASE("A server that starts again has no past")
{
    FleetOutcomes vm(VmName("vm-1"));
    vm.onFailed(bad, at(0), 3.0);
    CHECK(vm.failing(bad, at(0)));
    vm.forget(bad);
    CHECK_FALSE(vm.failing(bad, at(0)));
}
