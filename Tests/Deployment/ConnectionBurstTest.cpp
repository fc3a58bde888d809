#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "Support/ProcessFixture.h"

using namespace Currantfall::Tests;

namespace {

constexpr int adminPort = 7009;
constexpr int firstRankPort = 7001;
/// More callers than one failed entry VM sends to the next one at once.
constexpr std::size_t burst = 200;

int startConnecting(const std::string &address, int port)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // The result, EINPROGRESS or success, shows when the connection is polled.
    (void)connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    return descriptor;
}

bool connectEnded(int descriptor)
{
    pollfd state { descriptor, POLLOUT, 0 };
    return poll(&state, 1, 0) == 1;
}

int connectError(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

} // namespace

TEST_CASE("A burst of new connections is taken while a VM is too busy to accept them")
{
    // Guards against a short listen queue. With the five entries of cpp-httplib, callers of a
    // killed entry VM waited for a repeated SYN, a second later, at the next one.
    const std::string address = "127.38." + std::to_string(getpid() / 250 % 250) + "."
                                + std::to_string(getpid() % 250 + 1);
    ProcessFixture daemon(CURRANTFALLD_PATH,
                          { "--vm", "entry-1", "--zone", "lm-a", "--region", "lower-mainland",
                            "--environment", "production", "--address", address, "--platform",
                            address + ":6999" });
    waitUntil([&address] {
        httplib::Client client(address, adminPort);
        return static_cast<bool>(client.Get("/healthz"));
    });
    daemon.pause();
    std::vector<int> connections;
    for (std::size_t index = 0; index < burst; ++index) {
        connections.push_back(startConnecting(address, firstRankPort));
    }
    waitUntil([&connections] {
        return std::all_of(connections.begin(), connections.end(), connectEnded);
    });
    for (const int connection : connections) {
        CHECK(connectError(connection) == 0);
        close(connection);
    }
}
