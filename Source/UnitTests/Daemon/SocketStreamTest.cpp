#include "HttpStream/SocketStream.h"

#include <array>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <catch2/catch.hpp>

using Currantfall::HttpStream::SocketStream;

namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

/// Number of bytes that the stream passes on one by one until it fails or `text` has ended.
std::size_t bytesRead(const std::string &text)
{
    std::array<int, 2> ends {};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    std::thread writer([&text, descriptor = ends[1]] {
        std::size_t written = 0;
        while (written < text.size()) {
            const auto count = ::send(descriptor, text.data() + written, text.size() - written,
                                      MSG_NOSIGNAL);
            if (count <= 0) {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        ::shutdown(descriptor, SHUT_WR);
    });
    std::size_t total = 0;
    {
        SocketStream stream(ends[0], absl::Seconds(5));
        stream.beginRequest();
        char byte = 0;
        while (stream.read(&byte, 1) == 1) {
            ++total;
        }
    }
    ::close(ends[0]);
    writer.join();
    ::close(ends[1]);
    return total;
}

} // namespace

// Guards against callers of the own interface that make a VM hold a line or a head without end.
TEST_CASE("A stream of requests ends at a line or a head that is too long")
{
    const std::string field = "Field: " + std::string(90, 'v') + "\r\n";
    std::string fields = "GET / HTTP/1.1\r\n";
    while (fields.size() < mebibyte) {
        fields += field;
    }
    CHECK(bytesRead(std::string(mebibyte, 'x')) <= SocketStream::maxLineBytes);
    CHECK(bytesRead(fields) <= SocketStream::maxHeadBytes);
    // A chunk's line after a head of ordinary size.
    CHECK(bytesRead("GET / HTTP/1.1\r\n\r\n1;" + std::string(mebibyte, 'e'))
          <= SocketStream::maxLineBytes + 20);
}

// Guards against limits that end proper requests: a body in small chunks has many lines.
TEST_CASE("A stream of requests passes on heads of proper size and the lines of chunks")
{
    std::string request = "GET / HTTP/1.1\r\nField: " + std::string(8000, 'v') + "\r\n\r\n";
    while (request.size() < mebibyte) {
        request += "1\r\nx\r\n";
    }
    CHECK(bytesRead(request) == request.size());
}
