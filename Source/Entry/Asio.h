#pragma once

#include <exception>
#include <functional>
#include <utility> // Boost 1.74's awaitable.hpp uses std::exchange without including it.

#include <absl/time/time.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "currantfall/Common/Error.h"
#include "currantfall/Platform/HostPort.h"

namespace Currantfall::Entry {

using Tcp = boost::asio::ip::tcp;
using IoError = boost::system::error_code;
using Task = boost::asio::awaitable<void>;

inline auto awaitInto(IoError &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

inline std::chrono::nanoseconds toChrono(absl::Duration duration)
{
    return absl::ToChronoNanoseconds(duration);
}

/// Waits for `duration`. Returns early, without an error, if the timer is cancelled.
inline Task sleepFor(boost::asio::steady_timer &timer, absl::Duration duration)
{
    IoError ignored;
    timer.expires_after(toChrono(duration));
    co_await timer.async_wait(awaitInto(ignored));
}

/// Runs the event loop until it is stopped or has no work left. An exception of a handler ends only
/// that handler; `onError` is called with it.
void runEventLoop(boost::asio::io_context &context,
                  const std::function<void(const std::exception &)> &onError);

/// Opens a listening socket with a long accept queue.
Common::Result<Tcp::acceptor> listenOn(boost::asio::io_context &context,
                                       const Platform::HostPort &endpoint);

/// Calls `serve` with each accepted connection until the acceptor is closed. Calls `onError` if
/// accepting fails and continues after a short delay.
Task acceptAll(Tcp::acceptor &acceptor, std::function<void(Tcp::socket)> serve,
               std::function<void(const IoError &)> onError);

/// Makes a connection fail if its peer acknowledges neither sent data nor TCP keep-alive probes
/// within `timeout`. Also disables Nagle's algorithm.
void enableDeadPeerDetection(Tcp::socket &socket, absl::Duration timeout);

/// Changes the time after which a connection fails if its peer acknowledges or accepts no bytes
/// that were sent.
void setSendTimeout(Tcp::socket &socket, absl::Duration timeout);

/// Determines how the connection ends when the socket is closed or destroyed: a reset drops the
/// bytes that the peer has not received, while an orderly end still delivers them.
void setResetOnClose(Tcp::socket &socket, bool reset);

} // namespace Currantfall::Entry
