#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Load/BalancerFleet.h"
#include "Load/Settings.h"

using namespace Currantfall::Load;

namespace {

/// A backend server that only reports its load.
class ReportingServer
{
public:
    explicit ReportingServer(int inUse) : inUse(inUse)
    {
        this->server.set_keep_alive_max_count(100000);
        this->server.Get("/_health", [this](const httplib::Request &, httplib::Response &reply) {
            const nlohmann::json report { { "in_use", this->inUse.load() }, { "slots", 2 } };
            reply.set_content(report.dump(), "application/json");
        });
        this->server.Get("/port", [this](const httplib::Request &, httplib::Response &reply) {
            reply.set_content(std::to_string(this->port), "text/plain");
        });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~ReportingServer()
    {
        this->server.stop();
        this->thread.join();
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->port }; }

    std::atomic<int> inUse;

private:
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

int portOf(httplib::Client &client)
{
    return std::stoi(client.Get("/port")->body);
}

BalancerSettings settingsFor(const std::vector<Endpoint> &servers)
{
    BalancerSettings settings;
    settings.groups = { { "shop", 1, servers } };
    settings.reportInterval = absl::Milliseconds(5);
    settings.limitFactor = 0.5;
    return settings;
}

constexpr absl::Duration longDeadline = absl::Seconds(60);

} // namespace

TEST_CASE("A balancer follows the load reports, also when they change")
{
    // Guards against a baseline that chooses at random or keeps its first reports, which would make
    // slot owners look better than they are.
    ReportingServer first(0);
    ReportingServer second(2);
    BalancerFleet fleet(settingsFor({ first.endpoint(), second.endpoint() }), 1);
    DirectBalancer &balancer = fleet.balancerFor("shop", 0);
    int port = 0;
    const auto send = [&port](httplib::Client &client, absl::Duration) {
        port = portOf(client);
        return CallOutcome::Answered;
    };
    REQUIRE(balancer.call(longDeadline, send).outcome == CallOutcome::Answered);
    REQUIRE(port == first.endpoint().port);
    first.inUse = 2;
    second.inUse = 0;
    while (port != second.endpoint().port) {
        balancer.call(longDeadline, send);
    }
}

TEST_CASE("A shed request is sent to one other server and then refused")
{
    // Guards against retries that would hide sheds or multiply the load of the baseline.
    ReportingServer first(0);
    ReportingServer second(0);
    ReportingServer third(0);
    BalancerFleet fleet(settingsFor({ first.endpoint(), second.endpoint(), third.endpoint() }), 1);
    std::set<int> ports;
    const auto shed = [&ports](httplib::Client &client, absl::Duration) {
        ports.insert(portOf(client));
        return CallOutcome::NotRun;
    };
    const DirectBalancer::Call call = fleet.balancerFor("shop", 0).call(longDeadline, shed);
    REQUIRE(call.outcome == CallOutcome::NotRun);
    REQUIRE(call.attempts == 2);
    REQUIRE(ports.size() == 2);
}

TEST_CASE("A balancer keeps its concurrency limit and serves waiting requests in order")
{
    // Guards against a baseline without a limit, whose overruns would be an effect of the harness.
    ReportingServer first(0);
    ReportingServer second(0);
    BalancerFleet fleet(settingsFor({ first.endpoint(), second.endpoint() }), 1);
    DirectBalancer &balancer = fleet.balancerFor("shop", 0);
    std::atomic<int> running = 0;
    std::atomic<int> most = 0;
    const auto send = [&](httplib::Client &, absl::Duration) {
        const int now = ++running;
        int seen = most;
        while (now > seen && !most.compare_exchange_weak(seen, now)) {
        }
        std::this_thread::yield();
        --running;
        return CallOutcome::Answered;
    };
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int index = 0; index < 8; ++index) {
        callers.emplace_back([&] {
            for (int round = 0; round < 50; ++round) {
                answered += balancer.call(longDeadline, send).outcome == CallOutcome::Answered;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    REQUIRE(answered == 400);
    REQUIRE(most <= 2); // Half of four slots.
}

TEST_CASE("A request that can't get a permit before its deadline is not-run and not sent")
{
    // Guards against a wait without end and against requests that start after their deadline.
    ReportingServer only(0);
    BalancerFleet fleet(settingsFor({ only.endpoint() }), 1);
    DirectBalancer &balancer = fleet.balancerFor("shop", 0);
    bool sent = false;
    const auto outer = [&](httplib::Client &, absl::Duration) {
        const auto inner = [&sent](httplib::Client &, absl::Duration) {
            sent = true;
            return CallOutcome::Answered;
        };
        return balancer.call(absl::Milliseconds(1), inner).outcome;
    };
    const DirectBalancer::Call call = balancer.call(longDeadline, outer);
    REQUIRE(call.outcome == CallOutcome::NotRun);
    REQUIRE(!sent);
}

TEST_CASE("Settings of balancers, and classes with an entry and key prefix, are read and checked")
{
    const char *const arguments[] = { "load", "--class", "service=a",
                                      "--direct-power-of-two=a/4=127.0.0.1:1,127.0.0.2:2" };
    const auto settings = Settings::parse(4, arguments);
    REQUIRE(settings);
    REQUIRE(settings->balancers.groups.size() == 1);
    REQUIRE(settings->balancers.groups[0].balancers == 4);
    REQUIRE(settings->direct.size() == 2);
    for (const std::string text : { "a=127.0.0.1:1", "a/0=127.0.0.1:1", "a/4", "a/4=127.0.0.1" }) {
        REQUIRE(!BalancerGroup::parse(text));
    }
    const char *const otherService[]
            = { "load", "--class", "service=b", "--direct-power-of-two=a/4=127.0.0.1:1" };
    REQUIRE(!Settings::parse(4, otherService));
    const char *const noPermits[]
            = { "load", "--class", "service=a", "--direct=127.0.0.1:1", "--balancer-limit=0" };
    REQUIRE(!Settings::parse(5, noPermits));
    REQUIRE(Settings::parse(4, noPermits));
    const auto fixed = RequestClass::parse("service=a,entry=127.0.0.1:7,key-prefix=1~a~1~-~0~1");
    REQUIRE(fixed->entry == Endpoint { "127.0.0.1", 7 });
    REQUIRE(fixed->keyPrefix == "1~a~1~-~0~1");
    REQUIRE(!RequestClass::parse("service=a,entry=127.0.0.1"));
}
