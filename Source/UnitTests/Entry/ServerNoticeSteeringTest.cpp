#include <atomic>
#include <set>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include "currantfall/Common/RendezvousHash.h"

#include "SteeringFixture.h"
#include "Support/ScriptedBackend.h"

// What backend servers say about themselves decides which of them get requests.

using namespace Currantfall;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;

namespace {

const std::string unavailable = "503 Service Unavailable";

/// A server that gives every request the same response, and counts them.
class CountingBackend
{
public:
    explicit CountingBackend(std::string status = "200 OK", std::string headers = "")
        : backend([this, status, headers](ScriptedConnection &connection) {
              for (std::string request = connection.readRequest(); !request.empty();
                   request = connection.readRequest()) {
                  ++this->count;
                  const bool usual = this->recovered;
                  connection.write(usual ? answerTo(request, "body")
                                         : answerTo(request, "body", status, headers));
              }
          })
    { }

    std::uint16_t port() const { return this->backend.port(); }
    int requests() const { return this->count; }
    /// From now on responses have status 200 and no additional headers.
    void recover() { this->recovered = true; }

private:
    std::atomic<int> count { 0 };
    std::atomic<bool> recovered { false };
    ScriptedBackend backend;
};

/// Name of a server that follows "i-1" in the order for the requests of the fixture.
std::string secondName()
{
    std::string name = "j";
    while (Common::rendezvousWeight("1", name) > Common::rendezvousWeight("1", "i-1")) {
        name += "j";
    }
    return name;
}

double retryAfterOf(const Adapter::HttpResponse &response)
{
    const auto value = response["Retry-After"];
    return value.empty() ? -1.0 : std::stod(std::string(value.data(), value.size()));
}

} // namespace

// Guards against requests to a server that has announced that it leaves although another server
// could take them.
TEST_CASE("A server that announces that it leaves gets no request that another one can take")
{
    CountingBackend leaving("200 OK", "Server-Leaving: 1\r\n");
    CountingBackend staying;
    SteeringFixture fixture;
    fixture.addServer("i-1", leaving.port());
    fixture.addServer(secondName(), staying.port());
    for (int request = 0; request < 4; ++request) {
        const auto response = fixture.run(SteeringFixture::request("/read/1"));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
    }
    CHECK(leaving.requests() == 1);
    CHECK(staying.requests() == 3);
}

// Guards against requests that reach a server after its drain time, and against refusals before.
TEST_CASE("The only server gets requests until its drain time is over")
{
    CountingBackend leaving("200 OK", "Server-Leaving: 1\r\n");
    SteeringFixture fixture;
    fixture.addServer("i-1", leaving.port());
    CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 200);
    fixture.runFor(absl::Milliseconds(1000));
    CHECK(fixture.run(SteeringFixture::request("/write/1"))->result_int() == 200);
    fixture.runFor(absl::Milliseconds(1100));
    CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 503);
    CHECK(fixture.run(SteeringFixture::request("/write/1"))->result_int() == 503);
    CHECK(leaving.requests() == 2);
}

// Guards against requests to a server that has asked for a pause, and against callers that all come
// back before the pause ends or at the same time.
TEST_CASE("A server that asks for a pause gets no requests until the pause ends")
{
    const std::string notExecuted = GENERATE("", "Not-Executed: 1\r\n");
    CountingBackend pausing(unavailable, notExecuted + "Retry-After: 1.5\r\n");
    SteeringFixture fixture;
    fixture.addServer("i-1", pausing.port());
    const Common::Instant start = Common::monotonicNow();
    std::set<double> retryTimes;
    for (int request = 0; request < 20; ++request) {
        const auto response = fixture.run(SteeringFixture::request("/read/1"));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        const double passed = absl::ToDoubleSeconds(Common::monotonicNow() - start);
        CHECK(retryAfterOf(*response) + passed >= 1.5);
        CHECK(retryAfterOf(*response) <= 1.5 * 1.5);
        retryTimes.insert(retryAfterOf(*response));
    }
    CHECK(pausing.requests() == 1);
    CHECK(retryTimes.size() > 10);
    pausing.recover();
    fixture.runFor(absl::Milliseconds(1600));
    CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 200);
}

// Guards against a request that is refused although another server could take it, and against a
// retry that uses the retry budget although all other servers pause.
TEST_CASE("A request that a pausing server turned away goes to another server")
{
    CountingBackend pausing(unavailable, "Not-Executed: 1\r\nRetry-After: 5\r\n");
    CountingBackend usual;
    SteeringFixture fixture;
    fixture.addServer("i-1", pausing.port());
    fixture.addServer(secondName(), usual.port());
    for (int request = 0; request < 3; ++request) {
        const auto response = fixture.run(SteeringFixture::request("/write/1"));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
    }
    CHECK(pausing.requests() == 1);
    CHECK(usual.requests() == 3);
}

// Guards against a server that gets no requests after its pause, because its refusals counted as
// failures.
TEST_CASE("Refusals with a pause do not count as failures of the server")
{
    CountingBackend pausing(unavailable, "Retry-After: 0.3\r\nServer-Load: 0,0,3\r\n");
    SteeringFixture fixture;
    fixture.addServer("i-1", pausing.port());
    const Common::BackendServerName name("i-1");
    for (int round = 0; round < 4; ++round) {
        CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 503);
        fixture.runFor(absl::Milliseconds(320));
    }
    CHECK(pausing.requests() == 4);
    CHECK(fixture.steering.servers().find(name)->failureRate() == 0.0);
    CHECK_FALSE(fixture.steering.outcomes().failing(name, Common::monotonicNow()));
    CHECK(fixture.steering.outcomes().takeReport(Common::monotonicNow()).servers.empty());
}

// Guards against callers that wait for as long as the server asked this VM to wait.
TEST_CASE("Callers are not told the pause of a server as their own")
{
    CountingBackend pausing(unavailable, "Retry-After: 86400\r\n");
    SteeringFixture fixture;
    fixture.addServer("i-1", pausing.port());
    const auto response = fixture.run(SteeringFixture::request("/read/1"));
    REQUIRE(response);
    CHECK(response->result_int() == 503);
    CHECK(response->count("Retry-After") == 1);
    CHECK(retryAfterOf(*response) <= 45.0);
}

// Guards against a pause that is missed because the response that asks for it is incomplete.
TEST_CASE("An incomplete response that asks for a pause counts")
{
    std::atomic<int> requests { 0 };
    ScriptedBackend pausing([&requests](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        if (request.empty()) {
            return;
        }
        ++requests;
        const std::string whole = answerTo(request, "body", unavailable, "Retry-After: 5\r\n");
        connection.write(whole.substr(0, whole.size() - 2));
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", pausing.port());
    for (int request = 0; request < 3; ++request) {
        CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() >= 500);
    }
    CHECK(requests == 1);
}

// Guards against crashes and pauses caused by invalid headers, and against pauses that are asked
// for by other statuses than 503.
TEST_CASE("Responses without a valid pause start none")
{
    const auto [status, headers, malformed] = GENERATE(table<std::string, std::string, int>({
            { unavailable, "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n", 1 },
            { unavailable, "Retry-After: -5\r\n", 1 },
            { unavailable, "Retry-After: soon\r\n", 1 },
            { unavailable, "Retry-After:\r\n", 1 },
            { unavailable, "Retry-After: \xff\xfe\r\n", 1 },
            { unavailable, "Retry-After: 0\r\n", 0 },
            { unavailable, "", 0 },
            { "429 Too Many Requests", "Retry-After: 5\r\n", 0 },
    }));
    CountingBackend backend(status, "Not-Executed: 1\r\n" + headers);
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    for (int request = 0; request < 2; ++request) {
        CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 503);
    }
    CHECK(backend.requests() == 2);
    CHECK(fixture.metrics.counter("currantfall_malformed_server_notices_total")
          == static_cast<std::uint64_t>(2 * malformed));
}

// Guards against health checks, which wait for a slot like other requests, at a server that wants
// no requests.
TEST_CASE("A pausing server gets no health checks")
{
    std::atomic<int> checks { 0 };
    ScriptedBackend backend([&checks](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            if (!request.starts_with("GET /health ")) {
                return;
            }
            ++checks;
            connection.write(answerTo(request, "", unavailable, "Retry-After: 3\r\n"));
        }
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    for (int request = 0; request < 2; ++request) {
        CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 502);
    }
    const Common::Instant start = Common::monotonicNow();
    while (Common::monotonicNow() - start < absl::Milliseconds(2000)) {
        fixture.steering.advance(Common::monotonicNow());
        fixture.runFor(absl::Milliseconds(20));
    }
    CHECK(checks == 1);
}

// Guards against a restarted server that gets no requests because of what its previous run said.
TEST_CASE("A server that starts again under the same name gets requests at once")
{
    CountingBackend backend(unavailable,
                            "Not-Executed: 1\r\nServer-Leaving: 1\r\nRetry-After: 3600\r\n");
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    for (int request = 0; request < 2; ++request) {
        CHECK(fixture.run(SteeringFixture::request("/write/1"))->result_int() == 503);
    }
    CHECK(backend.requests() == 1);
    backend.recover();
    Steering::ServerTable &servers = fixture.steering.servers();
    Steering::BackendServer restarted = servers.find(Common::BackendServerName("i-1"))->server();
    // The requests were sent so long before that the new run can't have answered them.
    restarted.startTime = absl::Now() + absl::Seconds(10);
    servers.put(restarted, Common::monotonicNow());
    CHECK(fixture.run(SteeringFixture::request("/write/1"))->result_int() == 200);
}

// Guards against requests to a server that started again and asked for a pause, or said that it
// leaves, before its new entry was known.
TEST_CASE("A server is not used because of what it said before its new entry is known")
{
    const auto [headers, startedAgo] = GENERATE(table<std::string, absl::Duration>({
            { "Retry-After: 60\r\n", absl::Seconds(1) },
            { "Server-Leaving: 1\r\n", absl::Seconds(20) },
    }));
    CountingBackend backend(unavailable, "Not-Executed: 1\r\n" + headers);
    CountingBackend other;
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    fixture.addServer(secondName(), other.port());
    CHECK(fixture.run(SteeringFixture::request("/write/1"))->result_int() == 200);
    Steering::ServerTable &servers = fixture.steering.servers();
    Steering::BackendServer restarted = servers.find(Common::BackendServerName("i-1"))->server();
    restarted.startTime = absl::Now() - startedAgo;
    servers.put(restarted, Common::monotonicNow());
    for (int request = 0; request < 3; ++request) {
        CHECK(fixture.run(SteeringFixture::request("/write/1"))->result_int() == 200);
        fixture.steering.advance(Common::monotonicNow());
    }
    CHECK(backend.requests() == 1);
    CHECK(other.requests() == 4);
}

// Guards against a server that is not used because of what another server at its address said.
TEST_CASE("Notices of another server at the address are ignored")
{
    const std::string notices = "Server-Leaving: 1\r\nRetry-After: 60\r\n";
    SteeringFixture fixture;
    const Common::BackendServerName name("i-1");
    SECTION("in a response to a request that names the expected server")
    {
        CountingBackend other("421 Misdirected Request", "Not-Executed: 1\r\n" + notices);
        fixture.addServer("i-1", other.port());
        CHECK(fixture.run(SteeringFixture::request("/write/1"))->result_int() == 503);
        CHECK(other.requests() == 1);
    }
    SECTION("in a response to a health check")
    {
        CountingBackend other(unavailable, "Instance-Id: i-2\r\n" + notices);
        fixture.addServer("i-1", other.port());
        Steering::ServerRecord *record = fixture.steering.servers().find(name);
        record->onUnreachable(Common::monotonicNow());
        const Common::Instant start = Common::monotonicNow();
        while (other.requests() == 0 && Common::monotonicNow() - start < absl::Milliseconds(2000)) {
            fixture.steering.advance(Common::monotonicNow());
            fixture.runFor(absl::Milliseconds(20));
        }
        fixture.runFor(absl::Milliseconds(100));
        CHECK(other.requests() == 1);
    }
    CHECK(fixture.steering.notices().size() == 0);
}

// Guards against requests that were waiting for a connection when the server asked for a pause.
TEST_CASE("A request is not sent if the server asked for a pause while it connected")
{
    CountingBackend backend;
    SteeringFixture fixture;
    auto exchange = std::make_shared<Entry::Exchange>();
    exchange->server.name = Common::BackendServerName("i-1");
    exchange->server.address = "127.0.0.1";
    exchange->server.port = backend.port();
    exchange->request = SteeringFixture::request("/write/1");
    exchange->deadline = Common::monotonicNow() + absl::Seconds(2);
    exchange->mayBeSent = [] { return false; };
    std::optional<Entry::ExchangeResult> result;
    boost::asio::co_spawn(
            fixture.context,
            [](Entry::BackendPool &pool, std::shared_ptr<Entry::Exchange> exchange,
               std::optional<Entry::ExchangeResult> &result) -> Entry::Task {
                result = co_await pool.run(exchange);
            }(fixture.steering.pool(), exchange, result),
            boost::asio::detached);
    fixture.runFor(absl::Milliseconds(200));
    REQUIRE(result);
    CHECK(result->end == Steering::AttemptEnd::Withheld);
    CHECK(backend.requests() == 0);
}
