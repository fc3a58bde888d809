#include "StoreWorker.h"

#include <atomic>
#include <future>

#include <catch2/catch.hpp>

#include "Support/ScriptedBackend.h"

using namespace Currantfall;
using namespace Currantfall::Entry;
using namespace Currantfall::Tests;

namespace {

StoreResult readFrom(const ScriptedBackend &store, StoreCall call)
{
    std::promise<StoreResult> promise;
    auto result = promise.get_future();
    StoreWorker worker({ "127.0.0.1", store.port() }, 1);
    const bool submitted = worker.submit(std::move(call), [&promise](StoreResult answer) {
        promise.set_value(std::move(answer));
    });
    REQUIRE(submitted);
    return result.get();
}

} // namespace

// Guards against an answer of the store that ends the process: bytes without end take its memory,
// and the library's parser recurses for each character of a status line.
TEST_CASE("An answer of the store without end is a failed read")
{
    struct Case
    {
        std::string name;
        std::string start;
        std::string block;
    };
    const std::string letters(std::size_t { 64 } * 1024, 'x');
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const auto odd = GENERATE_COPY(
            Case { "status line", "HTTP/1.1 200 ", letters },
            Case { "header line", ok + "X-Long: ", letters },
            Case { "body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", letters },
            Case { "body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n",
                   "10000\r\n" + letters + "\r\n" },
            Case { "body until the connection ends", ok + "\r\n", letters });
    INFO(odd.name);
    std::atomic<std::size_t> sent { 0 };
    ScriptedBackend store([&](ScriptedConnection &connection) {
        connection.readRequest();
        connection.write(odd.start);
        while (sent < std::size_t { 128 } * 1024 * 1024 && !connection.closedWithin(0)) {
            connection.write(odd.block);
            sent += odd.block.size();
        }
    });
    CHECK_FALSE(readFrom(store, ReadTable { "op", 0 }));
    CHECK(sent < std::size_t { 40 } * 1024 * 1024);
}

// Guards against a limit that keeps a large configuration from being read.
TEST_CASE("A row of several megabytes is read")
{
    const std::string value(std::size_t { 4 } * 1024 * 1024, 'A');
    ScriptedBackend store([&value](ScriptedConnection &connection) {
        connection.readRequest();
        const std::string body = R"({"rows":[{"table":"op","part":"","key":"config","value":")"
                                 + value + R"(","ver":7}],"has_more":false,"ver":7,"now_ms":1})";
        connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                         + std::to_string(body.size()) + "\r\n\r\n" + body);
        connection.closedWithin(2000);
    });
    const StoreResult result = readFrom(store, ReadTable { "op", 0 });
    REQUIRE(result);
    REQUIRE(result->rows.size() == 1);
    CHECK(result->rows.front().value.size() == value.size() / 4 * 3);
}
