#pragma once

#include <cstddef>
#include <functional>
#include <utility>

#include <boost/beast/core/buffer_traits.hpp>

#include "Asio.h"

namespace Currantfall::Entry {

/// A socket whose reads and writes are observed. The library reads only if its buffer does not
/// suffice, and writes what the socket has not accepted before.
struct ObservedStream
{
    // The library determines these names.
    // NOLINTBEGIN(readability-identifier-naming)
    using executor_type = Tcp::socket::executor_type;
    executor_type get_executor() { return this->socket.get_executor(); }
    template<typename Buffers, typename Handler>
    auto async_read_some(const Buffers &buffers, Handler &&handler)
    {
        ++this->reads;
        return this->socket.async_read_some(buffers, std::forward<Handler>(handler));
    }
    template<typename Buffers, typename Handler>
    auto async_write_some(const Buffers &buffers, Handler &&handler)
    {
        if (this->onWrite) {
            this->onWrite(boost::beast::buffer_bytes(buffers));
        }
        return this->socket.async_write_some(buffers, std::forward<Handler>(handler));
    }
    // NOLINTEND(readability-identifier-naming)

    Tcp::socket &socket;
    int reads = 0;
    /// Called before each write with the number of bytes that are left.
    std::function<void(std::size_t bytes)> onWrite {};
};

} // namespace Currantfall::Entry
