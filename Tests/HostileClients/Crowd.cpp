#include "Crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Currantfall::Tests {

namespace {

constexpr std::size_t bytesPerSend = std::size_t { 256 } * 1024;
// Nothing was accepted for this time: the VM does not read from these clients any more.
constexpr int blockedMs = 2000;

int connectTo(const std::string &host, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (descriptor < 0
        || ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                   != 0) {
        throw std::runtime_error("a client of the crowd can't connect");
    }
    return descriptor;
}

std::size_t lengthOf(const ClientScript &script)
{
    return script.beginning.size() + script.repeated.size() * script.repetitions
           + script.end.size();
}

} // namespace

Crowd::Crowd(const std::string &host, int port, std::vector<ClientScript> scripts)
{
    for (ClientScript &script : scripts) {
        Client client;
        client.descriptor = connectTo(host, port);
        client.length = lengthOf(script);
        client.script = std::move(script);
        this->clients.push_back(std::move(client));
    }
}

Crowd::~Crowd()
{
    for (const Client &client : this->clients) {
        ::close(client.descriptor);
    }
}

std::string Crowd::nextBytes(const Client &client)
{
    const ClientScript &script = client.script;
    std::size_t position = client.position;
    if (position < script.beginning.size()) {
        return script.beginning.substr(position);
    }
    position -= script.beginning.size();
    const std::size_t repeatedBytes = script.repeated.size() * script.repetitions;
    if (position >= repeatedBytes) {
        return script.end.substr(position - repeatedBytes);
    }
    const std::size_t size = std::min(bytesPerSend, repeatedBytes - position);
    std::string bytes = script.repeated.substr(position % script.repeated.size());
    while (bytes.size() < size) {
        bytes += script.repeated;
    }
    bytes.resize(size);
    return bytes;
}

void Crowd::sendSome(Client &client)
{
    const std::string bytes = nextBytes(client);
    const auto count
            = ::send(client.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
        client.position += static_cast<std::size_t>(count);
        this->sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
        client.open = false;
    }
}

void Crowd::send()
{
    while (true) {
        std::vector<pollfd> waiting;
        std::vector<Client *> sending;
        for (Client &client : this->clients) {
            if (client.open && client.position < client.length) {
                waiting.push_back({ client.descriptor, POLLOUT, 0 });
                sending.push_back(&client);
            }
        }
        if (waiting.empty() || ::poll(waiting.data(), waiting.size(), blockedMs) <= 0) {
            return;
        }
        for (std::size_t index = 0; index < waiting.size(); ++index) {
            if (waiting[index].revents != 0) {
                this->sendSome(*sending[index]);
            }
        }
    }
}

} // namespace Currantfall::Tests
