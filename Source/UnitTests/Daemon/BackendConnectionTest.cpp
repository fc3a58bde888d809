#include "BackendConnection.h"

#include <atomic>

#include <catch2/catch.hpp>

#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Daemon;
using namespace Currantfall::Tests;
using Common::Outcome;

namespace {

Request request()
{
    Request result;
    result.method = "POST";
    result.path = "/bookings";
    result.body = "body";
    result.deadline = Common::monotonicNow() + absl::Seconds(5);
    return result;
}

bool isControl(const std::string &text)
{
    return text.find(" /_control/") != std::string::npos;
}

std::string answer(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string attemptHeader(const std::string &text)
{
    return "Currantfall-Attempt: " + headerOf(text, "Currantfall-Attempt") + "\r\n";
}

std::string addressOf(const ScriptedBackend &backend)
{
    return "127.0.0.1:" + std::to_string(backend.port());
}

} // namespace

// Guards against "not run" for an attempt that runs, because an earlier refusal came once more.
TEST_CASE("A refusal without an attempt proves nothing on a connection that was used before")
{
    const bool named = GENERATE(false, true);
    ScriptedBackend backend([named](ScriptedConnection &connection) {
        std::string refusal;
        for (std::string text = connection.readRequest(); !text.empty();
             text = connection.readRequest()) {
            if (isControl(text)) {
                connection.write(answer("200 OK", "", ""));
            } else if (refusal.empty()) {
                refusal = answer("503 Service Unavailable",
                                 (named ? attemptHeader(text) : "")
                                         + std::string("Currantfall-Shed: not-run\r\n"),
                                 "");
                connection.write(refusal);
            } else {
                // Runs the request and repeats the refusal.
                connection.write(refusal + answer("200 OK", attemptHeader(text), "ran"));
            }
        }
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult first = connection.execute("a-1", request());
    CHECK(first.answer.outcome == Outcome::NotRun);
    CHECK(first.verdict == ServerVerdict::Shed);
    const BackendResult second = connection.execute("a-2", request());
    CHECK(second.answer.outcome == Outcome::OutcomeUnknown);
    if (named) {
        // After that the connection is a new one.
        CHECK(connection.execute("a-3", request()).answer.outcome == Outcome::NotRun);
    }
}

// Guards against an answer that is attributed by the first of several attempts that it names.
TEST_CASE("An answer that names two attempts is not used")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        if (isControl(text)) {
            connection.write(answer("200 OK", "", ""));
            return;
        }
        connection.write(answer("503 Service Unavailable",
                                attemptHeader(text)
                                        + "Currantfall-Attempt: a-0\r\n"
                                          "Currantfall-Shed: not-run\r\n",
                                ""));
        connection.closedWithin(1000);
    });
    BackendConnection connection(addressOf(backend));
    CHECK(connection.execute("a-1", request()).answer.outcome == Outcome::OutcomeUnknown);
}

// Guards against an answer without end that takes the memory of the VM.
TEST_CASE("An answer without end is cut and counts as unknown")
{
    const bool chunked = GENERATE(false, true);
    std::atomic<std::size_t> sent { 0 };
    ScriptedBackend backend([&sent, chunked](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        if (isControl(text)) {
            connection.write(answer("200 OK", "", ""));
            return;
        }
        const std::string block(std::size_t { 64 } * 1024, 'x');
        connection.write("HTTP/1.1 200 OK\r\n" + attemptHeader(text)
                         + (chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                    : "Content-Length: 1000000000000\r\n\r\n"));
        while (sent < std::size_t { 160 } * 1024 * 1024 && !connection.closedWithin(0)) {
            connection.write(chunked ? "10000\r\n" + block + "\r\n" : block);
            sent += block.size();
        }
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult result = connection.execute("a-1", request());
    CHECK(result.answer.outcome == Outcome::OutcomeUnknown);
    CHECK(result.verdict == ServerVerdict::Failed);
    CHECK(sent < std::size_t { 40 } * 1024 * 1024);
}

TEST_CASE("A large answer arrives whole")
{
    const std::string body(std::size_t { 10 } * 1024 * 1024, 'y');
    ScriptedBackend backend([&body](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        connection.write(answer("200 OK", attemptHeader(text), body));
        connection.closedWithin(2000);
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult result = connection.execute("a-1", request());
    CHECK(result.answer.outcome == Outcome::Answered);
    CHECK(result.answer.body == body);
}
