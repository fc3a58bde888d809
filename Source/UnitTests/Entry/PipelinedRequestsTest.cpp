#include <algorithm>
#include <atomic>
#include <mutex>

#include <catch2/catch.hpp>

#include "CallerListener.h"
#include "RawCaller.h"
#include "SteeringFixture.h"
#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;

namespace {

using Responses = std::vector<std::string>;

/// A server that takes as long as the last part of the path says, such as /read/slow-300. Counts
/// what it got.
class TimedServer
{
public:
    TimedServer() : backend([this](ScriptedConnection &connection) { this->serve(connection); }) { }

    std::uint16_t port() const { return this->backend.port(); }
    /// Ids of the requests in the order of their arrival.
    std::vector<std::string> arrived()
    {
        const std::lock_guard lock(this->mutex);
        return this->ids;
    }
    int mostAtOnce() const { return this->most; }
    /// Requests whose connection was closed before their response.
    int cancelled() const { return this->cancelledRequests; }

private:
    void serve(ScriptedConnection &connection)
    {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            {
                const std::lock_guard lock(this->mutex);
                this->ids.push_back(headerOf(request, "Request-Id"));
            }
            const int now = ++this->running;
            this->most = std::max(this->most.load(), now);
            const std::string path = request.substr(0, request.find(" HTTP"));
            const std::size_t time = path.find("slow-");
            const bool gone = time != std::string::npos
                              && connection.closedWithin(std::stoi(path.substr(time + 5)));
            --this->running;
            if (gone) {
                ++this->cancelledRequests;
                return;
            }
            connection.write(answerTo(request, headerOf(request, "Request-Id")));
        }
    }

    std::mutex mutex;
    std::vector<std::string> ids;
    std::atomic<int> running { 0 };
    std::atomic<int> most { 0 };
    std::atomic<int> cancelledRequests { 0 };
    ScriptedBackend backend;
};

std::string get(const std::string &path, const std::string &id, const std::string &headers = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
           + "\r\nDeadline-Ms: 4000\r\nCookie: Affinity-Key=1\r\n" + headers + "\r\n";
}

std::string post(const std::string &path, const std::string &id, const std::string &body = "",
                 const std::string &headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
           + "\r\nDeadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
           + headers + "\r\n" + body;
}

/// A VM with one server and a listener for callers.
struct PipelineFixture : SteeringFixture
{
    PipelineFixture()
    {
        this->settings.callers.port = freePort();
        this->addServer("i-1", this->server.port());
        this->listener
                = CallerListener::start(this->context, this->settings, this->steering, this->log)
                          .value();
    }

    RawCaller connect() const { return RawCaller(this->settings.callers.port); }

    TimedServer server;
    std::unique_ptr<CallerListener> listener;
};

} // namespace

// Guards against late responses: a request was read only after the response before it was written.
TEST_CASE("Requests that are sent before the last response are handled at the same time")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    caller.send(get("/read/slow-1000", "a") + get("/read/slow-1000", "b")
                + get("/read/slow-900", "c"));
    CHECK(fixture.runUntil([&] { return fixture.server.mostAtOnce() == 3; }));
    CHECK(fixture.runUntil([&] { return caller.responses().size() == 3; }));
    CHECK(caller.responses() == Responses { "200 a", "200 b", "200 c" });
    CHECK_FALSE(caller.closedByPeer());
}

TEST_CASE("A response waits for the responses to the earlier requests of its connection")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    caller.send(get("/read/slow-1000", "a") + get("/read/1", "b"));
    CHECK(fixture.runUntil([&] { return fixture.server.arrived().size() == 2; }));
    CHECK(caller.received().empty());
    CHECK(fixture.runUntil([&] { return caller.responses().size() == 2; }));
    CHECK(caller.responses() == Responses { "200 a", "200 b" });
}

// Guards against requests that run twice: callers send again what they sent behind a response that
// closes the connection.
TEST_CASE("A request that must not be repeated waits until earlier requests are answered")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    caller.send(get("/read/slow-150", "a") + post("/write/slow-150", "b", "body")
                + get("/read/1", "c"));
    CHECK(fixture.runUntil([&] { return caller.responses().size() == 3; }));
    CHECK(caller.responses() == Responses { "200 a", "200 b", "200 c" });
    CHECK(fixture.server.arrived() == Responses { "a", "b", "c" });
    CHECK(fixture.server.mostAtOnce() == 1);
}

// Guards against deadlines that servers get although the caller stops waiting before (BUDGET).
TEST_CASE("A request that waits for an earlier one uses its time meanwhile")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    std::string late = post("/write/1", "b");
    late.replace(late.find("4000"), 4, "200");
    caller.send(get("/read/slow-600", "a") + late);
    CHECK(fixture.runUntil([&] { return caller.responses().size() == 2; }));
    CHECK(fixture.server.arrived() == Responses { "a" });
    CHECK(caller.responses().back().starts_with("503"));
}

// Guards against requests that are passed on and then cut off when a VM stops (LOST).
TEST_CASE("A VM that leaves answers what it has passed on before it closes a connection")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    caller.send(get("/read/slow-900", "a") + get("/read/slow-1000", "b")
                + post("/write/1", "c", "body"));
    CHECK(fixture.runUntil([&] { return fixture.server.arrived().size() == 2; }));
    fixture.listener->disableKeepAlive();
    caller.send(get("/read/1", "d"));
    CHECK(fixture.runUntil([&] { return caller.closedByPeer(); }));
    CHECK(caller.responses() == Responses { "200 a", "200 b" });
    CHECK(caller.received().find("Connection: close") > caller.received().find("\r\n\r\na"));
    // The caller sends the others again elsewhere. Which of two parallel requests arrives first is
    // open.
    Responses arrived = fixture.server.arrived();
    std::sort(arrived.begin(), arrived.end());
    CHECK(arrived == Responses { "a", "b" });
    CHECK(fixture.listener->requestsInProgress() == 0);
}

TEST_CASE("Nothing is handled behind a request after which its caller closes the connection")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    std::string last = get("/read/1", "a", "Connection: close\r\n");
    SECTION("HTTP/1.1") { }
    SECTION("HTTP/1.0")
    {
        last = get("/read/1", "a");
        last.replace(last.find("HTTP/1.1"), 8, "HTTP/1.0");
    }
    caller.send(last + get("/read/1", "b"));
    CHECK(fixture.runUntil([&] { return caller.closedByPeer(); }));
    CHECK(caller.responses() == Responses { "200 a" });
    CHECK(fixture.server.arrived() == Responses { "a" });
}

TEST_CASE("A malformed request is refused after the responses to the requests before it")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    caller.send(get("/read/slow-150", "a") + "GET\x01 nonsense\r\n\r\n" + get("/read/1", "c"));
    CHECK(fixture.runUntil([&] { return caller.closedByPeer(); }));
    const Responses responses = caller.responses();
    REQUIRE(responses.size() == 2);
    CHECK(responses[0] == "200 a");
    CHECK(responses[1].starts_with("400"));
    CHECK(fixture.server.arrived() == Responses { "a" });
}

// Guards against an interim response between a response and its body, or before another request's.
TEST_CASE("A caller that waits for permission to send its body gets it after earlier responses")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    const std::string photo = post("/write/1", "b", "body", "Expect: 100-continue\r\n");
    const std::size_t headerEnd = photo.find("\r\n\r\n") + 4;
    caller.send(get("/read/slow-600", "a") + photo.substr(0, headerEnd));
    CHECK(fixture.runUntil([&] { return fixture.server.arrived().size() == 1; }));
    CHECK(caller.received().empty());
    const auto interim = [&] { return caller.received().find("HTTP/1.1 100"); };
    CHECK(fixture.runUntil([&] { return interim() != std::string::npos; }));
    CHECK(interim() > caller.received().find("\r\n\r\na"));
    caller.send(photo.substr(headerEnd));
    CHECK(fixture.runUntil([&] { return caller.responses().back() == "200 b"; }));
}

// Guards against memory that a caller fills that sends requests and reads no responses.
TEST_CASE("A connection has a bounded number of requests in progress")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    constexpr std::size_t sent = 40;
    std::string requests;
    for (std::size_t number = 0; number < sent; ++number) {
        requests += get("/read/slow-100", std::to_string(number));
    }
    caller.send(requests);
    std::size_t most = 0;
    CHECK(fixture.runUntil([&] {
        most = std::max(most, fixture.listener->requestsInProgress());
        return caller.responses().size() == sent;
    }));
    CHECK(most <= Steering::PipelineLimits().requests);
    CHECK(most > 1);
    CHECK(caller.responses().back() == "200 39");
}

// Guards against work for callers that have left (GONE): the close is behind the bytes of other
// requests. Without it the requests take several seconds.
TEST_CASE("A close behind requests that were sent early cancels them")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    const auto waitForArrivals = [&fixture](std::size_t count) {
        REQUIRE(fixture.runUntil([&] { return fixture.server.arrived().size() >= count; }));
    };
    caller.send(get("/read/slow-3500", "a"));
    waitForArrivals(1);
    SECTION("close behind a request that is handled")
    {
        caller.send(get("/read/slow-3500", "b"));
        waitForArrivals(2);
        caller.close();
    }
    SECTION("close behind a request that waits")
    {
        caller.send(post("/write/1", "w", "body"));
        caller.close();
    }
    SECTION("close behind more requests than are read")
    {
        std::string requests;
        for (int number = 0; number < 40; ++number) {
            requests += get("/read/slow-3500", std::to_string(number));
        }
        caller.send(requests);
        waitForArrivals(4);
        caller.close();
    }
    SECTION("reset")
    {
        caller.send(get("/read/slow-3500", "b"));
        waitForArrivals(2);
        caller.reset();
    }
    CHECK(fixture.runUntil([&] { return fixture.listener->requestsInProgress() == 0; }));
    CHECK(fixture.runUntil([&] {
        return fixture.server.cancelled() == static_cast<int>(fixture.server.arrived().size());
    }));
    const Responses arrived = fixture.server.arrived();
    CHECK(std::find(arrived.begin(), arrived.end(), "w") == arrived.end());
}

// A caller that has sent the end of its stream may still read.
TEST_CASE("Responses that are complete reach a caller that has closed its sending side")
{
    PipelineFixture fixture;
    RawCaller caller = fixture.connect();
    caller.send(get("/read/1", "a"));
    CHECK(fixture.runUntil([&] { return fixture.server.arrived().size() == 1; }));
    CHECK(fixture.runUntil([&] { return caller.responses().size() == 1; }));
    caller.closeSending();
    CHECK(fixture.runUntil([&] { return caller.closedByPeer(); }));
    CHECK(caller.responses() == Responses { "200 a" });
}

// Guards against responses that a reset discards, because the socket is closed with unread bytes.
TEST_CASE("The last response of a connection arrives although its caller has sent more")
{
    PipelineFixture fixture;
    fixture.listener->disableKeepAlive();
    RawCaller caller = fixture.connect();
    caller.send(get("/read/slow-600", "a"));
    CHECK(fixture.runUntil([&] { return fixture.server.arrived().size() == 1; }));
    caller.send(post("/write/1", "b", std::string(100'000, 'x')));
    CHECK(fixture.runUntil([&] { return caller.closedByPeer(); }));
    CHECK(caller.responses() == Responses { "200 a" });
    CHECK(fixture.server.arrived() == Responses { "a" });
}

// Guards against connections that never end.
TEST_CASE("Connections without requests, and requests that do not arrive, time out")
{
    PipelineFixture fixture;
    Steering::CallerLimits limits;
    limits.idleTimeout = absl::Milliseconds(300);
    limits.headerTimeout = absl::Milliseconds(200);
    fixture.configure(absl::Seconds(5), 3, {}, limits);
    RawCaller caller = fixture.connect();
    SECTION("idle")
    {
        // The request takes longer than a connection may be idle.
        caller.send(get("/read/slow-600", "a"));
        CHECK(fixture.runUntil([&] { return caller.closedByPeer(); }));
        CHECK(caller.responses() == Responses { "200 a" });
    }
    SECTION("half a header behind a request that runs")
    {
        caller.send(get("/read/slow-400", "a") + "GET /read/1 HTTP/1.1\r\n");
        CHECK(fixture.runUntil([&] { return caller.closedByPeer(); }));
        const Responses responses = caller.responses();
        REQUIRE(responses.size() == 2);
        CHECK(responses[0] == "200 a");
        CHECK(responses[1].starts_with("408"));
    }
}
