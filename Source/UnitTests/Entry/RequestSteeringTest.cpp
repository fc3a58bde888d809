#include <atomic>
#include <chrono>
#include <thread>

#include <catch2/catch.hpp>

#include "currantfall/Common/RendezvousHash.h"

#include "SteeringFixture.h"
#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;

namespace {

/// Responds to every request on a connection.
void respondToAll(ScriptedConnection &connection)
{
    for (std::string request = connection.readRequest(); !request.empty();
         request = connection.readRequest()) {
        connection.write(answerTo(request, "body"));
    }
}

} // namespace

TEST_CASE("A request reaches its server and the response comes back unchanged")
{
    std::string receivedRequest;
    ScriptedBackend backend([&receivedRequest](ScriptedConnection &connection) {
        receivedRequest = connection.readRequest();
        connection.write(answerTo(receivedRequest, "hello", "201 Created", "X-Own: 1\r\n"));
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    auto request = SteeringFixture::request("/write/x?y=z");
    request.body() = "payload";
    const auto response = fixture.run(request);
    REQUIRE(response);
    CHECK(response->result_int() == 201);
    CHECK(response->body() == "hello");
    CHECK((*response)["X-Own"] == "1");
    CHECK((*response)["Server-Seal"] == "seal");
    CHECK(receivedRequest.starts_with("POST /write/x?y=z HTTP/1.1\r\n"));
    CHECK(receivedRequest.ends_with("\r\n\r\npayload"));
    CHECK(headerOf(receivedRequest, "Expect-Instance") == "i-1");
    CHECK(std::stoi(headerOf(receivedRequest, "Deadline-Ms")) <= 4000);
}

// Guards against executing a request that is not idempotent twice: a retry after an ambiguous
// failure would repeat a request that the first server may have executed.
TEST_CASE("A request that must not be repeated is sent once, whatever the server does")
{
    enum class Fault {
        Silence,
        Reset,
        Truncated,
        Garbage,
        Unsigned,
        StatusWithoutNotExecuted
    };
    const Fault fault = GENERATE(Fault::Silence, Fault::Reset, Fault::Truncated, Fault::Garbage,
                                 Fault::Unsigned, Fault::StatusWithoutNotExecuted);
    std::atomic<int> runs { 0 };
    const auto script = [&runs, fault](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        if (request.empty()) {
            return;
        }
        ++runs;
        const std::string completeResponse = answerTo(request, "a longer body");
        if (fault == Fault::Reset) {
            connection.reset();
        } else if (fault == Fault::Truncated) {
            connection.write(completeResponse.substr(0, completeResponse.size() - 4));
        } else if (fault == Fault::Garbage) {
            connection.write("no response at all\r\n\r\n");
        } else if (fault == Fault::Unsigned) {
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n");
        } else if (fault == Fault::StatusWithoutNotExecuted) {
            // The response has no Not-Executed header, so the request may have been executed.
            connection.write(answerTo(request, "busy", "503 Service Unavailable"));
        }
    };
    ScriptedBackend first(script);
    ScriptedBackend second(script);
    SteeringFixture fixture;
    fixture.addServer("i-1", first.port());
    fixture.addServer("i-2", second.port());
    const auto response = fixture.run(SteeringFixture::request("/write/1"));
    REQUIRE(response);
    CHECK(response->result_int() == 502);
    CHECK(response->count("Retry-After") == 0);
    CHECK(runs == 1);
}

// Guards against returning a failure to the caller although another server could have responded.
TEST_CASE("An idempotent request is repeated at another server")
{
    std::atomic<int> broken { 0 };
    ScriptedBackend bad([&broken](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        if (!request.empty() && ++broken > 0) {
            connection.write(answerTo(request, "a longer body").substr(0, 30));
        }
    });
    ScriptedBackend good(respondToAll);
    // The names determine which server is selected first, so both orders are tested.
    const bool swapped = GENERATE(false, true);
    SteeringFixture fixture;
    fixture.addServer("i-1", swapped ? good.port() : bad.port());
    fixture.addServer("i-2", swapped ? bad.port() : good.port());
    const auto response = fixture.run(SteeringFixture::request("/read/1"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(response->body() == "body");
    CHECK(broken <= 1);
}

// Guards against idempotent requests that wait until their deadline for a response that was lost,
// and against hedges of requests that are not idempotent.
TEST_CASE("A request whose answer is lost goes to another server if it may be repeated")
{
    const bool idempotent = GENERATE(true, false);
    std::atomic<int> lost { 0 };
    std::atomic<int> cancelled { 0 };
    ScriptedBackend silent([&](ScriptedConnection &connection) {
        if (!connection.readRequest().empty()) {
            ++lost;
            cancelled += connection.closedWithin(4500) ? 1 : 0;
        }
    });
    std::atomic<int> answered { 0 };
    ScriptedBackend good([&answered](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            ++answered;
            connection.write(answerTo(request, "body"));
        }
    });
    // The names determine which server is selected first, so both orders are tested.
    const bool swapped = GENERATE(false, true);
    SteeringFixture fixture;
    fixture.addServer("i-1", swapped ? good.port() : silent.port());
    fixture.addServer("i-2", swapped ? silent.port() : good.port());
    const auto response
            = fixture.run(SteeringFixture::request(idempotent ? "/read/1" : "/write/1"));
    REQUIRE(response);
    CHECK(lost + answered == (idempotent ? lost + 1 : 1));
    CHECK(response->result_int() == (answered > 0 ? 200 : 504));
    fixture.runFor(absl::Milliseconds(50));
    if (idempotent) {
        CHECK(cancelled == lost);
    }
}

// Guards against retries that are sent to servers outside the homes of the route (HOME) because the
// configuration changed while the first attempt was running.
TEST_CASE("A retry stays inside the homes that are in force when it is sent")
{
    std::atomic<bool> westFirst { false };
    std::atomic<int> requests { 0 };
    std::atomic<bool> configurationChanged { false };
    const auto breakAfterChange = [&](bool west) {
        return [&, west](ScriptedConnection &connection) {
            if (connection.readRequest().empty()) {
                return;
            }
            if (requests++ == 0) {
                westFirst = west;
            }
            while (!configurationChanged) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            connection.reset();
        };
    };
    ScriptedBackend west(breakAfterChange(true));
    ScriptedBackend east(breakAfterChange(false));
    SteeringFixture fixture;
    fixture.addServer("i-1", west.port(), "a");
    fixture.addServer("i-2", east.port(), "b");
    const auto response = fixture.startRequest(SteeringFixture::request("/read/1"));
    fixture.runFor(absl::Milliseconds(100));
    REQUIRE(requests == 1);
    fixture.configure(absl::Seconds(5), 3, { Common::RegionName(westFirst ? "west" : "east") });
    configurationChanged = true;
    fixture.runFor(absl::Milliseconds(200));
    CHECK(requests == 1);
    REQUIRE(*response);
    CHECK((*response)->result_int() == 502);
}

// Guards against requests that are sent to a server outside the homes of the route (HOME), or in an
// evacuated zone (EVAC), because this was decided before the connection was established.
TEST_CASE("A request is not sent if its server became ineligible while it connected")
{
    std::atomic<int> requests { 0 };
    ScriptedBackend backend([&requests](ScriptedConnection &connection) {
        requests += connection.readRequest().empty() ? 0 : 1;
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port(), "a");
    const bool homesChange = GENERATE(true, false);
    const auto response = fixture.startRequest(SteeringFixture::request("/write/1"));
    // Runs after the selection and before the connection is established.
    boost::asio::post(fixture.context, [&] {
        if (homesChange) {
            fixture.configure(absl::Seconds(5), 3, { Common::RegionName("east") });
        } else {
            fixture.steering.selector().setEvacuatedZones({ Common::ZoneName("a") },
                                                          Common::monotonicNow());
        }
    });
    fixture.runFor(absl::Milliseconds(200));
    REQUIRE(*response);
    CHECK((*response)->result_int() == 503);
    CHECK(requests == 0);
    CHECK(fixture.metrics.counter("currantfall_withheld_requests_total",
                                  { { "reason", "server-ineligible" } })
          == 1);
}

// Guards against requests that wait until their deadline for a server that has failed without
// closing its connections.
TEST_CASE("An overdue request leaves a server to which no connection can be made")
{
    std::atomic<int> stuck { 0 };
    ScriptedBackend *dying = nullptr;
    ScriptedBackend bad([&](ScriptedConnection &connection) {
        if (!connection.readRequest().empty()) {
            ++stuck;
            dying->stopListening();
            (void)connection.closedWithin(5000);
        }
    });
    dying = &bad;
    ScriptedBackend good(respondToAll);
    // The names determine which server is selected first, so both orders are tested.
    const bool swapped = GENERATE(false, true);
    SteeringFixture fixture;
    fixture.addServer("i-1", swapped ? good.port() : bad.port());
    fixture.addServer("i-2", swapped ? bad.port() : good.port());
    const auto read = fixture.startRequest(SteeringFixture::request("/read/1", "id-1"));
    const Common::Instant start = Common::monotonicNow();
    while (!*read && Common::monotonicNow() - start < absl::Seconds(6)) {
        fixture.runFor(absl::Milliseconds(50));
        fixture.steering.advance(Common::monotonicNow());
    }
    REQUIRE(*read);
    CHECK((*read)->result_int() == 200);
    CHECK(stuck <= 1);
}

// Guards against refusing a request after the first full server although another one could take it,
// and against reporting a request as not run although it may have been executed.
TEST_CASE("What a server did not execute goes to another one, or is refused as not run")
{
    const std::string refusal = GENERATE("503 Service Unavailable", "421 Misdirected Request");
    std::atomic<int> asked { 0 };
    const auto refuse = [&asked, refusal](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        if (!request.empty()) {
            ++asked;
            connection.write(answerTo(request, "", refusal, "Not-Executed: 1\r\n"));
        }
    };
    ScriptedBackend first(refuse);
    ScriptedBackend second(refuse);
    SteeringFixture fixture;
    fixture.addServer("i-1", first.port());
    fixture.addServer("i-2", second.port());
    SECTION("all refuse")
    {
        const auto response = fixture.run(SteeringFixture::request("/write/1"));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(response->count("Retry-After") == 1);
        CHECK(asked == 2);
    }
    SECTION("the operator allows one attempt")
    {
        fixture.configure(absl::Seconds(5), 1);
        const auto response = fixture.run(SteeringFixture::request("/write/1"));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(asked == 1);
    }
}

// Guards against "not run, try again" for a request that is running, and against running it at a
// second server, because a server writes an earlier refusal once more.
TEST_CASE("A refusal of an earlier request does not end a later one")
{
    const std::string id = GENERATE("id-1", "id-2", "");
    INFO(id);
    std::atomic<int> requests { 0 };
    const auto script = [&requests](ScriptedConnection &connection) {
        std::string refusal;
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            if (requests++ == 0) {
                refusal = responseTo(request, "503 Service Unavailable", "Not-Executed: 1\r\n", "");
                connection.write(refusal);
            } else {
                connection.write(refusal + answerTo(request, "ran"));
            }
        }
    };
    ScriptedBackend backend(script);
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    fixture.configure(absl::Seconds(5), 1);
    auto first = SteeringFixture::request("/write/1", "id-1");
    auto second = SteeringFixture::request("/write/2", id);
    if (id.empty()) {
        first.erase("Request-Id");
        second.erase("Request-Id");
    }
    CHECK(fixture.run(first)->result_int() == 503);
    const auto response = fixture.run(second);
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(response->body() == "ran");
    CHECK(requests == 2);
}

// Guards against an announced length for which memory is allocated, which ends the process, and
// against bodies above the limit.
TEST_CASE("A response that announces a huge body is not read")
{
    const std::string length = GENERATE("1000000000000", "100000000", "18446744073709551615",
                                        "18446744073709551616", "-1");
    INFO(length);
    std::atomic<int> runs { 0 };
    const auto script = [&](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        if (request.empty()) {
            return;
        }
        ++runs;
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\nContent-Length: "
                         + length + "\r\n\r\nthe first bytes");
        connection.closedWithin(1000);
    };
    ScriptedBackend first(script);
    ScriptedBackend second(script);
    SteeringFixture fixture;
    fixture.addServer("i-1", first.port());
    fixture.addServer("i-2", second.port());
    const auto response = fixture.run(SteeringFixture::request("/write/1"));
    REQUIRE(response);
    CHECK(response->result_int() == 502);
    CHECK(runs == 1);
    fixture.runFor(absl::Milliseconds(20));
}

TEST_CASE("A server that can't be reached has not run the request")
{
    std::uint16_t closedPort = 0;
    {
        const ScriptedBackend ended(respondToAll);
        closedPort = ended.port();
    }
    SteeringFixture fixture;
    fixture.addServer("i-1", closedPort);
    const auto refused = fixture.run(SteeringFixture::request("/write/1"));
    REQUIRE(refused);
    CHECK(refused->result_int() == 503);
    ScriptedBackend good(respondToAll);
    fixture.addServer("i-2", good.port());
    const auto answered = fixture.run(SteeringFixture::request("/write/2"));
    REQUIRE(answered);
    CHECK(answered->result_int() == 200);
}

// Guards against sending the response to another request to the caller.
TEST_CASE("A late response to an earlier request is dropped")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Seal: s\r\n"
                         "Content-Length: 5\r\n\r\nwrong");
        connection.write(answerTo(request, "right"));
        connection.closedWithin(2000);
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    const auto response = fixture.run(SteeringFixture::request("/write/1"));
    REQUIRE(response);
    CHECK(response->body() == "right");
}

// Guards against taking extra bytes after a response for the next response.
TEST_CASE("A connection with unexpected bytes is not used again")
{
    const bool extra = GENERATE(false, true);
    ScriptedBackend backend([extra](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            connection.write(answerTo(request, "body") + (extra ? "HTTP/1.1 200 OK\r\n" : ""));
        }
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    for (int request = 0; request < 3; ++request) {
        // Responses to requests with the same id could not be told apart on one connection.
        const auto response
                = fixture.run(SteeringFixture::request("/read/1", "id-" + std::to_string(request)));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
        fixture.runFor(absl::Milliseconds(20));
    }
    CHECK(backend.connections() == (extra ? 3 : 1));
}

TEST_CASE("A response without length ends with its connection, unless it is reset")
{
    const bool reset = GENERATE(false, true);
    ScriptedBackend backend([reset](ScriptedConnection &connection) {
        connection.readRequest();
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n\r\nall of it");
        if (reset) {
            connection.reset();
        }
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    const auto response = fixture.run(SteeringFixture::request("/write/1"));
    REQUIRE(response);
    CHECK(response->result_int() == (reset ? 502 : 200));
    CHECK((response->body() == "all of it") != reset);
}

// Guards against a caller that waits for its upload to finish although the server has responded.
TEST_CASE("A response to a body that the server has not read arrives at once")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string header = connection.readHeader();
        connection.write(answerTo(header, "too long", "413 Payload Too Large"));
        connection.closedWithin(3000);
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    auto request = SteeringFixture::request("/write/1");
    request.body() = std::string(std::size_t { 8 } * 1024 * 1024, 'x');
    const auto response = fixture.run(request);
    REQUIRE(response);
    CHECK(response->result_int() == 413);
}

// Guards against responses after the route's timeout, and against cancelling attempts of requests
// that are not idempotent.
TEST_CASE("The caller gets its final response at the route's timeout")
{
    const bool idempotent = GENERATE(false, true);
    std::atomic<bool> connectionClosed { false };
    std::atomic<bool> ended { false };
    ScriptedBackend backend([&](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        connectionClosed = connection.closedWithin(1500);
        connection.write(answerTo(request, "late"));
        ended = true;
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    fixture.configure(absl::Milliseconds(1000));
    const auto response
            = fixture.run(SteeringFixture::request(idempotent ? "/read/1" : "/write/1"));
    REQUIRE(response);
    CHECK(response->result_int() == 504);
    while (!ended) {
        fixture.runFor(absl::Milliseconds(20));
    }
    CHECK(connectionClosed == idempotent);
}

// Guards against servers that continue to execute idempotent requests of disconnected callers.
TEST_CASE("Work for a caller that has left ends if it may be repeated")
{
    const bool idempotent = GENERATE(false, true);
    std::atomic<bool> connectionClosed { false };
    std::atomic<bool> ended { false };
    ScriptedBackend backend([&](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        connectionClosed = connection.closedWithin(1000);
        connection.write(answerTo(request, "late"));
        ended = true;
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    const auto response = fixture.run(SteeringFixture::request(idempotent ? "/read/1" : "/write/1"),
                                      absl::Milliseconds(100));
    CHECK_FALSE(response);
    while (!ended) {
        fixture.runFor(absl::Milliseconds(20));
    }
    CHECK(connectionClosed == idempotent);
}

TEST_CASE("Requests without a configuration, a route or a server are refused at once")
{
    SteeringFixture fixture;
    CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 503);
    CHECK(fixture.run(SteeringFixture::request("/none/1"))->result_int() == 404);
    // Without a configuration the VM does not know whether the route exists.
    fixture.steering.setConfiguration(nullptr);
    CHECK(fixture.run(SteeringFixture::request("/none/1"))->result_int() == 503);
}

// Guards against servers that are never used again after a temporary failure.
TEST_CASE("A server that failed is used again after a good health check")
{
    std::atomic<bool> failing { true };
    ScriptedBackend backend([&failing](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            if (failing) {
                return;
            }
            connection.write(request.starts_with("GET /health ")
                                     ? answerTo(request, "", "200 OK", "Instance-Id: i-1\r\n")
                                     : answerTo(request, "body"));
        }
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    for (int request = 0; request < 2; ++request) {
        CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 502);
    }
    CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 503);
    failing = false;
    Steering::ServerRecord *record
            = fixture.steering.servers().find(Common::BackendServerName("i-1"));
    while (!record->usable(Common::monotonicNow())) {
        fixture.steering.advance(Common::monotonicNow());
        fixture.runFor(absl::Milliseconds(20));
    }
    CHECK(fixture.run(SteeringFixture::request("/read/1"))->result_int() == 200);
}

// Guards against callers that wait until their deadline for a server that has lost power.
TEST_CASE("Idempotent requests leave a server that can't be reached any more")
{
    const bool idempotent = GENERATE(false, true);
    std::atomic<int> silent { 0 };
    ScriptedBackend unreachableServer([&](ScriptedConnection &connection) {
        if (!connection.readRequest().empty()) {
            ++silent;
            connection.closedWithin(4000);
        }
    });
    ScriptedBackend good(respondToAll);
    // Choose a name with a lower rendezvous weight, so that the unreachable server is selected
    // first.
    std::string second = "j";
    while (Common::rendezvousWeight("1", second) > Common::rendezvousWeight("1", "i-1")) {
        second += "j";
    }
    SteeringFixture fixture;
    fixture.addServer("i-1", unreachableServer.port());
    fixture.addServer(second, good.port());
    const auto pendingResponse
            = fixture.startRequest(SteeringFixture::request(idempotent ? "/read/1" : "/write/1"));
    while (silent == 0) {
        fixture.runFor(absl::Milliseconds(10));
    }
    unreachableServer.stopListening();
    for (int request = 0; request < 2; ++request) {
        const auto response = fixture.run(SteeringFixture::request("/read/2", "id-2"));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
    }
    fixture.runFor(absl::Milliseconds(300));
    REQUIRE(pendingResponse->has_value() == idempotent);
    if (idempotent) {
        CHECK((*pendingResponse)->result_int() == 200);
    }
}

// Guards against requests that are cut off at the end of a planned stop (LOST): they were taken
// late in the grace period although their server needs longer than what is left of it.
TEST_CASE("A request that may outlive the process is refused as not run")
{
    std::atomic<int> runs { 0 };
    ScriptedBackend backend([&runs](ScriptedConnection &connection) {
        ++runs;
        respondToAll(connection);
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    const std::string path = GENERATE("/read/1", "/write/1");
    SECTION("little time left")
    {
        fixture.steering.setProcessEnd(Common::monotonicNow() + absl::Milliseconds(300));
        const auto response = fixture.run(SteeringFixture::request(path));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(response->body() == "shutting-down\n");
        CHECK(runs == 0);
    }
    SECTION("enough time left")
    {
        fixture.steering.setProcessEnd(Common::monotonicNow() + absl::Seconds(20));
        const auto response = fixture.run(SteeringFixture::request(path));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
    }
}

TEST_CASE("Requests in progress at the end of the process get a response that promises nothing")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        connection.readRequest();
        connection.closedWithin(3000);
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    const std::string path = GENERATE("/read/1", "/write/1");
    const auto response = fixture.startRequest(SteeringFixture::request(path));
    fixture.runFor(absl::Milliseconds(100));
    REQUIRE_FALSE(*response);
    fixture.steering.endRequests();
    REQUIRE(fixture.runUntil([&response] { return response->has_value(); }));
    CHECK((*response)->result_int() == 504);
}

// Guards against partial responses that reach the caller as complete ones (MIXED): a server stops
// in its header, its body or a chunk.
TEST_CASE("A response that breaks off anywhere is not a success")
{
    const bool chunked = GENERATE(false, true);
    const auto wholeResponse = [chunked](const std::string &request) {
        return chunked ? "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
                                 + "\r\nServer-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "6\r\na body\r\n0\r\n\r\n"
                       : answerTo(request, "a body");
    };
    const std::string sample = wholeResponse("\r\nRequest-Id: id-1\r\n");
    std::atomic<std::size_t> length { 0 };
    ScriptedBackend backend([&](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        if (!request.empty()) {
            connection.write(wholeResponse(request).substr(0, length));
        }
    });
    for (length = 0; length <= sample.size(); ++length) {
        SteeringFixture fixture;
        fixture.addServer("i-1", backend.port());
        const auto response = fixture.run(SteeringFixture::request("/write/1"));
        INFO("bytes " << length << " of " << sample.size());
        REQUIRE(response);
        CHECK(response->result_int() == (length == sample.size() ? 200 : 502));
    }
}
