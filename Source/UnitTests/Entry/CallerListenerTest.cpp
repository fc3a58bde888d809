#include "CallerListener.h"

#include <atomic>

#include <catch2/catch.hpp>

#include "RawCaller.h"
#include "SteeringFixture.h"
#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;

namespace {

/// Sends the request and closes the connection at once.
void callAndLeave(std::uint16_t port, const std::string &request)
{
    RawCaller caller(port);
    caller.send(request);
}

} // namespace

// Guards against work for callers that have left (GONE): a busy VM reads a request only after its
// caller has closed the connection.
TEST_CASE("A request whose caller left before it was read is not sent to a server")
{
    std::atomic<int> requests { 0 };
    ScriptedBackend backend([&requests](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            ++requests;
            connection.write(answerTo(request, "body"));
        }
    });
    SteeringFixture fixture;
    fixture.addServer("i-1", backend.port());
    fixture.settings.callers.port = freePort();
    const auto listener = CallerListener::start(fixture.context, fixture.settings, fixture.steering,
                                                fixture.log);
    REQUIRE(listener);
    const auto callersGone = [&fixture] {
        return fixture.metrics.counter("currantfall_withheld_requests_total",
                                       { { "reason", "caller-gone" } });
    };
    const std::string head = "Host: h.example\r\nRequest-Id: id-2\r\nDeadline-Ms: 4000\r\n";
    SECTION("over a new connection to the server")
    {
        callAndLeave(fixture.settings.callers.port,
                     "POST /write/1 HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n");
        fixture.runFor(absl::Milliseconds(200));
        CHECK(requests == 0);
        CHECK(callersGone() == 1);
    }
    SECTION("over an idle connection to the server")
    {
        REQUIRE(fixture.run(SteeringFixture::request("/read/1")));
        REQUIRE(requests == 1);
        callAndLeave(fixture.settings.callers.port, "GET /read/1 HTTP/1.1\r\n" + head + "\r\n");
        fixture.runFor(absl::Milliseconds(200));
        CHECK(requests == 1);
        CHECK(callersGone() == 1);
    }
}

// Guards against requests that are sent after their caller got its response, because a connection
// to the server was established late.
TEST_CASE("A caller waits until it has its response or has closed its connection")
{
    boost::asio::io_context context;
    CallerState caller(context);
    bool open = true;
    caller.isOpen = [&open] { return open; };
    CHECK(caller.waits());
    SECTION("response")
    {
        caller.responded = true;
        CHECK_FALSE(caller.waits());
        CHECK_FALSE(caller.disconnected);
    }
    SECTION("closed connection")
    {
        open = false;
        CHECK_FALSE(caller.waits());
        CHECK(caller.disconnected);
    }
}
