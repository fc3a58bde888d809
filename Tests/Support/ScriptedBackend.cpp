#include "Support/ScriptedBackend.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Currantfall::Tests {

std::string ScriptedConnection::readHeader()
{
    std::string chunk(4096, '\0');
    while (this->buffer.find("\r\n\r\n") == std::string::npos) {
        const auto received = ::recv(this->descriptor, chunk.data(), chunk.size(), 0);
        if (received <= 0) {
            return {};
        }
        this->buffer.append(chunk.data(), static_cast<std::size_t>(received));
    }
    const std::size_t end = this->buffer.find("\r\n\r\n") + 4;
    std::string header = this->buffer.substr(0, end);
    this->buffer.erase(0, end);
    return header;
}

std::optional<std::string> ScriptedConnection::readBody(const std::string &header)
{
    const std::string length = headerOf(header, "Content-Length");
    const std::size_t expected = length.empty() ? 0 : std::stoul(length);
    std::string chunk(4096, '\0');
    while (this->buffer.size() < expected) {
        const auto received = ::recv(this->descriptor, chunk.data(), chunk.size(), 0);
        if (received <= 0) {
            return std::nullopt;
        }
        this->buffer.append(chunk.data(), static_cast<std::size_t>(received));
    }
    std::string body = this->buffer.substr(0, expected);
    this->buffer.erase(0, expected);
    return body;
}

std::string ScriptedConnection::readRequest()
{
    const std::string header = this->readHeader();
    const auto body = this->readBody(header);
    return body ? header + *body : std::string();
}

void ScriptedConnection::write(const std::string &bytes)
{
    // A peer that has closed is part of many scripts.
    (void)::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool ScriptedConnection::closedWithin(int milliseconds)
{
    return this->awaitClose(milliseconds) != PeerClose::None;
}

PeerClose ScriptedConnection::awaitClose(int milliseconds)
{
    pollfd watched { this->descriptor, POLLIN, 0 };
    char byte = 0;
    if (::poll(&watched, 1, milliseconds) <= 0) {
        return PeerClose::None;
    }
    const auto received = ::recv(this->descriptor, &byte, 1, 0);
    if (received > 0) {
        return PeerClose::None;
    }
    return received < 0 && errno == ECONNRESET ? PeerClose::Reset : PeerClose::InOrder;
}

void ScriptedConnection::closeSending()
{
    ::shutdown(this->descriptor, SHUT_WR);
}

void ScriptedConnection::reset()
{
    const linger now { 1, 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

ScriptedBackend::ScriptedBackend(Script script, const std::string &address, std::uint16_t port)
    : script(std::move(script))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    socklen_t length = sizeof(endpoint);
    auto *generic = reinterpret_cast<sockaddr *>(&endpoint);
    if (::bind(this->listener, generic, length) != 0 || ::listen(this->listener, SOMAXCONN) != 0
        || ::getsockname(this->listener, generic, &length) != 0) {
        throw std::runtime_error("scripted backend can't listen");
    }
    this->listenPort = ntohs(endpoint.sin_port);
    this->acceptor = std::thread([this] { this->accept(); });
}

void ScriptedBackend::stopListening()
{
    if (this->acceptor.joinable()) {
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
    }
}

ScriptedBackend::~ScriptedBackend()
{
    this->stopListening();
    {
        const std::lock_guard lock(this->mutex);
        for (const int descriptor : this->open) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread &worker : this->workers) {
        worker.join();
    }
}

void ScriptedBackend::accept()
{
    while (true) {
        const int descriptor = ::accept(this->listener, nullptr, nullptr);
        if (descriptor < 0) {
            return;
        }
        ++this->accepted;
        const std::lock_guard lock(this->mutex);
        this->open.push_back(descriptor);
        this->workers.emplace_back([this, descriptor] {
            ScriptedConnection connection(descriptor);
            this->script(connection);
            const std::lock_guard closing(this->mutex);
            std::erase(this->open, descriptor);
            ::close(descriptor);
        });
    }
}

std::string headerOf(const std::string &request, const std::string &name)
{
    const std::size_t start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t value = start + name.size() + 4;
    return request.substr(value, request.find("\r\n", value) - value);
}

std::string responseTo(const std::string &request, const std::string &status,
                       const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + headerOf(request, "Request-Id") + "\r\n"
           + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string answerTo(const std::string &request, const std::string &body, const std::string &status,
                     const std::string &headers)
{
    return responseTo(request, status, "Server-Seal: seal\r\n" + headers, body);
}

} // namespace Currantfall::Tests
