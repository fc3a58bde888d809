#include "HttpListener.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include "ElasticThreadPool.h"

namespace Currantfall::Daemon {

namespace {

// cpp-httplib closes a connection after five requests by default.
constexpr std::size_t keepAliveRequests = 1'000'000'000;
constexpr int readTimeoutSeconds = 10;
constexpr absl::Duration startPoll = absl::Milliseconds(1);

} // namespace

HttpListener::HttpListener(std::size_t connections, int idleSeconds)
{
    this->server.new_task_queue = [connections] { return new ElasticThreadPool(connections); };
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
    this->acceptor = std::thread([this] { this->server.listen_after_bind(); });
    // stop() has no effect before the acceptor runs.
    while (!this->server.is_running()) {
        absl::SleepFor(startPoll);
    }
    return {};
}

} // namespace Currantfall::Daemon
