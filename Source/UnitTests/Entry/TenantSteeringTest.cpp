#include <atomic>
#include <mutex>

#include <catch2/catch.hpp>

#include "SteeringFixture.h"
#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;

namespace {

Tenants::Tenant tenant(const std::string &name, std::vector<std::string> keys,
                       const std::vector<Common::RegionName> &homes = {})
{
    Tenants::Tenant result;
    result.name = Common::TenantName(name);
    result.keys = std::move(keys);
    result.allowedRegions = homes;
    return result;
}

Adapter::HttpRequest requestWithKey(const std::string &path, const std::string &key)
{
    Adapter::HttpRequest request = SteeringFixture::request(path);
    request.set("Authorization", "Token " + key);
    request.set("Tenant", "forged");
    return request;
}

/// A server that answers everything and keeps the requests.
struct KeepingServer
{
    std::mutex mutex;
    std::vector<std::string> requests;
    ScriptedBackend backend { [this](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            {
                const std::lock_guard lock(this->mutex);
                this->requests.push_back(request);
            }
            connection.write(answerTo(request, "body"));
        }
    } };
};

} // namespace

// Guards against keys that servers see, and requests that run without one (UNASKED, ROUTE).
TEST_CASE("A request with a key reaches its server with the tenant's name")
{
    KeepingServer server;
    SteeringFixture fixture;
    fixture.addServer("i-1", server.backend.port());
    fixture.configure(absl::Seconds(5), 3, {}, {}, { tenant("a", { "key-1" }) });
    const auto served = fixture.run(requestWithKey("/read/1", "key-1"));
    REQUIRE(served);
    CHECK(served->result_int() == 200);
    for (const std::string path : { "/read/1", "/write/1" }) {
        CHECK(fixture.run(requestWithKey(path, "key-2"))->result_int() == 401);
        CHECK(fixture.run(SteeringFixture::request(path))->result_int() == 401);
    }
    const std::lock_guard lock(server.mutex);
    REQUIRE(server.requests.size() == 1);
    CHECK(headerOf(server.requests[0], "Tenant") == "a");
    CHECK(server.requests[0].find("key-1") == std::string::npos);
    CHECK(server.requests[0].find("forged") == std::string::npos);
}

// Guards against a 401 from a VM that has just started and knows no key yet (DENIED).
TEST_CASE("Without a configuration a request with a key is refused as not run")
{
    SteeringFixture fixture;
    fixture.steering.setConfiguration(nullptr);
    CHECK(fixture.run(requestWithKey("/read/1", "key-1"))->result_int() == 503);
}

// Guards against requests of a tenant outside its homes (HOME).
TEST_CASE("A tenant's requests stay inside its homes")
{
    KeepingServer west;
    KeepingServer east;
    SteeringFixture fixture;
    fixture.addServer("i-west", west.backend.port(), "a");
    fixture.addServer("i-east", east.backend.port(), "b");
    const std::vector<Common::RegionName> onlyEast { Common::RegionName("east") };
    fixture.configure(absl::Seconds(5), 3, {}, {}, { tenant("a", { "key-1" }, onlyEast) });
    for (int number = 0; number < 8; ++number) {
        CHECK(fixture.run(requestWithKey("/read/" + std::to_string(number), "key-1"))->result_int()
              == 200);
    }
    CHECK(west.requests.empty());
    CHECK(east.requests.size() == 8);
}

// Guards against a retry with a key that was withdrawn while the first attempt ran.
TEST_CASE("A request is not repeated after its key was withdrawn")
{
    SteeringFixture fixture;
    std::atomic<int> requests { 0 };
    std::atomic<bool> waiting { false };
    std::atomic<bool> withdrawn { false };
    const auto refuse = [&](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        if (request.empty()) {
            return;
        }
        ++requests;
        waiting = true;
        while (!withdrawn) {
            absl::SleepFor(absl::Milliseconds(2));
        }
        connection.write(responseTo(request, "503 Service Unavailable", "Not-Executed: 1\r\n", ""));
    };
    ScriptedBackend first(refuse);
    ScriptedBackend second(refuse);
    fixture.addServer("i-1", first.port());
    fixture.addServer("i-2", second.port());
    fixture.configure(absl::Seconds(5), 3, {}, {}, { tenant("a", { "key-1" }) });
    const auto response = fixture.startRequest(requestWithKey("/read/1", "key-1"));
    REQUIRE(fixture.runUntil([&] { return waiting.load(); }));
    fixture.configure(absl::Seconds(5), 3, {}, {}, { tenant("a", { "key-2" }) });
    withdrawn = true;
    REQUIRE(fixture.runUntil([&] { return response->has_value(); }));
    CHECK((*response)->result_int() == 401);
    CHECK(requests == 1);
}

// Metrics by tenant tell a tenant over its limit from servers without room.
TEST_CASE("Requests are counted by tenant, and by the region in which they run")
{
    KeepingServer east;
    SteeringFixture fixture;
    fixture.addServer("i-east", east.backend.port(), "b");
    fixture.configure(absl::Seconds(5), 3, {}, {}, { tenant("a", { "key-1" }) });
    CHECK(fixture.run(requestWithKey("/read/1", "key-1"))->result_int() == 200);
    fixture.run(requestWithKey("/read/1", "key-2"));
    CHECK(fixture.metrics.counter("currantfall_tenant_requests_total",
                                  { { "tenant", "a" }, { "outcome", "answered" } })
          == 1);
    CHECK(fixture.metrics.counter("currantfall_requests_sent_total",
                                  { { "service", "bellbook" }, { "region", "east" } })
          == 1);
}

// Guards against a tenant that gets more than its limit (QUOTA).
TEST_CASE("A tenant's requests over its limit are refused with the time until there is room")
{
    KeepingServer server;
    SteeringFixture fixture;
    fixture.addServer("i-1", server.backend.port());
    Tenants::Tenant limited = tenant("a", { "key-1" });
    limited.requestsPerSecond = 2.0;
    limited.burst = 4.0;
    const Common::Instant start = Common::monotonicNow();
    fixture.configure(absl::Seconds(5), 3, {}, {}, { limited, tenant("b", { "key-2" }) });
    absl::SleepFor(absl::Seconds(3));
    std::size_t served = 0;
    for (int number = 0; number < 20; ++number) {
        const auto response = fixture.run(requestWithKey("/read/1", "key-1"));
        REQUIRE(response);
        if (response->result_int() == 200) {
            ++served;
            continue;
        }
        CHECK(response->result_int() == 429);
        CHECK(std::strtod(std::string((*response)["Retry-After"]).c_str(), nullptr) > 0.0);
    }
    CHECK(served > 0);
    CHECK(static_cast<double>(served)
          <= limited.requestsPerSecond * absl::ToDoubleSeconds(Common::monotonicNow() - start));
    CHECK(server.requests.size() == served);
    CHECK(fixture.run(requestWithKey("/read/1", "key-2"))->result_int() == 200);
}

// Guards against requests that use up a limit although they did not run.
TEST_CASE("Requests that do not run leave the limit of their tenant to others")
{
    KeepingServer server;
    SteeringFixture fixture;
    Tenants::Tenant limited = tenant("a", { "key-1" });
    limited.requestsPerSecond = 0.5;
    limited.burst = 2.0;
    fixture.configure(absl::Seconds(5), 3, {}, {}, { limited });
    absl::SleepFor(absl::Seconds(3));
    for (int number = 0; number < 10; ++number) {
        const auto refused = fixture.run(requestWithKey("/read/1", "key-1"));
        REQUIRE(refused);
        CHECK(refused->result_int() == 503);
    }
    fixture.addServer("i-1", server.backend.port());
    CHECK(fixture.run(requestWithKey("/read/1", "key-1"))->result_int() == 200);
}

// Guards against a request that waits for a permit until its caller has given up.
TEST_CASE("A request over its limit is refused soon, and its caller may leave before")
{
    SteeringFixture fixture;
    Tenants::Tenant limited = tenant("a", { "key-1" });
    limited.requestsPerSecond = 0.01;
    limited.burst = 1.0;
    fixture.configure(absl::Seconds(5), 3, {}, {}, { limited });
    CHECK(!fixture.run(requestWithKey("/read/1", "key-1"), absl::Milliseconds(20)));
    const auto refused = fixture.run(requestWithKey("/read/1", "key-1"));
    REQUIRE(refused);
    CHECK(refused->result_int() == 429);
}

// Guards against requests that go on waiting for a limit that the operator has removed.
TEST_CASE("A request that waits for its limit goes on when the limit is removed")
{
    KeepingServer server;
    SteeringFixture fixture;
    fixture.addServer("i-1", server.backend.port());
    Tenants::Tenant limited = tenant("a", { "key-1" });
    limited.requestsPerSecond = 0.01;
    limited.burst = 1.0;
    fixture.configure(absl::Seconds(5), 3, {}, {}, { limited });
    const auto response = fixture.startRequest(requestWithKey("/read/1", "key-1"));
    fixture.runFor(absl::Milliseconds(1));
    fixture.configure(absl::Seconds(5), 3, {}, {}, { tenant("a", { "key-1" }) });
    REQUIRE(fixture.runUntil([&] { return response->has_value(); }));
    CHECK((*response)->result_int() == 200);
}

// Guards against a surge of one tenant that moves the requests of a region to its homes (SHIFT).
TEST_CASE("A surge of requests with homes elsewhere is let in slowly, and others are served")
{
    KeepingServer west;
    KeepingServer east;
    SteeringFixture fixture;
    fixture.addServer("i-west", west.backend.port(), "a");
    fixture.addServer("i-east", east.backend.port(), "b");
    fixture.configure(absl::Seconds(5), 3, {}, {},
                      { tenant("homed", { "key-1" }, { Common::RegionName("east") }),
                        tenant("free", { "key-2" }, { Common::RegionName("west") }) });
    const auto send = [&fixture](const std::string &key, int count) {
        int served = 0;
        for (; count > 0; --count) {
            const auto response = fixture.run(requestWithKey("/read/1", key));
            REQUIRE(response);
            CHECK((response->result_int() == 200 || response->result_int() == 503));
            served += response->result_int() == 200 ? 1 : 0;
        }
        return served;
    };
    CHECK(send("key-2", 100) == 100);
    absl::SleepFor(absl::Seconds(3));
    CHECK(send("key-2", 100) == 100);
    const int served = send("key-1", 200);
    CHECK(served > 0);
    CHECK(served < 100);
    CHECK(east.requests.size() == static_cast<std::size_t>(served));
    CHECK(send("key-2", 100) == 100);
}
