#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

#include <httplib.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Mutex.h"

namespace Currantfall::Daemon {

/// An HTTP server with its accepting thread. Handlers are installed before start().
class HttpListener
{
public:
    /// `connections` are served at the same time; an idle one is closed after `idleSeconds`.
    HttpListener(std::size_t connections, int idleSeconds);
    /// Refuses new connections and waits for the requests in progress.
    ~HttpListener();

    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    httplib::Server &routes() { return this->server; }

    /// `step` names the listener in errors.
    Common::Result<void> start(const std::string &address, std::uint16_t port,
                               const std::string &step);

private:
    /// Waits for the next request of a connection without waking up. cpp-httplib polls each idle
    /// connection for 10 ms and sleeps for 1 ms in turn, which took most of a daemon's processor
    /// time at 600 idle connections and delays requests that arrive during the sleep.
    class Server : public httplib::Server
    {
    public:
        /// Closes the connection that is idle for the longest time, now or when there is one, so
        /// that its thread can serve a connection that waits.
        void closeIdleConnection();
        /// Replaces the library's listen queue after the address is bound.
        bool lengthenQueue() const;

    private:
        // NOLINTNEXTLINE(readability-identifier-naming)
        bool process_and_close_socket(socket_t descriptor) override;
        bool waitForRequest(socket_t descriptor);
        /// False if the connection is to be closed now instead.
        bool enterIdle(socket_t descriptor);
        void leaveIdle(socket_t descriptor);

        Common::Mutex mutex;
        std::list<socket_t> idle; // Longest first.
        /// Connections that wait for one to become idle.
        std::size_t closesDue = 0;
    };

    Server server;
    std::thread acceptor;
};

} // namespace Currantfall::Daemon
