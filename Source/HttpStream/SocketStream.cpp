#include "HttpStream/SocketStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace Currantfall::HttpStream {

namespace {

constexpr std::size_t bufferBytes = 16 * 1024UL;

using NameFunction = int (*)(int, sockaddr *, socklen_t *);

void describeEnd(NameFunction function, socket_t descriptor, std::string &ip, int &port)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    if (function(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        return;
    }
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

SocketStream::SocketStream(socket_t descriptor, absl::Duration stallTimeout)
    : descriptor(descriptor),
      stallTimeoutMs(static_cast<int>(absl::ToInt64Milliseconds(stallTimeout))), buffer(bufferBytes)
{ }

bool SocketStream::waitFor(short events) const
{
    pollfd entry { this->descriptor, events, 0 };
    return poll(&entry, 1, this->stallTimeoutMs) == 1;
}

bool SocketStream::is_readable() const
{
    return this->hasBuffered() || this->waitFor(POLLIN);
}

bool SocketStream::is_writable() const
{
    return this->waitFor(POLLOUT);
}

ssize_t SocketStream::read(char *data, std::size_t size)
{
    if (!this->hasBuffered()) {
        if (!this->waitFor(POLLIN)) {
            return -1;
        }
        const ssize_t received
                = recv(this->descriptor, this->buffer.data(), this->buffer.size(), 0);
        if (received <= 0) {
            return received;
        }
        this->position = 0;
        this->filled = static_cast<std::size_t>(received);
    }
    const std::size_t count = std::min(size, this->filled - this->position);
    std::memcpy(data, this->buffer.data() + this->position, count);
    this->position += count;
    // The library reads lines byte by byte, and everything else in larger pieces.
    if (size == 1 && !this->continueLine(*data)) {
        return -1;
    }
    return static_cast<ssize_t>(count);
}

void SocketStream::beginRequest()
{
    this->inHead = true;
    this->lineBytes = 0;
    this->headBytes = 0;
}

bool SocketStream::continueLine(char next)
{
    if (next == '\n') {
        // The line that ends the head has a carriage return at most.
        this->inHead = this->inHead && this->lineBytes > 1;
        this->lineBytes = 0;
    } else {
        ++this->lineBytes;
    }
    this->headBytes += this->inHead ? 1 : 0;
    return this->lineBytes <= maxLineBytes && this->headBytes <= maxHeadBytes;
}

ssize_t SocketStream::write(const char *data, std::size_t size)
{
    if (this->discarding || !this->waitFor(POLLOUT)) {
        return -1;
    }
    return send(this->descriptor, data, size, MSG_NOSIGNAL);
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    describeEnd(getpeername, this->descriptor, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    describeEnd(getsockname, this->descriptor, ip, port);
}

} // namespace Currantfall::HttpStream
