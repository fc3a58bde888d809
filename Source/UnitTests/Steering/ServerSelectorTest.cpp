#include "currantfall/Steering/ServerSelector.h"

#include <algorithm>
#include <memory>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Steering/LocalityShares.h"
#include "currantfall/Steering/RetryAllowance.h"

using namespace Currantfall::Steering;
using namespace Currantfall::Common;

namespace {

constexpr std::uint32_t slots = 3;
/// Wall-clock time of requests whose responses contain a notice.
const absl::Time sentAt = absl::FromUnixSeconds(1);

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

BackendServer server(int number, const std::string &zone)
{
    BackendServer result;
    result.name = BackendServerName("s" + std::to_string(number));
    result.service = ServiceName("slotview");
    result.address = "127.0.0.1";
    result.port = static_cast<std::uint16_t>(9000 + number);
    result.zone = ZoneName(zone);
    result.slots = slots;
    return result;
}

/// Six servers in three zones of two regions, seen from one VM.
struct Deployment
{
    explicit Deployment(const std::string &vm = "vm1", const std::string &zone = "a")
        : selector({ VmName(vm),
                     ZoneName(zone),
                     RegionName(zone == "c" ? "east" : "west"),
                     { { ZoneName("a"), RegionName("west") },
                       { ZoneName("b"), RegionName("west") },
                       { ZoneName("c"), RegionName("east") } },
                     { 1.5, 5.0 } },
                   servers, outcomes, notices)
    {
        const std::vector<std::string> zones { "a", "b", "c" };
        for (int number = 0; number < 6; ++number) {
            this->servers.put(server(number, zones[number % zones.size()]), at(0));
        }
        this->route.services = { { ServiceName("slotview"), 1.0 } };
        this->route.targetLatency = absl::Milliseconds(500);
        this->terms.name = ServiceName("slotview");
        this->terms.coldRequestsPerSecond = 1.9;
    }

    SelectionRequest selectionRequest(const std::string &object, int remaining = 4000) const
    {
        SelectionRequest result;
        result.route = &this->route;
        result.service = ServiceName("slotview");
        result.object = object;
        result.requestId = "r";
        result.remaining = absl::Milliseconds(remaining);
        result.homes = HomeRegions::fromList(this->route.allowedRegions);
        return result;
    }

    /// Selects a server and records the request as sent. Returns nullptr if the request has to wait
    /// or is rejected.
    ServerRecord *send(const std::string &object, int now)
    {
        const SelectionRequest issued = this->selectionRequest(object);
        const Selection selection = this->selector.select(issued, &this->terms, at(now));
        const auto *choice = std::get_if<SendTo>(&selection);
        if (choice == nullptr) {
            return nullptr;
        }
        this->selector.onSent(issued, *choice, at(now));
        return choice->server;
    }

    ServerTable servers;
    FleetOutcomes outcomes { VmName("observer") };
    ServerNotices notices { absl::Seconds(2) };
    ServerSelector selector;
    Route route;
    ServiceSettings terms;
};

void report(ServerRecord &record, int now, std::uint32_t running, std::uint32_t waiting)
{
    const LoadReport load { running, waiting, slots };
    record.onSent(at(now), "x");
    record.onEnd(at(now), AttemptEnd::Answered, &load);
}

} // namespace

// Load pattern: each object is requested repeatedly, and a cache hit takes a third of the time of a
// cache miss. Guards against VMs that send the same object to different servers.
TEST_CASE("All VMs of a region send an object to the same server")
{
    Deployment first("vm1", "a");
    Deployment second("vm2", "b");
    for (int object = 0; object < 50; ++object) {
        const std::string name = std::to_string(object);
        ServerRecord *chosen = first.send(name, object);
        REQUIRE(chosen != nullptr);
        CHECK(second.send(name, object)->server().name == chosen->server().name);
        for (auto *each : { &first, &second }) {
            for (ServerRecord *record : each->servers.all()) {
                while (record->ownRequests() > 0) {
                    record->onEnd(at(object), AttemptEnd::Answered, nullptr);
                }
            }
        }
    }
}

// Guards against cache misses on the remaining servers: when one server drains, objects of the
// other servers must stay where they are.
TEST_CASE("When a server drains, few objects of other servers move")
{
    Deployment before;
    Deployment after;
    BackendServer leaving = server(2, "c");
    leaving.draining = true;
    after.servers.put(leaving, at(0));
    int moved = 0;
    for (int object = 0; object < 60; ++object) {
        const std::string name = std::to_string(object);
        const Selection selectionBefore
                = before.selector.select(before.selectionRequest(name), &before.terms, at(0));
        const Selection selectionAfter
                = after.selector.select(after.selectionRequest(name), &after.terms, at(0));
        const auto oldName = std::get<SendTo>(selectionBefore).server->server().name;
        const auto newName = std::get<SendTo>(selectionAfter).server->server().name;
        CHECK(newName != leaving.name);
        if (oldName != newName && oldName != leaving.name) {
            ++moved;
        }
    }
    // The weights of the regions depend on their slots, so some objects move to another region.
    CHECK(moved <= 60 / 4);
}

// Load pattern: a burst of requests without an object, as large as the number of free slots.
TEST_CASE("Requests without an object are not rejected while a server has a free slot")
{
    Deployment deployment;
    for (std::uint32_t request = 0; request < 6 * slots; ++request) {
        SelectionRequest selectionRequest = deployment.selectionRequest("", 500);
        selectionRequest.requestId = std::to_string(request);
        const Selection selection
                = deployment.selector.select(selectionRequest, &deployment.terms, at(0));
        const auto *choice = std::get_if<SendTo>(&selection);
        REQUIRE(choice != nullptr);
        deployment.selector.onSent(selectionRequest, *choice, at(0));
    }
}

// Load pattern: a burst of requests for one object. Requests that cannot finish in time must be
// rejected immediately.
TEST_CASE("Requests of a burst that cannot finish in time are rejected with a retry delay")
{
    Deployment deployment;
    int sent = 0;
    Selection last;
    for (int request = 0; request < 40; ++request) {
        const SelectionRequest selectionRequest = deployment.selectionRequest("hot", 1500);
        last = deployment.selector.select(selectionRequest, &deployment.terms, at(0));
        if (const auto *choice = std::get_if<SendTo>(&last)) {
            deployment.selector.onSent(selectionRequest, *choice, at(0));
            ++sent;
        }
    }
    CHECK(sent >= static_cast<int>(slots));
    const auto *reject = std::get_if<Reject>(&last);
    REQUIRE(reject != nullptr);
    CHECK(reject->reason == RejectReason::Overloaded);
    CHECK(reject->retryAfter > absl::ZeroDuration());
}

// Load pattern: all servers are cold, and all VMs send requests to them at the same time.
TEST_CASE("The request rate of all VMs to a cold server stays within its limit in any second")
{
    std::vector<VmName> vms;
    vms.reserve(10);
    for (int vm = 0; vm < 10; ++vm) {
        vms.emplace_back("vm" + std::to_string(vm));
    }
    std::vector<std::unique_ptr<Deployment>> deployments;
    for (const VmName &vm : vms) {
        deployments.push_back(std::make_unique<Deployment>(vm.value()));
        deployments.back()->selector.setVms(vms);
        for (ServerRecord *record : deployments.back()->servers.all()) {
            record->setCold(at(0), absl::Seconds(10));
        }
    }
    std::map<BackendServerName, std::vector<int>> sends;
    for (int now = 0; now < 3000; now += 10) {
        for (const auto &deployment : deployments) {
            const std::string object = std::to_string((now / 10) % 7);
            if (ServerRecord *chosen = deployment->send(object, now)) {
                sends[chosen->server().name].push_back(now);
                chosen->onEnd(at(now), AttemptEnd::Answered, nullptr);
            }
        }
    }
    // 1.9 requests per second, times the overage of 1.5, plus 5 extra, rounded down.
    constexpr std::size_t maxRequestsPerSecond = 7;
    REQUIRE_FALSE(sends.empty());
    for (const auto &[name, times] : sends) {
        for (std::size_t index = 0; index + maxRequestsPerSecond < times.size(); ++index) {
            CHECK(times[index + maxRequestsPerSecond] - times[index] >= 1000);
        }
    }
}

// Load pattern: several frequently requested objects share one server while other servers are idle.
TEST_CASE("Objects are moved one at a time from a server with high mean load")
{
    Deployment deployment;
    ServerRecord *busy = deployment.send("hot", 0);
    REQUIRE(busy != nullptr);
    busy->onEnd(at(0), AttemptEnd::Answered, nullptr);
    for (int now = 0; now < 5000; now += 100) {
        report(*busy, now, slots, slots);
    }
    ServerRecord *target = deployment.send("hot", 5000);
    REQUIRE(target != nullptr);
    CHECK(target->server().name != busy->server().name);
    const std::vector<ObjectMove> moves = deployment.selector.takeMoves();
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].from == busy->server().name);

    Deployment peer("vm2", "b");
    CHECK(peer.selector.applyMove(moves[0], at(5000)));
    CHECK_FALSE(peer.selector.applyMove(moves[0], at(5000)));
    CHECK(peer.send("hot", 5000)->server().name == target->server().name);
}

// Guards against one wrong entry that attracts all requests of a service.
TEST_CASE("A server that claims far more slots than the others does not get all requests")
{
    Deployment deployment;
    BackendServer claiming = server(0, "a");
    claiming.slots = 65535;
    deployment.servers.put(claiming, at(0));
    int claimed = 0;
    for (int object = 0; object < 400; ++object) {
        const Selection selection = deployment.selector.select(
                deployment.selectionRequest(std::to_string(object)), &deployment.terms, at(0));
        const auto *choice = std::get_if<SendTo>(&selection);
        REQUIRE(choice != nullptr);
        claimed += choice->server->server().name == claiming.name ? 1 : 0;
    }
    // It counts with 8 of 13 shares, and with more of them where locality prefers its region.
    CHECK(claimed < 320);
    CHECK(claimed > 100);
    // A number of slots that several servers share is taken as it is.
    for (int number = 1; number < 4; ++number) {
        BackendServer large = server(number, "a");
        large.slots = 65535;
        deployment.servers.put(large, at(0));
    }
    CHECK(deployment.servers.find(claiming.name)->plausibleSlots() == 65535);
}

// Guards against requests to evacuated zones, or to regions that the route does not allow.
TEST_CASE("Evacuated zones and regions that a route does not allow get no requests")
{
    Deployment deployment;
    deployment.selector.setEvacuatedZones({ ZoneName("a") }, at(0));
    deployment.route.allowedRegions = { RegionName("west") };
    for (int object = 0; object < 30; ++object) {
        ServerRecord *chosen = deployment.send(std::to_string(object), object);
        if (chosen != nullptr) {
            CHECK(chosen->server().zone == ZoneName("b"));
            chosen->onEnd(at(object), AttemptEnd::Answered, nullptr);
        }
    }
    deployment.selector.setEvacuatedZones({ ZoneName("a"), ZoneName("b") }, at(50));
    const Selection none = deployment.selector.select(deployment.selectionRequest("1"),
                                                      &deployment.terms, at(100));
    CHECK(std::get<Reject>(none).reason == RejectReason::NoServer);
}

// Guards against full load on cold servers: when an evacuation ends, the zone's servers are cold,
// but their entries do not show it yet.
TEST_CASE("Servers of a returned zone are limited to the cold rate until their entries are up to "
          "date")
{
    Deployment deployment;
    deployment.selector.setEvacuatedZones({ ZoneName("a") }, at(0));
    deployment.selector.setEvacuatedZones({}, at(5000));
    deployment.selector.setServersConfirmed(at(5000));
    const auto sendAll = [&](int start) {
        std::map<BackendServerName, int> sent;
        for (int object = 0; object < 200; ++object) {
            ServerRecord *chosen = deployment.send(std::to_string(object), start + object * 5);
            if (chosen == nullptr) {
                continue;
            }
            chosen->onEnd(at(start + object * 5), AttemptEnd::Answered, nullptr);
            if (chosen->server().zone == ZoneName("a")) {
                ++sent[chosen->server().name];
            }
        }
        int maxSent = 0;
        for (const auto &[server, count] : sent) {
            maxSent = std::max(maxSent, count);
        }
        return maxSent;
    };
    // This VM may send one request per second to each server.
    CHECK(sendAll(5000) == 1);
    SECTION("the store is unavailable")
    {
        CHECK(sendAll(9000) == 1);
        CHECK(sendAll(26000) > 10);
    }
    SECTION("the entries are read again")
    {
        deployment.selector.setServersConfirmed(at(8000));
        CHECK(sendAll(8000) > 10);
    }
}

// Guards against full load on cold servers: a VM that restarts just after an evacuation has not
// seen that it ended.
TEST_CASE("A VM that has just started uses cold rates until a peer reports the returned zones")
{
    Deployment deployment;
    deployment.selector.setStarted(at(0));
    int inZone = 0;
    const auto sends = [&](int start) {
        int count = 0;
        inZone = 0;
        for (int object = 0; object < 100; ++object) {
            ServerRecord *chosen = deployment.send(std::to_string(object), start + object);
            if (chosen != nullptr) {
                chosen->onEnd(at(start + object), AttemptEnd::Answered, nullptr);
                inZone += chosen->server().zone == ZoneName("a") ? 1 : 0;
                ++count;
            }
        }
        return count;
    };
    CHECK(sends(0) == 6);
    SECTION("a peer reports no returned zone")
    {
        deployment.selector.applyReturnedZones({}, at(200));
        CHECK(sends(200) == 100);
    }
    SECTION("a peer reports a returned zone")
    {
        Deployment peer("vm2");
        peer.selector.setEvacuatedZones({ ZoneName("a") }, at(0));
        peer.selector.setEvacuatedZones({}, at(0));
        deployment.selector.applyReturnedZones(peer.selector.returnedZones(at(200)), at(200));
        // All requests are sent; each server of the returned zone gets one request from this VM.
        CHECK(sends(1200) == 100);
        CHECK(inZone == 2);
    }
    SECTION("there is no peer")
    {
        CHECK(sends(1000) == 100);
    }
}

// Guards against requests to a server that has stopped, or to another server at the same address.
TEST_CASE("Servers that fail, drain or lost their address are not usable")
{
    Deployment deployment;
    ServerRecord *first = deployment.send("1", 0);
    SECTION("another server has the address")
    {
        first->onEnd(at(0), AttemptEnd::Misdirected, nullptr);
        CHECK_FALSE(first->usable(at(0)));
        CHECK_FALSE(first->needsProbe(at(60000)));
        BackendServer again = first->server();
        again.startTime = absl::FromUnixMillis(5);
        first->update(again, at(1000));
        CHECK(first->usable(at(1000)));
    }
    SECTION("the server can't be reached")
    {
        for (int failure = 0; failure < 2; ++failure) {
            first->onSent(at(0), "1");
            first->onEnd(at(0), AttemptEnd::Unreachable, nullptr);
        }
        CHECK_FALSE(first->usable(at(1)));
        CHECK_FALSE(first->needsProbe(at(1)));
        CHECK(first->needsProbe(at(5000)));
        first->onProbeStarted(at(5000));
        CHECK_FALSE(first->needsProbe(at(5001)));
        first->onHealthCheck(at(5010), true);
        CHECK(first->usable(at(5010)));
    }
    SECTION("the server drains")
    {
        BackendServer draining = first->server();
        draining.draining = true;
        first->update(draining, at(0));
        CHECK_FALSE(first->usable(at(0)));
    }
}

// Guards against requests to a server that has said that it leaves although another server could
// take them, and against refusals while only leaving servers are left.
TEST_CASE("A leaving server gets only requests that no other server can take")
{
    Deployment deployment;
    const BackendServer leaving = deployment.send("1", 0)->server();
    const ServerNotice notice = ServerNotice::read({ "1" }, {}, false);
    deployment.notices.apply(ServerIncarnation::of(leaving), notice, sentAt, deployment.servers,
                             at(0));
    CHECK(deployment.send("1", 1)->server().name != leaving.name);
    for (ServerRecord *record : deployment.servers.all()) {
        if (record->server().name != leaving.name) {
            record->onUnreachable(at(10));
        }
    }
    ServerRecord *lastResort = deployment.send("1", 20);
    REQUIRE(lastResort != nullptr);
    CHECK(lastResort->server().name == leaving.name);
    CHECK(deployment.send("1", 1999) != nullptr);
    // The circuit breakers allow health checks by now, but no requests.
    CHECK(deployment.send("1", 2000) == nullptr);
}

// Guards against objects that are moved to a server that leaves.
TEST_CASE("A leaving server takes no objects of a busy server")
{
    Deployment deployment;
    ServerRecord *busy = deployment.send("1", 0);
    const ServerNotice notice = ServerNotice::read({ "1" }, {}, false);
    for (ServerRecord *record : deployment.servers.all()) {
        if (record != busy) {
            deployment.notices.apply(ServerIncarnation::of(record->server()), notice, sentAt,
                                     deployment.servers, at(0));
        }
    }
    for (int now = 0; now <= 1500; now += 100) {
        report(*busy, now, 2 * slots, 0);
    }
    REQUIRE(busy->meanLoad(at(1500)) > 0.9);
    deployment.send("1", 1500);
    CHECK(deployment.selector.takeMoves().empty());
}

// Guards against callers that are told to come back while all servers still want no requests, or
// long after the first of them takes requests again.
TEST_CASE("When all servers pause, the request is rejected until the first one returns")
{
    Deployment deployment;
    int seconds = 3;
    for (ServerRecord *record : deployment.servers.all()) {
        deployment.notices.apply(ServerIncarnation::of(record->server()),
                                 ServerNotice::read({}, { std::to_string(seconds++) }, true),
                                 sentAt, deployment.servers, at(0));
    }
    const SelectionRequest request = deployment.selectionRequest("1");
    const Selection selection = deployment.selector.select(request, &deployment.terms, at(500));
    const auto *reject = std::get_if<Reject>(&selection);
    REQUIRE(reject != nullptr);
    CHECK(reject->reason == RejectReason::Pausing);
    CHECK(reject->retryAfter == absl::Milliseconds(2500));
    CHECK(deployment.selector.timeUntilReturn(request, at(500)) == absl::Milliseconds(2500));
    // The first server returns and gets its requests one after the other.
    CHECK(deployment.send("1", 3000) != nullptr);
    CHECK(std::holds_alternative<WaitUntil>(
            deployment.selector.select(request, &deployment.terms, at(3001))));
    CHECK_FALSE(deployment.selector.timeUntilReturn(request, at(3001)));
}

// Guards against requests that wait for a returning server although another one handled their
// object during the pause.
TEST_CASE("Requests beyond the rate of a returning server go to the next server")
{
    Deployment deployment;
    ServerRecord *first = deployment.send("1", 0);
    deployment.notices.apply(ServerIncarnation::of(first->server()),
                             ServerNotice::read({}, { "1" }, true), sentAt, deployment.servers,
                             at(0));
    ServerRecord *second = deployment.send("1", 500);
    REQUIRE(second != nullptr);
    CHECK(second != first);
    CHECK(deployment.send("1", 1000) == first);
    CHECK(deployment.send("1", 1010) == second);
    CHECK(deployment.send("1", 2100) == first);
}

// Guards against a region that gets its usual share of requests although its servers pause.
TEST_CASE("Region weights count only servers without notices")
{
    Deployment deployment;
    const auto inEast = [&deployment](int now) {
        int count = 0;
        for (int object = 0; object < 200; ++object) {
            const Selection selection = deployment.selector.select(
                    deployment.selectionRequest(std::to_string(object)), &deployment.terms,
                    at(now));
            count += std::get<SendTo>(selection).server->server().zone.value() == "c" ? 1 : 0;
        }
        return count;
    };
    const int before = inEast(0);
    // Two of the four servers of the own region pause.
    for (const int number : { 0, 1 }) {
        deployment.notices.apply(ServerIncarnation::of(server(number, "a")),
                                 ServerNotice::read({}, { "2" }, true), sentAt, deployment.servers,
                                 at(0));
    }
    CHECK(inEast(100) > before * 3 / 2);
    // The weights are as before when the pause is over.
    CHECK(inEast(4000) == before);
}

// Guards against a server that is ejected or avoided because it asked for a pause.
TEST_CASE("A response with a pause does not count as a failure")
{
    ServerRecord record(server(0, "a"), at(0));
    const LoadReport idle { 0, 0, slots };
    for (const AttemptEnd end : { AttemptEnd::ServerError, AttemptEnd::NotExecuted }) {
        for (int request = 0; request < 6; ++request) {
            record.onSent(at(request), "1");
            record.onEnd(at(request), end, &idle, true);
        }
    }
    CHECK(record.failureRate() == 0.0);
    CHECK(record.usable(at(10)));
    CHECK(record.ownRequests() == 0);
    record.onSent(at(20), "1");
    record.onEnd(at(20), AttemptEnd::Withheld, nullptr);
    CHECK(record.failureRate() == 0.0);
    CHECK(record.ownRequests() == 0);
}

// Guards against servers that fail a fraction of their requests and still get their full share.
TEST_CASE("Failed requests raise the failure rate, answered requests lower it")
{
    ServerRecord record(server(0, "a"), at(0));
    for (int request = 0; request < 6; ++request) {
        record.onSent(at(request), "1");
        record.onEnd(at(request), AttemptEnd::ServerError, nullptr);
    }
    CHECK(record.failureRate() > 0.7);
    CHECK(record.usable(at(10)));
    for (int request = 0; request < 12; ++request) {
        record.onSent(at(request), "1");
        record.onEnd(at(request), AttemptEnd::Answered, nullptr);
    }
    CHECK(record.failureRate() < 0.1);
}

// Guards against regions that get more requests than their slots allow, and against unnecessary
// traffic between regions.
TEST_CASE("Regions use their own slots first, and all slots get the same load")
{
    const std::vector<RegionCapacity> capacities { { RegionName("big"), 18.0 },
                                                   { RegionName("small"), 6.0 },
                                                   { RegionName("even"), 12.0 } };
    const std::vector<RegionDemand> demands { { RegionName("big"), 1.0 },
                                              { RegionName("small"), 1.0 },
                                              { RegionName("even"), 1.0 } };
    std::map<RegionName, double> load;
    for (const RegionDemand &from : demands) {
        const auto weights = localityWeights(from.region, capacities, demands);
        for (const RegionCapacity &region : capacities) {
            load[region.region] += weights.at(region.region) * region.slots / 3.0;
        }
    }
    for (const RegionCapacity &region : capacities) {
        CHECK(load[region.region] == Approx(region.slots));
    }
    const auto even = localityWeights(RegionName("even"), capacities, demands);
    CHECK(even.at(RegionName("even")) == Approx(3.0));
    CHECK(even.at(RegionName("big")) == Approx(0.0));
}

// Guards against retries of all VMs that together exceed the limit in a time window of any
// position.
TEST_CASE("Retries of one VM stay within its share in every time window")
{
    const bool holds = rc::check([] {
        const RetryLimits terms { 0.2, 60.0, absl::Seconds(10) };
        constexpr std::size_t vms = 10;
        RetryAllowance allowance(terms);
        std::vector<int> requests;
        std::vector<int> retries;
        int now = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 200));
        for (const int step : steps) {
            now += step;
            allowance.onRequest(at(now));
            requests.push_back(now);
            while (allowance.tryTake(at(now), vms)) {
                retries.push_back(now);
            }
        }
        for (const int start : retries) {
            const auto inWindow
                    = [start](int time) { return time >= start && time < start + 10000; };
            const auto inThisOrLast
                    = [start](int time) { return time >= start - 10000 && time < start + 10000; };
            const auto used = std::count_if(retries.begin(), retries.end(), inWindow);
            const auto issued = std::count_if(requests.begin(), requests.end(), inThisOrLast);
            RC_ASSERT(static_cast<double>(used)
                      <= terms.ratio * static_cast<double>(issued) + terms.extra / vms);
        }
    });
    CHECK(holds);
}
