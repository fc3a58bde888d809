#include "HttpListener.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include "ElasticThreadPool.h"
#include "HttpStream/SocketStream.h"

namespace Currantfall::Daemon {

namespace {

// cpp-httplib closes a connection after five requests by default.
constexpr std::size_t keepAliveRequests = 1'000'000'000;
constexpr int readTimeoutSeconds = 10;
constexpr int millisecondsPerSecond = 1000;
// A caller that repeats requests sends the next one within this time; its connection stays.
constexpr int leastIdleMs = 20;
// cpp-httplib has a queue of 5. When an entry VM fails, its callers connect to the next ones at
// once, and a connection that finds the queue full is only tried again after a second.
constexpr int listenQueue = 1024;
constexpr absl::Duration startPoll = absl::Milliseconds(1);

} // namespace

void HttpListener::Server::closeIdleConnection()
{
    const Common::MutexLock lock(&this->mutex);
    if (this->idle.empty()) {
        ++this->closesDue;
        return;
    }
    // Wakes only the thread of this connection, which still serves a request that has arrived.
    ::shutdown(this->idle.front(), SHUT_RD);
    this->idle.pop_front();
}

bool HttpListener::Server::enterIdle(socket_t descriptor)
{
    const Common::MutexLock lock(&this->mutex);
    if (this->closesDue > 0) {
        --this->closesDue;
        return false;
    }
    this->idle.push_back(descriptor);
    return true;
}

void HttpListener::Server::leaveIdle(socket_t descriptor)
{
    const Common::MutexLock lock(&this->mutex);
    this->idle.remove(descriptor);
}

bool HttpListener::Server::lengthenQueue() const
{
    // The library has called listen() with its own length; a second call changes it.
    return ::listen(this->svr_sock_, listenQueue) == 0;
}

bool HttpListener::Server::process_and_close_socket(socket_t descriptor)
{
    HttpStream::SocketStream stream(descriptor, absl::Seconds(readTimeoutSeconds));
    bool open = true;
    while (open && (stream.hasBuffered() || this->waitForRequest(descriptor))) {
        const bool stopping = this->svr_sock_ == INVALID_SOCKET;
        stream.beginRequest();
        bool closed = false;
        open = this->process_request(stream, stopping, closed, nullptr) && !closed;
    }
    ::shutdown(descriptor, SHUT_RDWR);
    close(descriptor);
    return true;
}

bool HttpListener::Server::waitForRequest(socket_t descriptor)
{
    pollfd entry { descriptor, POLLIN, 0 };
    if (poll(&entry, 1, leastIdleMs) == 1) {
        return true;
    }
    if (!this->enterIdle(descriptor)) {
        return false;
    }
    const int idleMs = static_cast<int>(this->keep_alive_timeout_sec_) * millisecondsPerSecond;
    const bool readable = poll(&entry, 1, idleMs) == 1;
    this->leaveIdle(descriptor);
    return readable;
}

HttpListener::HttpListener(std::size_t connections, int idleSeconds)
{
    this->server.new_task_queue = [this, connections] {
        return new ElasticThreadPool(connections, [this] { this->server.closeIdleConnection(); });
    };
    this->server.set_keep_alive_max_count(keepAliveRequests);
    this->server.set_keep_alive_timeout(idleSeconds);
    this->server.set_read_timeout(readTimeoutSeconds);
    this->server.set_tcp_nodelay(true);
}

HttpListener::~HttpListener()
{
    this->server.stop();
    if (this->acceptor.joinable()) {
        this->acceptor.join();
    }
}

Common::Result<void> HttpListener::start(const std::string &address, std::uint16_t port,
                                         const std::string &step)
{
    if (!this->server.bind_to_port(address, port)) {
        return Common::failure(Common::ErrorCode::Unavailable, step,
                               address + ":" + std::to_string(port),
                               "the address is in use or not of this VM");
    }
    if (!this->server.lengthenQueue()) {
        return Common::failure(Common::ErrorCode::Unavailable, step,
                               address + ":" + std::to_string(port),
                               "the listen queue can't be made longer");
    }
    this->acceptor = std::thread([this] { this->server.listen_after_bind(); });
    // stop() has no effect before the acceptor runs.
    while (!this->server.is_running()) {
        absl::SleepFor(startPoll);
    }
    return {};
}

} // namespace Currantfall::Daemon
