#include "BackendPool.h"

#include <atomic>

#include <catch2/catch.hpp>

#include "SteeringFixture.h"
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

/// The pool of one VM and one server.
struct PoolFixture
{
    SteeringFixture steering;

    std::shared_ptr<Exchange> exchange(const ScriptedBackend &backend, const std::string &id) const
    {
        auto result = std::make_shared<Exchange>();
        result->server.name = Common::BackendServerName("i-1");
        result->server.address = "127.0.0.1";
        result->server.port = backend.port();
        result->request = SteeringFixture::request("/write/1", id);
        if (id.empty()) {
            result->request.erase("Request-Id");
        }
        result->requestId = id;
        result->deadline = Common::monotonicNow() + absl::Seconds(3);
        return result;
    }

    std::shared_ptr<Exchange> healthCheck(const ScriptedBackend &backend) const
    {
        auto result = this->exchange(backend, "");
        result->request = Adapter::healthRequest("/health", "127.0.0.1");
        result->healthCheck = true;
        result->idempotent = true;
        return result;
    }

    ExchangeResult run(const std::shared_ptr<Exchange> &exchange)
    {
        std::optional<ExchangeResult> result;
        boost::asio::co_spawn(
                this->steering.context,
                [](PoolFixture &fixture, std::shared_ptr<Exchange> exchange,
                   std::optional<ExchangeResult> &result) -> Task {
                    result = co_await fixture.steering.steering.pool().run(exchange);
                    fixture.steering.context.stop();
                }(*this, exchange, result),
                boost::asio::detached);
        this->steering.context.restart();
        this->steering.context.run();
        REQUIRE(result);
        return *result;
    }
};

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
