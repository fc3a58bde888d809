#include <numeric>
#include <set>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "currantfall/Quotas/QuotaKeeper.h"

using namespace Currantfall;
using namespace Currantfall::Quotas;

// Two VMs of one zone that exchange permits: "vm-1", the agent, and "vm-2".

namespace {

const Common::TenantName tenantName("a");
const QuotaTerms limit { tenantName, 10.0, 20.0 };
const QuotaTolerance exact { absl::Seconds(5), 0.0, 0.0 };
// Permits of vm-1 after 2 s, without those of a step that is not complete.
constexpr double fullStock = 10.0;

Common::Instant at(double seconds)
{
    return Common::Instant::fromOrigin(absl::Seconds(seconds));
}

QuotaKeeper keeperOf(const std::string &vm)
{
    QuotaKeeper keeper(Common::VmName(vm), Common::ZoneName("z"), exact, 1);
    keeper.setTerms({ limit }, at(0));
    keeper.setPlan(QuotaPlan({ { Common::VmName("vm-1"), Common::ZoneName("z"), 1.0 },
                               { Common::VmName("vm-2"), Common::ZoneName("z"), 1.0 } }),
                   true, at(0));
    keeper.setReachable({ Common::VmName("vm-1"), Common::VmName("vm-2") });
    return keeper;
}

/// Permits that vm-2 gets for requests that wait, with the grant of vm-1 delivered `copies` times
/// after `delay`.
double permitsAfterGrant(int copies, absl::Duration delay)
{
    QuotaKeeper agent = keeperOf("vm-1");
    QuotaKeeper asking = keeperOf("vm-2");
    const Common::Instant asked = at(2);
    TenantQuota *quota = asking.find(tenantName);
    quota->release(fullStock, asked);
    quota->waiting = 4;
    asking.onRequest(*quota, asked);
    asking.advance(asked);
    const auto requests = asking.takeMessages();
    REQUIRE(requests.size() == 1);
    agent.onMessage(Common::VmName("vm-2"), std::get<PermitRequest>(requests[0].body), asked);
    const auto grants = agent.takeMessages();
    REQUIRE(grants.size() == 1);
    const Common::Instant received = asked + delay;
    const double before = quota->available(received);
    for (int copy = 0; copy < copies; ++copy) {
        asking.onMessage(Common::VmName("vm-1"), std::get<PermitGrant>(grants[0].body), received);
    }
    return quota->available(received) - before;
}

} // namespace

TEST_CASE("Permits that are given away are gone before they can be used elsewhere")
{
    QuotaKeeper agent = keeperOf("vm-1");
    const double before = agent.find(tenantName)->available(at(2));
    agent.onMessage(Common::VmName("vm-2"), PermitRequest { 1, true, { { tenantName, 3.0, 3.0 } } },
                    at(2));
    CHECK(agent.find(tenantName)->available(at(2)) == Approx(before - 3.0));
}

// Guards against a message that arrives twice and makes permits.
TEST_CASE("A grant counts once, however often it arrives")
{
    const double once = permitsAfterGrant(1, absl::Milliseconds(10));
    CHECK(once >= 4.0);
    CHECK(permitsAfterGrant(3, absl::Milliseconds(10)) == Approx(once));
}

// Guards against permits that live longer because a link held them up.
TEST_CASE("Permits grow old on their way")
{
    const double fresh = permitsAfterGrant(1, absl::Milliseconds(10));
    const double late = permitsAfterGrant(1, absl::Seconds(1.9));
    CHECK(late < fresh / 2.0);
}

// Guards against permits that expire on a VM whose callers have left, while others lack them.
TEST_CASE("An agent asks the VMs to which it gave permits as well")
{
    const Common::VmName small("vm-3");
    QuotaKeeper agent = keeperOf("vm-1");
    agent.setPlan(QuotaPlan({ { Common::VmName("vm-1"), Common::ZoneName("z"), 1.0 },
                              { Common::VmName("vm-2"), Common::ZoneName("z"), 1.0 },
                              { small, Common::ZoneName("z"), 0.1 } }),
                  true, at(0));
    agent.setReachable({ Common::VmName("vm-1"), Common::VmName("vm-2"), small });
    agent.onMessage(small, PermitRequest { 1, false, { { tenantName, 3.0, 3.0 } } }, at(2));
    REQUIRE(agent.takeMessages().size() == 1);
    TenantQuota *quota = agent.find(tenantName);
    quota->release(fullStock, at(2));
    quota->waiting = 2;
    agent.onRequest(*quota, at(2));
    agent.advance(at(2));
    std::set<Common::VmName> asked;
    for (const QuotaMessage &message : agent.takeMessages()) {
        asked.insert(message.to);
    }
    CHECK(asked == std::set<Common::VmName> { Common::VmName("vm-2"), small });
}

TEST_CASE("A grant that nobody asked for is ignored")
{
    QuotaKeeper keeper = keeperOf("vm-2");
    const double before = keeper.find(tenantName)->available(at(2));
    keeper.onMessage(Common::VmName("vm-1"),
                     PermitGrant { 7, { { tenantName, { { 5.0, absl::ZeroDuration() } } } } },
                     at(2));
    CHECK(keeper.find(tenantName)->available(at(2)) == Approx(before));
}

// Guards against a restart that gains a fresh burst.
TEST_CASE("A VM starts without permits")
{
    QuotaKeeper keeper = keeperOf("vm-1");
    CHECK(keeper.find(tenantName)->available(at(0)) <= 0.0);
    CHECK(keeper.find(tenantName)->available(at(1)) <= 5.0);
}

TEST_CASE("A lowered limit applies to the permits that are held")
{
    QuotaKeeper keeper = keeperOf("vm-1");
    const double before = keeper.find(tenantName)->available(at(2));
    keeper.setTerms({ { tenantName, 1.0, 20.0 } }, at(2));
    CHECK(keeper.find(tenantName)->available(at(2)) == Approx(before / 10.0));
}

TEST_CASE("A request that did not run gives its permit back, as old as it was")
{
    QuotaKeeper keeper = keeperOf("vm-1");
    TenantQuota *quota = keeper.find(tenantName);
    const double before = quota->available(at(2));
    const auto permit = quota->take(at(2));
    REQUIRE(permit);
    quota->giveBack(*permit, at(2));
    CHECK(quota->available(at(2)) == Approx(before));
    const auto late = quota->take(at(2));
    REQUIRE(late);
    const double left = quota->available(at(4));
    quota->giveBack(*late, at(4));
    CHECK(quota->available(at(4)) == Approx(left));
}

TEST_CASE("Permits accrue on the large VMs of each zone, in all for the whole limit")
{
    std::vector<QuotaVm> vms;
    for (const std::string zone : { "a", "b", "c" }) {
        vms.push_back({ Common::VmName("large-" + zone), Common::ZoneName(zone), 0.5 });
        vms.push_back({ Common::VmName("middle-" + zone), Common::ZoneName(zone), 0.25 });
        vms.push_back({ Common::VmName("small-" + zone), Common::ZoneName(zone), 0.1 });
    }
    const QuotaPlan plan(vms);
    CHECK(plan.shareOf(Common::VmName("small-a")) == 0.0);
    CHECK(plan.shareOf(Common::VmName("large-a"))
          == Approx(2.0 * plan.shareOf(Common::VmName("middle-a"))));
    const double sum = std::accumulate(
            vms.begin(), vms.end(), 0.0,
            [&plan](double total, const QuotaVm &vm) { return total + plan.shareOf(vm.vm); });
    CHECK(sum == Approx(1.0));
    const std::set<Common::VmName> all { Common::VmName("large-a"), Common::VmName("middle-a") };
    CHECK(plan.agent(Common::ZoneName("a"), all) == Common::VmName("large-a"));
    CHECK(plan.agent(Common::ZoneName("a"), { Common::VmName("middle-a") })
          == Common::VmName("middle-a"));
    CHECK(!plan.agent(Common::ZoneName("a"), { Common::VmName("small-a") }));
}

TEST_CASE("A larger share takes effect when the other VMs know of their smaller ones")
{
    AccrualShare known;
    known.update(0.25, true, at(0));
    CHECK(known.inForce() == 0.25);
    known.update(0.2, true, at(1));
    CHECK(known.inForce() == 0.2);
    known.update(0.5, true, at(2));
    CHECK(known.inForce() == 0.2);
    CHECK(!known.advance(at(11)));
    CHECK(known.advance(at(12)));
    CHECK(known.inForce() == 0.5);

    AccrualShare starting;
    starting.update(1.0, false, at(0));
    starting.update(0.1, false, at(1));
    CHECK(!starting.advance(at(2.5)));
    CHECK(starting.advance(at(3)));
    CHECK(starting.inForce() == 0.1);
}
