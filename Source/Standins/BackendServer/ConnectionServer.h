#pragma once

#include <functional>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"

namespace Currantfall::BackendStandin {

/// An HTTP server with a thread for each connection. Idle connections stay open until the server
/// stops or the other side closes.
class ConnectionServer : public httplib::Server
{
public:
    /// `connectionCost` is the time that a new connection takes before its first request.
    explicit ConnectionServer(std::function<absl::Duration()> connectionCost);
    ~ConnectionServer() override;

    ConnectionServer(const ConnectionServer &) = delete;
    ConnectionServer &operator=(const ConnectionServer &) = delete;

    /// Binds `address` and serves it on a thread of its own.
    Common::Result<void> start(const std::string &address, int port);

    /// Accepts no more, finishes requests that are being read or answered, and waits for them.
    void finish();

    /// Called by a handler: closes its connection without any more bytes of the answer.
    static void closeWithoutAnswer();

private:
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool process_and_close_socket(socket_t descriptor) override;

    void serveOneRequest();
    void serveRequests(socket_t descriptor);
    bool waitForRequest(socket_t descriptor) const;
    bool stopping() const;

    std::function<absl::Duration()> connectionCost;
    int stopEvent;
    std::thread listener;
};

} // namespace Currantfall::BackendStandin
