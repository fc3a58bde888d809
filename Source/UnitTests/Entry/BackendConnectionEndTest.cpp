#include <future>

#include <catch2/catch.hpp>

#include "PoolFixture.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;
using Steering::AttemptEnd;

// Tests of how connections to backend servers end.

namespace {

/// Reads requests, answers the first `answers` of each connection, and records how it ends.
struct SilentBackend
{
    explicit SilentBackend(int answers) : answers(answers) { }

    PeerClose close() { return this->closed.get_future().get(); }

    int answers;
    std::promise<PeerClose> closed;
    ScriptedBackend backend { [this](ScriptedConnection &connection) {
        for (int count = 0; count < this->answers; ++count) {
            connection.write(answerTo(connection.readRequest(), "ran"));
        }
        connection.readRequest();
        this->closed.set_value(connection.awaitClose(5000));
    } };
};

} // namespace

// Guards against a request that was given up during a cut and is run seconds later, when its server
// has left or its zone was evacuated (DRAIN, EVAC): the end of a connection in order delivers it.
TEST_CASE("A request that is given up is taken back with a reset")
{
    const int answersBefore = GENERATE(0, 1);
    SilentBackend backend(answersBefore);
    PoolFixture fixture;
    for (int count = 0; count < answersBefore; ++count) {
        REQUIRE(fixture.run(fixture.exchange(backend.backend, "answered")).end
                == AttemptEnd::Answered);
    }
    const auto exchange = fixture.exchange(backend.backend, "given-up");
    boost::asio::steady_timer timer(fixture.steering.context);

    SECTION("By its deadline")
    {
        exchange->deadline = Common::monotonicNow() + absl::Milliseconds(300);
    }
    SECTION("By a cancellation")
    {
        timer.expires_after(std::chrono::milliseconds(300));
        timer.async_wait([exchange](const auto &) { exchange->cancel(); });
    }
    SECTION("Because its server became unreachable")
    {
        timer.expires_after(std::chrono::milliseconds(300));
        timer.async_wait([exchange](const auto &) { exchange->interrupt(); });
    }
    CHECK(fixture.run(exchange).end != AttemptEnd::Answered);
    CHECK(backend.close() == PeerClose::Reset);
}

// The end of a process counts as well: its kernel goes on sending what was written.
TEST_CASE("A request that is at work when the pool ends is taken back with a reset")
{
    SilentBackend backend(0);
    {
        PoolFixture fixture;
        boost::asio::co_spawn(
                fixture.steering.context,
                [](PoolFixture &fixture, std::shared_ptr<Exchange> exchange) -> Task {
                    co_await fixture.steering.steering.pool().run(exchange);
                }(fixture, fixture.exchange(backend.backend, "at-work")),
                boost::asio::detached);
        fixture.steering.context.run_for(std::chrono::milliseconds(300));
    }
    CHECK(backend.close() == PeerClose::Reset);
}

// Guards against servers that count resets of connections without a request as failures.
TEST_CASE("A connection without a request ends in order")
{
    std::promise<PeerClose> closed;
    ScriptedBackend backend([&closed](ScriptedConnection &connection) {
        connection.write(answerTo(connection.readRequest(), "ran"));
        closed.set_value(connection.awaitClose(5000));
    });
    PoolFixture fixture;
    const auto exchange = fixture.exchange(backend, "answered");
    REQUIRE(fixture.run(exchange).end == AttemptEnd::Answered);
    fixture.steering.steering.pool().closeIdle(exchange->server.name);
    CHECK(closed.get_future().get() == PeerClose::InOrder);
}
