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

// Guards against a pause that is overlooked, or read where the server asks for none.
TEST_CASE("A 503 with Retry-After carries the server's pause, also without a shed")
{
    struct Case
    {
        std::string status;
        std::string headers;
        absl::Duration pause;
        absl::Duration suggested;
    };
    const std::string shed = "Currantfall-Shed: not-run\r\n";
    const auto expected = GENERATE_COPY(
            Case { "503 Service Unavailable", shed + "Retry-After: 2.5\r\n",
                   absl::Milliseconds(2500), absl::Seconds(1) },
            Case { "503 Service Unavailable", shed + "Retry-After: 0.5\r\nRetry-After: 0.25\r\n",
                   absl::Milliseconds(500), absl::Milliseconds(500) },
            Case { "503 Service Unavailable", "Retry-After: 3\r\n", absl::Seconds(3),
                   absl::ZeroDuration() },
            Case { "503 Service Unavailable", shed + "Retry-After: soon\r\n", absl::ZeroDuration(),
                   absl::ZeroDuration() },
            Case { "429 Too Many Requests", "Retry-After: 3\r\n", absl::ZeroDuration(),
                   absl::ZeroDuration() },
            Case { "200 OK", "Retry-After: 3\r\n", absl::ZeroDuration(), absl::ZeroDuration() });
    ScriptedBackend backend([&expected](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        connection.write(answer(expected.status, attemptHeader(text) + expected.headers, ""));
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult result = connection.execute("a-1", request());
    INFO(expected.status << " " << expected.headers);
    CHECK(result.notice.pause() == expected.pause);
    CHECK(result.answer.retryAfter == expected.suggested);
}

// Guards against a server that stays out of use for ever, because nothing tells its runs apart.
TEST_CASE("A server leaves only if it says when it started")
{
    const auto [headers, isLeaving, start] = GENERATE(table<std::string, bool, std::int64_t>({
            { "Currantfall-Leaving: 1\r\nCurrantfall-Started-Ms: 1700000000000\r\n", true,
              1'700'000'000'000 },
            { "Currantfall-Leaving: 0\r\nCurrantfall-Started-Ms: 1700000000000\r\n", false,
              1'700'000'000'000 },
            { "Currantfall-Started-Ms: 5\r\n", false, 5 },
            { "Currantfall-Leaving: 1\r\n", false, 0 },
            { "Currantfall-Leaving: 1\r\nCurrantfall-Started-Ms: -5\r\n", false, 0 },
            { "Currantfall-Leaving: 1\r\nCurrantfall-Started-Ms: today\r\n", false, 0 },
    }));
    ScriptedBackend backend([&headers = headers](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        connection.write(answer("200 OK", attemptHeader(text) + headers, ""));
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult result = connection.execute("a-1", request());
    INFO(headers);
    CHECK(result.notice.leaving() == isLeaving);
    CHECK(result.serverStart == absl::FromUnixMillis(start));
    // The start concerns this VM only; that the server leaves also its callers.
    for (const Common::Header &header : result.answer.headers) {
        CHECK(header.name != "Currantfall-Started-Ms");
    }
}

// Guards against a pause that another request's answer asks for.
TEST_CASE("An answer that belongs to another attempt asks for no pause")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        connection.readRequest();
        connection.write(answer("503 Service Unavailable",
                                "Currantfall-Attempt: a-0\r\nRetry-After: 3\r\n", ""));
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult result = connection.execute("a-1", request());
    CHECK(result.answer.outcome == Outcome::OutcomeUnknown);
    CHECK(result.notice.pause() == absl::ZeroDuration());
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

// Guards against bytes that are no answer, in a head or between the parts of a body, that take the
// memory of the VM or hold a connection beyond the request's deadline.
TEST_CASE("Bytes without end outside a body are cut and count as unknown")
{
    struct Case
    {
        std::string name;
        /// Without the attempt's header, which follows if it ends with a line break.
        std::string start;
        std::string block;
    };
    const std::string letters(std::size_t { 64 } * 1024, 'x');
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n";
    const auto odd = GENERATE_COPY(
            Case { "status line", "HTTP/1.1 200 ", letters },
            Case { "header line", ok + "X-Long: ", letters },
            Case { "header lines", ok, "X-Next: value\r\n" },
            Case { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
            Case { "size of a chunk", chunked + "\r\n5\r\nhello\r\n1;", letters },
            Case { "trailer", chunked + "\r\n5\r\nhello\r\n0\r\nX-Long: ", letters });
    const bool cancelAnswer = GENERATE(false, true);
    INFO(odd.name << (cancelAnswer ? ", answer to the cancellation" : ""));
    std::atomic<std::size_t> sent { 0 };
    ScriptedBackend backend([&](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        if (isControl(text) != cancelAnswer) {
            // Without an answer to the request, its cancellation follows.
            return;
        }
        connection.write(odd.start);
        while (sent < std::size_t { 64 } * 1024 * 1024 && !connection.closedWithin(0)) {
            connection.write(odd.block);
            sent += odd.block.size();
        }
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult result = connection.execute("a-1", request());
    CHECK(result.answer.outcome == Outcome::OutcomeUnknown);
    CHECK(result.verdict == ServerVerdict::Failed);
    // What the sockets hold is not in the VM's memory.
    CHECK(sent < std::size_t { 16 } * 1024 * 1024);
}

// Guards against a long status line that ends the process: the library's parser recurses for each
// of its characters.
TEST_CASE("A long status line is no answer")
{
    const std::size_t length = GENERATE(2'000U, 60'000U, 1'000'000U);
    ScriptedBackend backend([length](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        connection.write("HTTP/1.1 200 " + std::string(length, 'x') + "\r\n" + attemptHeader(text)
                         + "Content-Length: 0\r\n\r\n");
        connection.closedWithin(1000);
    });
    BackendConnection connection(addressOf(backend));
    CHECK(connection.execute("a-1", request()).answer.outcome == Outcome::OutcomeUnknown);
}

// Guards against a server that sends a head so slowly that a connection is held for good.
TEST_CASE("A head that is not complete at the request's deadline is given up")
{
    ScriptedBackend backend([](ScriptedConnection &connection) {
        if (isControl(connection.readRequest())) {
            return;
        }
        connection.write("HTTP/1.1 200 OK\r\nX-Slow: ");
        while (!connection.closedWithin(20)) {
            connection.write("x");
        }
    });
    BackendConnection connection(addressOf(backend));
    Request slow = request();
    slow.deadline = Common::monotonicNow() + absl::Milliseconds(300);
    const BackendResult result = connection.execute("a-1", slow);
    CHECK(result.answer.outcome == Outcome::OutcomeUnknown);
    CHECK(result.verdict == ServerVerdict::TimedOut);
    CHECK(Common::monotonicNow() < slow.deadline + absl::Seconds(2));
}

// Guards against a limit of heads that counts the parts of a body.
TEST_CASE("A body of many small chunks arrives whole")
{
    constexpr std::size_t chunks = 40'000;
    ScriptedBackend backend([](ScriptedConnection &connection) {
        const std::string text = connection.readRequest();
        connection.write("HTTP/1.1 200 OK\r\n" + attemptHeader(text)
                         + "Transfer-Encoding: chunked\r\n\r\n");
        std::string body;
        for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
            body += "1\r\nz\r\n";
        }
        connection.write(body + "0\r\n\r\n");
        connection.closedWithin(2000);
    });
    BackendConnection connection(addressOf(backend));
    const BackendResult result = connection.execute("a-1", request());
    CHECK(result.answer.outcome == Outcome::Answered);
    CHECK(result.answer.body == std::string(chunks, 'z'));
}

// Guards against a body limit that cuts valid answers.
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
