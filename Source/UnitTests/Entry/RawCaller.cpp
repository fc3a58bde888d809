#include "RawCaller.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

#include "Support/ScriptedBackend.h"

namespace Currantfall::Entry::Tests {

std::uint16_t freePort()
{
    const Currantfall::Tests::ScriptedBackend temporary(
            [](Currantfall::Tests::ScriptedConnection &) {});
    return temporary.port();
}

RawCaller::RawCaller(std::uint16_t port)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
        != 0) {
        throw std::runtime_error("can't connect");
    }
}

RawCaller::~RawCaller()
{
    this->close();
}

void RawCaller::send(const std::string &bytes)
{
    if (::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
        != static_cast<ssize_t>(bytes.size())) {
        throw std::runtime_error("can't send");
    }
}

std::size_t RawCaller::sendSome(const std::string &bytes)
{
    const auto sent
            = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void RawCaller::closeSending()
{
    ::shutdown(this->descriptor, SHUT_WR);
}

void RawCaller::close()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
}

void RawCaller::reset()
{
    const linger now { 1, 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    this->close();
}

const std::string &RawCaller::received()
{
    char buffer[4096];
    while (!this->peerClosed) {
        const auto count = ::recv(this->descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count > 0) {
            this->bytes.append(buffer, static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        this->peerClosed = true;
    }
    return this->bytes;
}

std::vector<std::string> RawCaller::responses()
{
    std::vector<std::string> responses;
    std::string rest = this->received();
    while (true) {
        const std::size_t end = rest.find("\r\n\r\n");
        if (end == std::string::npos) {
            return responses;
        }
        const std::string length = Currantfall::Tests::headerOf(rest, "Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        if (rest.size() < end + 4 + size) {
            return responses;
        }
        responses.push_back(rest.substr(rest.find(' ') + 1, 3) + " " + rest.substr(end + 4, size));
        rest.erase(0, end + 4 + size);
    }
}

bool RawCaller::closedByPeer()
{
    this->received();
    return this->peerClosed;
}

} // namespace Currantfall::Entry::Tests
