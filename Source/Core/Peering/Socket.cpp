#include "Socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace Currantfall::Peering {

namespace {

using Common::ErrorCode;

Common::Result<sockaddr_in> parseAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &result.sin_addr) != 1) {
        return Common::failure(ErrorCode::InvalidInput, "parse address", address,
                               "not an IPv4 address");
    }
    return result;
}

FileDescriptor openSocket()
{
    return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

bool setOption(const FileDescriptor &socket, int level, int name, int value)
{
    return ::setsockopt(socket.value(), level, name, &value, sizeof(value)) == 0;
}

bool bindTo(const FileDescriptor &socket, const sockaddr_in &address)
{
    return ::bind(socket.value(), reinterpret_cast<const sockaddr *>(&address), sizeof(address))
           == 0;
}

} // namespace

Common::Error systemError(std::string step, std::string peer)
{
    return { std::error_code(errno, std::generic_category()), std::move(step), std::move(peer) };
}

std::string endpointText(const std::string &address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

Common::Result<FileDescriptor> listenOn(const std::string &address, std::uint16_t port)
{
    const std::string text = endpointText(address, port);
    const Common::Result<sockaddr_in> local = parseAddress(address, port);
    if (!local) {
        return tl::unexpected(local.error());
    }
    FileDescriptor socket = openSocket();
    if (!socket.valid()) {
        return tl::unexpected(systemError("open socket", text));
    }
    // A restarted daemon must get its port back while old connections are in TIME_WAIT.
    if (!setOption(socket, SOL_SOCKET, SO_REUSEADDR, 1) || !bindTo(socket, *local)) {
        return tl::unexpected(systemError("bind peer port", text));
    }
    if (::listen(socket.value(), SOMAXCONN) != 0) {
        return tl::unexpected(systemError("listen on peer port", text));
    }
    return socket;
}

Common::Result<std::uint16_t> localPort(const FileDescriptor &socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    if (::getsockname(socket.value(), reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return tl::unexpected(systemError("read local port"));
    }
    return ntohs(address.sin_port);
}

Common::Result<FileDescriptor> startConnect(const std::string &sourceAddress,
                                            const std::string &address, std::uint16_t port)
{
    const std::string text = endpointText(address, port);
    const Common::Result<sockaddr_in> source = parseAddress(sourceAddress, 0);
    if (!source) {
        return tl::unexpected(source.error());
    }
    const Common::Result<sockaddr_in> target = parseAddress(address, port);
    if (!target) {
        return tl::unexpected(target.error());
    }
    FileDescriptor socket = openSocket();
    if (!socket.valid()) {
        return tl::unexpected(systemError("open socket", text));
    }
    setOption(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    if (!bindTo(socket, *source)) {
        return tl::unexpected(systemError("bind source address", text));
    }
    const int result = ::connect(socket.value(), reinterpret_cast<const sockaddr *>(&*target),
                                 sizeof(*target));
    if (result != 0 && errno != EINPROGRESS) {
        return tl::unexpected(systemError("connect", text));
    }
    return socket;
}

Common::Result<void> connectResult(const FileDescriptor &socket, const std::string &peer)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(socket.value(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        return tl::unexpected(systemError("connect", peer));
    }
    if (error != 0) {
        errno = error;
        return tl::unexpected(systemError("connect", peer));
    }
    return {};
}

Common::Result<void> configureLink(const FileDescriptor &socket, absl::Duration writeTimeout)
{
    const int timeout = static_cast<int>(absl::ToInt64Milliseconds(writeTimeout));
    if (!setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1)
        || !setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout)) {
        return tl::unexpected(systemError("set socket options"));
    }
    return {};
}

} // namespace Currantfall::Peering
