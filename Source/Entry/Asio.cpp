#include "Asio.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Currantfall::Entry {

namespace {

// Maximum number of connections that wait to be accepted. If the queue is full, callers retransmit
// and are delayed by seconds.
constexpr int acceptQueueLength = 1024;
constexpr absl::Duration acceptRetryDelay = absl::Milliseconds(50);

void trySetOption(Tcp::socket &socket, int level, int name, int value)
{
    // Errors are ignored: without one of these options the socket still works, but failures of the
    // peer are detected later.
    (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

} // namespace

void runEventLoop(boost::asio::io_context &context,
                  const std::function<void(const std::exception &)> &onError)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            onError(error);
        }
    }
}

Common::Result<Tcp::acceptor> listenOn(boost::asio::io_context &context,
                                       const Platform::HostPort &endpoint)
{
    IoError error;
    Tcp::acceptor acceptor(context);
    const auto address = boost::asio::ip::make_address(endpoint.host, error);
    const Tcp::endpoint socketAddress(address, static_cast<std::uint16_t>(endpoint.port));
    if (!error) {
        acceptor.open(socketAddress.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(socketAddress, error);
    }
    if (!error) {
        acceptor.listen(acceptQueueLength, error);
    }
    if (error) {
        return tl::unexpected(Common::Error(std::error_code(error.value(), std::generic_category()),
                                            "listen", endpoint.toString(), error.message()));
    }
    return acceptor;
}

Task acceptAll(Tcp::acceptor &acceptor, std::function<void(Tcp::socket)> serve,
               std::function<void(const IoError &)> onError)
{
    while (acceptor.is_open()) {
        IoError error;
        Tcp::socket socket(acceptor.get_executor());
        co_await acceptor.async_accept(socket, awaitInto(error));
        if (error == boost::asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // Usually no file descriptor is free. Connections that are closed free some.
            onError(error);
            boost::asio::steady_timer timer(acceptor.get_executor());
            co_await sleepFor(timer, acceptRetryDelay);
            continue;
        }
        serve(std::move(socket));
    }
}

void enableDeadPeerDetection(Tcp::socket &socket, absl::Duration timeout)
{
    constexpr int probes = 2;
    const int seconds = std::max(1, static_cast<int>(absl::ToInt64Seconds(timeout)) / probes);
    trySetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    trySetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    trySetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    trySetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
    setSendTimeout(socket, timeout);
    trySetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void setSendTimeout(Tcp::socket &socket, absl::Duration timeout)
{
    trySetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                 static_cast<int>(absl::ToInt64Milliseconds(timeout)));
}

void setResetOnClose(Tcp::socket &socket, bool reset)
{
    // Asio would end the connection in order when it destroys a socket whose option it has set.
    const linger option { reset ? 1 : 0, 0 };
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace Currantfall::Entry
