#include "ConnectionDrop.h"

#include <arpa/inet.h>
#include <filesystem>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <vector>

#include <absl/strings/numbers.h>

namespace Currantfall::Standins {

namespace {

struct Connection
{
    int descriptor = -1;
    sockaddr_in remote {};
};

std::optional<Connection> connectionOf(const std::string &descriptorName)
{
    Connection connection;
    if (!absl::SimpleAtoi(descriptorName, &connection.descriptor)) {
        return std::nullopt;
    }
    socklen_t size = sizeof(connection.remote);
    if (getpeername(connection.descriptor, reinterpret_cast<sockaddr *>(&connection.remote), &size)
                != 0
        || connection.remote.sin_family != AF_INET) {
        return std::nullopt;
    }
    return connection;
}

std::vector<Connection> connections()
{
    std::vector<Connection> found;
    std::error_code ignored;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
        if (const auto connection = connectionOf(entry.path().filename().string())) {
            found.push_back(*connection);
        }
    }
    return found;
}

} // namespace

void dropConnection(const std::string &remoteAddress, int remotePort)
{
    in_addr address {};
    if (inet_pton(AF_INET, remoteAddress.c_str(), &address) != 1) {
        return;
    }
    for (const Connection &connection : connections()) {
        if (connection.remote.sin_addr.s_addr == address.s_addr
            && ntohs(connection.remote.sin_port) == remotePort) {
            shutdown(connection.descriptor, SHUT_RDWR);
        }
    }
}

void dropAllConnections()
{
    for (const Connection &connection : connections()) {
        shutdown(connection.descriptor, SHUT_RDWR);
    }
}

} // namespace Currantfall::Standins
