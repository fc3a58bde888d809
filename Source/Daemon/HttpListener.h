#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

#include <httplib.h>

#include "currantfall/Common/Error.h"

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
    httplib::Server server;
    socket_t descriptor = INVALID_SOCKET;
    std::thread acceptor;
};

} // namespace Currantfall::Daemon
