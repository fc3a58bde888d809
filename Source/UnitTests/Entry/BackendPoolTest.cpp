#include "BackendPool.h"

#include <atomic>

#include <catch2/catch.hpp>

#include "PoolFixture.h"
#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Entry::Tests;
using namespace Currantfall::Tests;
using Steering::AttemptEnd;

namespace {

constexpr const char *refusalHeaders = "Not-Executed: 1\r\n";

std::string refusalOf(const std::string &request)
{
    return responseTo(request, "503 Service Unavailable", refusalHeaders, "");
}

/// Refuses the first request. Then writes the latest refusal of a connection once more as soon as
/// it gets another request there, and runs that request.
struct RepeatingBackend
{
    std::atomic<int> requests { 0 };
    ScriptedBackend backend { [this](ScriptedConnection &connection) {
        std::string refusal;
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            if (this->requests++ == 0) {
                refusal = refusalOf(request);
                connection.write(refusal);
            } else {
                connection.write(refusal + answerTo(request, "ran"));
            }
        }
    } };
};

/// Answers one request with `start`, and with `block` again and again until the caller closes.
struct EndlessBackend
{
    EndlessBackend(std::string start, std::string block)
        : backend([this, start = std::move(start),
                   block = std::move(block)](ScriptedConnection &connection) {
              if (connection.readRequest().empty()) {
                  return;
              }
              connection.write(start);
              // Ends without the caller as well, so that a missing limit fails the test and not the
              // machine.
              while (this->sent < maxSent && !connection.closedWithin(0)) {
                  connection.write(block);
                  this->sent += block.size();
              }
          })
    { }

    static constexpr std::size_t maxSent = std::size_t { 160 } * 1024 * 1024;

    std::atomic<std::size_t> sent { 0 };
    ScriptedBackend backend;
};

struct EndlessResponse
{
    std::string name;
    std::string start;
    std::string block;
};

std::vector<EndlessResponse> endlessResponses()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n";
    const std::string block(std::size_t { 64 } * 1024, 'x');
    const std::string chunk = "10000\r\n" + block + "\r\n";
    std::string interim;
    std::string stale;
    for (int repeat = 0; repeat < 100; ++repeat) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
        stale += "HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nServer-Seal: s\r\nContent-Length: "
                 "2\r\n\r\nno";
    }
    const std::string staleStart = "HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nServer-Seal: s\r\n";
    return {
        { "bytes without a line", "", block },
        { "a header line", "HTTP/1.1 200 OK\r\nX-Long: ", block },
        { "header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n" + block + "\r\n" },
        { "interim responses", "", interim },
        { "responses to another request", "", stale },
        { "a body of another response", staleStart + "Transfer-Encoding: chunked\r\n\r\n", chunk },
        { "a body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", block },
        { "a body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", chunk },
        { "a body until the connection ends", ok + "\r\n", block },
        { "a chunk's header", ok + "Transfer-Encoding: chunked\r\n\r\n1;x=", block },
        { "trailer fields", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n" }
    };
}

std::size_t memoryLimit(const PoolFixture &fixture)
{
    return fixture.steering.settings.memoryBytes / 5;
}

} // namespace

// Guards against "not run" for a request that runs, because an earlier refusal came once more.
TEST_CASE("A refusal that is repeated on a kept connection is no answer to the next request")
{
    // An id of its own, as callers should send; the id of the refused request; no id at all.
    const auto [firstId, secondId] = GENERATE(table<std::string, std::string>({ { "id-1", "id-2" },
                                                                                { "id-1", "id-1" },
                                                                                { "", "" },
                                                                                { "", "id-2" },
                                                                                { "id-1", "" } }));
    INFO(firstId << " then " << secondId);
    RepeatingBackend repeating;
    PoolFixture fixture;
    CHECK(fixture.run(fixture.exchange(repeating.backend, firstId)).end == AttemptEnd::NotExecuted);
    const ExchangeResult second = fixture.run(fixture.exchange(repeating.backend, secondId));
    CHECK(second.end == AttemptEnd::Answered);
    REQUIRE(second.response);
    CHECK(second.response->body() == "ran");
}

// Guards against a refusal that is repeated while the next request's body is still being written.
TEST_CASE("A repeated refusal during a long body is no answer to its request")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string refusal = refusalOf(connection.readRequest());
        connection.write(refusal);
        const std::string header = connection.readHeader();
        connection.write(refusal);
        if (connection.readBody(header)) {
            connection.write(answerTo(header, "ran"));
        }
        connection.closedWithin(1000);
    });
    PoolFixture fixture;
    CHECK(fixture.run(fixture.exchange(backend, "id-1")).end == AttemptEnd::NotExecuted);
    const auto second = fixture.exchange(backend, "id-2");
    second->request.body() = std::string(std::size_t { 8 } * 1024 * 1024, 'x');
    second->request.prepare_payload();
    const ExchangeResult result = fixture.run(second);
    CHECK(result.end == AttemptEnd::Answered);
    CHECK(backend.connections() == 1);
}

// Guards against a refusal that was written before its connection was used again.
TEST_CASE("A refusal that waits on an idle connection is no answer to the next request")
{
    std::atomic<bool> repeated { false };
    ScriptedBackend backend([&repeated](ScriptedConnection &connection) {
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            if (repeated) {
                connection.write(answerTo(request, "ran"));
                continue;
            }
            connection.write(refusalOf(request));
            absl::SleepFor(absl::Milliseconds(50));
            connection.write(refusalOf(request));
            repeated = true;
        }
    });
    PoolFixture fixture;
    CHECK(fixture.run(fixture.exchange(backend, "id-1")).end == AttemptEnd::NotExecuted);
    while (!repeated) {
        absl::SleepFor(absl::Milliseconds(5));
    }
    CHECK(fixture.run(fixture.exchange(backend, "id-1")).end == AttemptEnd::Answered);
    CHECK(backend.connections() == 2);
}

// Guards against a health check that takes a response to a request for its own, and the other way
// round.
TEST_CASE("Health checks and requests on one connection do not get each other's responses")
{
    std::atomic<int> requests { 0 };
    ScriptedBackend backend([&requests](ScriptedConnection &connection) {
        std::string refusal;
        for (std::string request = connection.readRequest(); !request.empty();
             request = connection.readRequest()) {
            ++requests;
            const std::string previous = refusal;
            refusal = refusalOf(request);
            connection.write(previous + answerTo(request, "ran"));
        }
    });
    PoolFixture fixture;
    CHECK(fixture.run(fixture.exchange(backend, "id-1")).end == AttemptEnd::Answered);
    CHECK(fixture.run(fixture.healthCheck(backend)).end == AttemptEnd::Answered);
    CHECK(fixture.run(fixture.healthCheck(backend)).end == AttemptEnd::Answered);
    CHECK(fixture.run(fixture.exchange(backend, "id-2")).end == AttemptEnd::Answered);
    CHECK(requests == 4);
}

// Guards against a refusal that names another request as well.
TEST_CASE("A response with two request ids belongs to no request")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        connection.write(responseTo(request, "503 Service Unavailable",
                                    "Request-Id: id-0\r\nNot-Executed: 1\r\n", "")
                         + answerTo(request, "ran"));
        connection.closedWithin(1000);
    });
    PoolFixture fixture;
    CHECK(fixture.run(fixture.exchange(backend, "id-1")).end == AttemptEnd::Answered);
}

// Guards against "not run" in a response that only a server that ran the request can give.
TEST_CASE("A request is not taken as not executed with the status of one that ran")
{
    const std::string status = GENERATE("200 OK", "500 Internal Server Error",
                                        "504 Gateway Timeout", "404 Not Found");
    INFO(status);
    ScriptedBackend backend([status](ScriptedConnection &connection) {
        connection.write(answerTo(connection.readRequest(), "", status, refusalHeaders));
    });
    PoolFixture fixture;
    const AttemptEnd end = fixture.run(fixture.exchange(backend, "id-1")).end;
    CHECK(end != AttemptEnd::NotExecuted);
    CHECK((status != "200 OK" || end == AttemptEnd::Broken));
}

// Guards against servers whose bytes never end: they must not take the memory of the VM, its time
// until the deadline, or look like a success.
TEST_CASE("Bytes without end are no response and end early")
{
    const EndlessResponse endless = GENERATE(from_range(endlessResponses()));
    INFO(endless.name);
    EndlessBackend server(endless.start, endless.block);
    PoolFixture fixture;
    const auto exchange = fixture.exchange(server.backend, "id-1");
    exchange->deadline = Common::monotonicNow() + absl::Seconds(30);
    const ExchangeResult result = fixture.run(exchange);
    INFO(result.detail);
    CHECK(result.end == AttemptEnd::Broken);
    CHECK_FALSE(result.response);
    CHECK(Common::monotonicNow() < exchange->deadline);
    CHECK(fixture.steering.steering.pool().responseMemory().used() == 0);
    // The limit of one body, and what the buffers of both sockets hold.
    CHECK(server.sent
          < fixture.steering.settings.memoryBytes / 10 + std::size_t { 16 } * 1024 * 1024);
    // Not kept for another request.
    CHECK(exchange->connection->stream.socket().is_open() == false);
}

// Guards against several such servers that together exceed the memory of the VM, or that keep
// others from answering.
TEST_CASE("Several responses without end leave room for the responses of other servers")
{
    const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n\r\n";
    const std::string block(std::size_t { 64 } * 1024, 'x');
    std::vector<std::unique_ptr<EndlessBackend>> servers;
    PoolFixture fixture;
    std::size_t ended = 0;
    for (int server = 0; server < 8; ++server) {
        servers.push_back(std::make_unique<EndlessBackend>(start, block));
        const auto exchange = fixture.exchange(servers.back()->backend, "id-1");
        exchange->server.name = Common::BackendServerName("e-" + std::to_string(server));
        boost::asio::co_spawn(
                fixture.steering.context,
                [](PoolFixture &fixture, std::shared_ptr<Exchange> exchange,
                   std::size_t &ended) -> Task {
                    const auto result = co_await fixture.steering.steering.pool().run(exchange);
                    ended += result.end == AttemptEnd::Broken ? 1 : 0;
                }(fixture, exchange, ended),
                boost::asio::detached);
    }
    const std::string large(std::size_t { 5 } * 1024 * 1024, 'y');
    ScriptedBackend good([&large](ScriptedConnection &connection) {
        connection.write(answerTo(connection.readRequest(), large));
        connection.closedWithin(5000);
    });
    const std::string small(std::size_t { 60 } * 1024, 'z');
    ScriptedBackend quick([&small](ScriptedConnection &connection) {
        connection.write(answerTo(connection.readRequest(), small));
        connection.closedWithin(5000);
    });
    std::size_t peak = 0;
    bool smallAnswered = false;
    const auto quickExchange = fixture.exchange(quick, "id-2");
    quickExchange->server.name = Common::BackendServerName("q");
    boost::asio::co_spawn(
            fixture.steering.context,
            [](PoolFixture &fixture, std::shared_ptr<Exchange> exchange, bool &answered) -> Task {
                const auto result = co_await fixture.steering.steering.pool().run(exchange);
                answered = result.end == AttemptEnd::Answered;
            }(fixture, quickExchange, smallAnswered),
            boost::asio::detached);
    fixture.steering.context.restart();
    while (ended < servers.size() && fixture.steering.context.run_one() > 0) {
        peak = std::max(peak, fixture.steering.steering.pool().responseMemory().used());
    }
    CHECK(ended == servers.size());
    fixture.steering.runFor(absl::Milliseconds(100));
    CHECK(smallAnswered);
    CHECK(peak <= memoryLimit(fixture) + small.size());
    // A large legitimate response passes.
    const ExchangeResult result = fixture.run(fixture.exchange(good, "id-1"));
    CHECK(result.end == AttemptEnd::Answered);
    REQUIRE(result.response);
    CHECK(result.response->body() == large);
}

// Guards against health checks that read as much as a response to a caller.
TEST_CASE("A health check reads a small body only")
{
    const std::size_t bodyBytes = GENERATE(std::size_t { 1000 }, std::size_t { 100'000 });
    ScriptedBackend backend([bodyBytes](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        connection.write(
                responseTo(request, "200 OK", "Instance-Id: i-1\r\n", std::string(bodyBytes, 'x')));
        connection.closedWithin(1000);
    });
    PoolFixture fixture;
    const AttemptEnd end = fixture.run(fixture.healthCheck(backend)).end;
    CHECK(end == (bodyBytes == 1000 ? AttemptEnd::Answered : AttemptEnd::Broken));
}

// Guards against a part of a response that reaches the caller as the whole (MIXED): the server
// answers a long upload at once, without a length, and resets the connection. The error may be
// reported to the write that is in progress, and the read then sees an ordinary end.
TEST_CASE("A response without length that is reset during the upload is not complete")
{
    const bool keptConnection = GENERATE(false, true);
    const std::string framing
            = GENERATE("", "Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n");
    // Where the write fails first depends on what has been sent at the reset.
    const int delayMs = GENERATE(0, 1, 5, 20, 50);
    INFO("kept: " << keptConnection << ", " << framing << delayMs << " ms");
    ScriptedBackend backend([&](ScriptedConnection &connection) {
        if (keptConnection) {
            connection.write(answerTo(connection.readRequest(), "first"));
        }
        const std::string header = connection.readHeader();
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(header, "Request-Id")
                         + "\r\nServer-Seal: s\r\n" + framing + "\r\n"
                         + (framing.starts_with("T") ? "8\r\na partia" : "a partial body"));
        absl::SleepFor(absl::Milliseconds(delayMs));
        connection.reset();
    });
    PoolFixture fixture;
    if (keptConnection) {
        CHECK(fixture.run(fixture.exchange(backend, "id-0")).end == AttemptEnd::Answered);
    }
    const auto upload = fixture.exchange(backend, "id-1");
    upload->request.body() = std::string(std::size_t { 32 } * 1024 * 1024, 'x');
    upload->request.prepare_payload();
    const ExchangeResult result = fixture.run(upload);
    INFO(result.detail);
    CHECK(result.end == AttemptEnd::Broken);
    CHECK_FALSE(result.response);
    CHECK(backend.connections() == 1);
}

// Guards against a complete response that is discarded, because its server ended it with the
// connection before it had read the whole upload.
TEST_CASE("A response without length that ends in order during the upload is complete")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string header = connection.readHeader();
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n\r\nall of it");
        connection.closeSending();
        (void)connection.readBody(header);
    });
    PoolFixture fixture;
    const auto upload = fixture.exchange(backend, "id-1");
    upload->request.body() = std::string(std::size_t { 32 } * 1024 * 1024, 'x');
    upload->request.prepare_payload();
    const ExchangeResult result = fixture.run(upload);
    INFO(result.detail);
    REQUIRE(result.end == AttemptEnd::Answered);
    CHECK(result.response->body() == "all of it");
}

// Guards against a response that is none (MIXED), and against a request that waits until its
// deadline for another one.
TEST_CASE("A status that is none of HTTP is no response and ends the request")
{
    const std::string status = GENERATE("000 Trouble", "099 Trouble", "101 Switching Protocols",
                                        "600 Trouble", "700 Trouble", "999 Trouble", "+20 OK",
                                        "-20 OK", "20 OK", "2000 OK", "0x2 OK");
    const std::string framing = GENERATE("Content-Length: 7\r\n", "");
    INFO(status << " " << framing);
    ScriptedBackend backend([&](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        connection.write("HTTP/1.1 " + status + "\r\nRequest-Id: id-1\r\nServer-Seal: s\r\n"
                         + framing + "\r\ntrouble");
        if (!framing.empty()) {
            // A server that keeps its connection open.
            connection.closedWithin(5000);
        }
    });
    PoolFixture fixture;
    const auto exchange = fixture.exchange(backend, "id-1");
    exchange->deadline = Common::monotonicNow() + absl::Seconds(30);
    const ExchangeResult result = fixture.run(exchange);
    INFO(result.detail);
    CHECK(result.end == AttemptEnd::Broken);
    CHECK_FALSE(result.response);
    CHECK(Common::monotonicNow() < exchange->deadline - absl::Seconds(20));
}

// Guards against a strict reading that refuses proper responses.
TEST_CASE("Interim responses and unusual statuses of HTTP are read")
{
    const std::string status = GENERATE("200 ", "204 No Content", "299 Odd", "404 Not Found");
    INFO(status);
    ScriptedBackend backend([&](ScriptedConnection &connection) {
        const std::string request = connection.readRequest();
        connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                         + answerTo(request, "", status));
    });
    PoolFixture fixture;
    const ExchangeResult result = fixture.run(fixture.exchange(backend, "id-1"));
    INFO(result.detail);
    CHECK(result.end == AttemptEnd::Answered);
}

// Guards against uploads that are broken off because their server is at work and does not read on
// for longer than the timeout for silent servers (LOST).
TEST_CASE("An upload continues after a pause of its server")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string header = connection.readHeader();
        absl::SleepFor(absl::Milliseconds(3500));
        if (connection.readBody(header)) {
            connection.write(answerTo(header, "done"));
        }
    });
    PoolFixture fixture;
    const auto upload = fixture.exchange(backend, "id-1");
    upload->deadline = Common::monotonicNow() + absl::Seconds(30);
    upload->request.body() = std::string(std::size_t { 16 } * 1024 * 1024, 'x');
    upload->request.prepare_payload();
    const ExchangeResult result = fixture.run(upload);
    INFO(result.detail);
    CHECK(result.end == AttemptEnd::Answered);
}
