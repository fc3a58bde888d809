#include "ConnectionServer.h"

#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "ConnectionThreads.h"
#include "HttpStream/SocketStream.h"

namespace Currantfall::BackendStandin {

namespace {

using HttpStream::SocketStream;

constexpr std::size_t maxConnections = 256;
// Callers see these in the Keep-Alive header; the server itself never closes an idle connection.
constexpr std::size_t keepAliveRequests = 1'000'000'000;
constexpr time_t keepAliveSeconds = 86'400;
// A caller that stalls within a request for longer loses its connection.
constexpr absl::Duration stallTimeout = absl::Seconds(30);
constexpr std::size_t maxBodyBytes = std::size_t { 32 } * 1024 * 1024;

// Handlers run on the thread of their connection.
thread_local SocketStream *currentStream = nullptr;

// The library's default would let a second process bind the same address.
void reuseAddressOnly(socket_t descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

} // namespace

ConnectionServer::ConnectionServer(std::function<absl::Duration()> connectionCost)
    : connectionCost(std::move(connectionCost)), stopEvent(eventfd(0, EFD_CLOEXEC))
{
    this->set_socket_options(reuseAddressOnly);
    this->set_tcp_nodelay(true);
    this->set_keep_alive_max_count(keepAliveRequests);
    this->set_keep_alive_timeout(keepAliveSeconds);
    this->set_payload_max_length(maxBodyBytes);
    this->new_task_queue = [] { return new ConnectionThreads(maxConnections); };
}

ConnectionServer::~ConnectionServer()
{
    this->finish();
    close(this->stopEvent);
}

Common::Result<void> ConnectionServer::start(const std::string &address, int port)
{
    if (!this->bind_to_port(address, port)) {
        return tl::unexpected(Common::Error(std::error_code(errno, std::generic_category()), "bind",
                                            absl::StrCat(address, ":", port)));
    }
    this->serveOneRequest();
    this->listener = std::thread([this] { this->listen_after_bind(); });
    // stop() has no effect before the listener runs.
    while (!this->is_running()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return {};
}

void ConnectionServer::finish()
{
    if (!this->listener.joinable()) {
        return;
    }
    eventfd_write(this->stopEvent, 1);
    this->stop();
    this->listener.join();
}

void ConnectionServer::closeWithoutAnswer()
{
    if (currentStream != nullptr) {
        currentStream->discardOutput();
    }
}

// The library initialises static data in its first request. ThreadSanitizer can't see that other
// threads wait for it, because the library is not instrumented, and reported races in requests that
// came at the same time. This request is served before any thread starts.
void ConnectionServer::serveOneRequest()
{
    const std::string request = "GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n";
    std::array<int, 2> ends {};
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0) {
        return;
    }
    if (write(ends[0], request.data(), request.size()) > 0) {
        this->serveRequests(ends[1]);
    }
    close(ends[0]);
    close(ends[1]);
}

bool ConnectionServer::process_and_close_socket(socket_t descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    absl::SleepFor(this->connectionCost());
    this->serveRequests(descriptor);
    ::shutdown(descriptor, SHUT_RDWR);
    close(descriptor);
    return true;
}

void ConnectionServer::serveRequests(socket_t descriptor)
{
    SocketStream stream(descriptor, stallTimeout);
    currentStream = &stream;
    bool open = true;
    while (open && (stream.hasBuffered() || this->waitForRequest(descriptor))) {
        bool closed = false;
        const bool answered = this->process_request(stream, this->stopping(), closed, nullptr);
        open = answered && !closed && !stream.discardsOutput();
    }
    currentStream = nullptr;
}

bool ConnectionServer::waitForRequest(socket_t descriptor) const
{
    std::array<pollfd, 2> entries { { { descriptor, POLLIN, 0 }, { this->stopEvent, POLLIN, 0 } } };
    while (poll(entries.data(), entries.size(), -1) < 0) {
        if (errno != EINTR) {
            return false;
        }
    }
    return entries[0].revents != 0;
}

bool ConnectionServer::stopping() const
{
    pollfd entry { this->stopEvent, POLLIN, 0 };
    return poll(&entry, 1, 0) == 1;
}

} // namespace Currantfall::BackendStandin
