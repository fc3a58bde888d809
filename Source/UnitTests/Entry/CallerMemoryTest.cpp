#include <algorithm>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "CallerListener.h"
#include "RawCaller.h"
#include "SteeringFixture.h"
#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

std::string head(const std::string &line, const std::string &fields)
{
    return line + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 20000\r\n"
           + fields + "\r\n";
}

/// A VM of 64 MiB, of which requests and responses may take 37, with one server.
struct ListenerFixture : SteeringFixture
{
    ListenerFixture()
    {
        this->settings.callers.port = freePort();
        this->settings.maxDescriptors = 256;
        this->addServer("i-1", this->backend.port());
        this->listener
                = CallerListener::start(this->context, this->settings, this->steering, this->log)
                          .value();
    }

    RawCaller connect() const { return RawCaller(this->settings.callers.port); }
    std::size_t heldBytes() { return this->steering.pool().memoryBudget().used(); }
    /// Sends as the VM reads, because a socket takes only a part of a long text.
    void sendAll(RawCaller &caller, const std::string &text)
    {
        std::size_t sent = 0;
        CHECK(this->runUntil([&] {
            sent += caller.sendSome(text.substr(sent, mebibyte));
            return sent == text.size() || caller.closedByPeer();
        }));
    }

    ScriptedBackend backend { [](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            connection.write(answerTo(request, "body"));
        }
    } };
    std::unique_ptr<CallerListener> listener;
};

} // namespace

// Guards against bodies that stop short of their end and keep others out. The refusal promises that
// the request has not run.
TEST_CASE("A stalled body in chunks is refused when another one needs its memory")
{
    ListenerFixture fixture;
    RawCaller stalled = fixture.connect();
    const std::string chunk = "1400000\r\n" + std::string(20 * mebibyte, 'x') + "\r\n";
    fixture.sendAll(stalled, head("POST /write/1", "Transfer-Encoding: chunked\r\n") + chunk);
    fixture.runFor(absl::Milliseconds(2500));
    CHECK(fixture.heldBytes() >= 20 * mebibyte);
    RawCaller next = fixture.connect();
    fixture.sendAll(next,
                    head("POST /write/1", "Transfer-Encoding: chunked\r\n") + chunk + "0\r\n\r\n");
    CHECK(fixture.runUntil([&] { return !next.responses().empty(); }));
    CHECK(next.responses().front() == "200 body");
    CHECK(fixture.runUntil([&] { return !stalled.responses().empty(); }));
    CHECK(stalled.responses().front().starts_with("503 out-of-memory"));
    CHECK(stalled.received().find("Retry-After: 1.000") != std::string::npos);
    CHECK(fixture.backend.connections() == 1);
}

// Guards against a body that is promised and never sent, and takes the room of others.
TEST_CASE("The announced length of a body takes no memory")
{
    ListenerFixture fixture;
    RawCaller promising = fixture.connect();
    promising.send(head("POST /write/1", "Content-Length: 30000000\r\n"));
    fixture.runFor(absl::Milliseconds(100));
    CHECK(fixture.heldBytes() < mebibyte);
    RawCaller impossible = fixture.connect();
    impossible.send(head("POST /write/1", "Content-Length: 60000000\r\n"));
    CHECK(fixture.runUntil([&] { return !impossible.responses().empty(); }));
    CHECK(impossible.responses().front().starts_with("503 out-of-memory"));
}

// Guards against trailers that are kept without a limit.
TEST_CASE("Trailers and chunk extensions that are too long are refused")
{
    ListenerFixture fixture;
    RawCaller caller = fixture.connect();
    const std::string start = head("POST /write/1", "Transfer-Encoding: chunked\r\n");
    const std::string text
            = GENERATE(std::string("1\r\nx\r\n0\r\nT: "), std::string("1;e="), std::string("0;e="));
    fixture.sendAll(caller, start + text + std::string(mebibyte, 't'));
    CHECK(fixture.runUntil([&] { return !caller.responses().empty(); }));
    CHECK(caller.responses().front().starts_with("431"));
}

// Guards against headers of many small fields, which take a hundred times their bytes while their
// requests wait for a server.
TEST_CASE("Headers of requests that run are bounded")
{
    ScriptedBackend silent([](ScriptedConnection &connection) {
        connection.readRequest();
        connection.closedWithin(20'000);
    });
    ListenerFixture fixture;
    // No request times out meanwhile, also on a slow machine.
    fixture.configure(absl::Seconds(60));
    fixture.steering.servers().remove(Common::BackendServerName("i-1"));
    fixture.addServer("i-2", silent.port());
    fixture.steering.servers().find(Common::BackendServerName("i-2"))->setPlausibleSlots(1000);
    std::string fields;
    while (fields.size() < 15'000) {
        fields += "a:\r\n";
    }
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int index = 0; index < 60; ++index) {
        callers.push_back(std::make_unique<RawCaller>(fixture.settings.callers.port));
        fixture.sendAll(*callers.back(), head("GET /read/" + std::to_string(index), fields));
    }
    CHECK(fixture.runUntil([&callers] {
        return std::any_of(callers.begin(), callers.end(), [](const auto &caller) {
            const auto responses = caller->responses();
            return !responses.empty() && responses.front().starts_with("503 out-of-memory");
        });
    }));
    CHECK(fixture.heldBytes() <= 42 * mebibyte);
}

// Guards against callers that only open connections and leave no descriptor for others.
TEST_CASE("The least active connection makes room for a new one")
{
    ListenerFixture fixture;
    std::vector<std::unique_ptr<RawCaller>> idle;
    for (int index = 0; index < 128; ++index) {
        idle.push_back(std::make_unique<RawCaller>(fixture.settings.callers.port));
        fixture.runFor(absl::Milliseconds(2));
    }
    // The first one becomes the most active.
    idle.front()->send(head("GET /read/1", ""));
    CHECK(fixture.runUntil([&] { return !idle.front()->responses().empty(); }));
    RawCaller next = fixture.connect();
    next.send(head("GET /read/1", ""));
    CHECK(fixture.runUntil([&] { return !next.responses().empty(); }));
    CHECK(next.responses().front() == "200 body");
    CHECK_FALSE(idle.front()->closedByPeer());
    CHECK(idle[1]->closedByPeer());
}

TEST_CASE("An empty line before a request is skipped")
{
    ListenerFixture fixture;
    RawCaller caller = fixture.connect();
    caller.send("\r\n" + head("GET /read/1", "") + "\r\n" + head("GET /read/1", ""));
    CHECK(fixture.runUntil([&] { return caller.responses().size() == 2; }));
    CHECK(caller.responses().back() == "200 body");
}

// Guards against memory and connections that stay counted after odd requests, in any order of
// sending and leaving: the VM would refuse everyone after some time.
TEST_CASE("Whatever callers send, nothing stays counted after they have left")
{
    const std::vector<std::string> parts {
        head("GET /read/1", ""),
        head("GET /read/1", "Connection: close\r\n"),
        head("POST /write/1", "Content-Length: 5\r\n") + "12345",
        head("POST /write/1", "Content-Length: 500000\r\n") + std::string(1000, 'x'),
        head("POST /write/1", "Transfer-Encoding: chunked\r\n"),
        "5\r\n12345\r\n",
        "0\r\n\r\n",
        "0\r\nT: t\r\n\r\n",
        "ffffffffffffffff\r\n",
        "\r\n",
        "GET /read/1 HT",
        head("GET /none/1", ""),
        head("POST /write/1", "Expect: 100-continue\r\nContent-Length: 3\r\n") + "123",
        "H: " + std::string(20'000, 'h') + "\r\n",
        std::string("\0\xff\n", 3),
    };
    CHECK(rc::check("memory and connections", [&parts] {
        ListenerFixture fixture;
        std::vector<std::unique_ptr<RawCaller>> callers;
        const int steps = *rc::gen::inRange(1, 25);
        for (int step = 0; step < steps; ++step) {
            const int action = *rc::gen::inRange(0, 10);
            if (action <= 1 || callers.empty()) {
                callers.push_back(std::make_unique<RawCaller>(fixture.settings.callers.port));
                continue;
            }
            const auto chosen = static_cast<std::size_t>(
                    *rc::gen::inRange(0, static_cast<int>(callers.size())));
            if (action == 2) {
                callers.erase(callers.begin() + static_cast<std::ptrdiff_t>(chosen));
            } else if (action == 3) {
                callers[chosen]->reset();
                callers.erase(callers.begin() + static_cast<std::ptrdiff_t>(chosen));
            } else if (action == 4) {
                callers[chosen]->closeSending();
            } else if (action == 5) {
                fixture.runFor(absl::Milliseconds(5));
            } else {
                const std::string &part = parts[static_cast<std::size_t>(
                        *rc::gen::inRange(0, static_cast<int>(parts.size())))];
                (void)callers[chosen]->sendSome(part);
            }
        }
        fixture.runFor(absl::Milliseconds(5));
        callers.clear();
        RC_ASSERT(fixture.runUntil([&] {
            return fixture.heldBytes() == 0 && fixture.listener->openConnections() == 0;
        }));
    }));
}
