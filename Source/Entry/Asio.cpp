#include "Asio.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Currantfall::Entry {

namespace {

// Connections that wait to be accepted; a full queue delays callers by seconds.
constexpr int acceptQueue = 1024;
constexpr absl::Duration acceptPause = absl::Milliseconds(50);

void setOption(Tcp::socket &socket, int level, int name, int value)
{
    // A socket without one of these options still works, only slower to fail.
    (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

} // namespace

Common::Result<Tcp::acceptor> listenOn(boost::asio::io_context &context,
                                       const Platform::HostPort &endpoint)
{
    IoError error;
    Tcp::acceptor acceptor(context);
    const auto address = boost::asio::ip::make_address(endpoint.host, error);
    const Tcp::endpoint at(address, static_cast<std::uint16_t>(endpoint.port));
    if (!error) {
        acceptor.open(at.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(at, error);
    }
    if (!error) {
        acceptor.listen(acceptQueue, error);
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
            // Out of descriptors: connections that end free some.
            onError(error);
            boost::asio::steady_timer timer(acceptor.get_executor());
            co_await sleepFor(timer, acceptPause);
            continue;
        }
        serve(std::move(socket));
    }
}

void detectSilence(Tcp::socket &socket, absl::Duration silence)
{
    constexpr int probes = 2;
    const int seconds = std::max(1, static_cast<int>(absl::ToInt64Seconds(silence)) / probes);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(absl::ToInt64Milliseconds(silence)));
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace Currantfall::Entry
