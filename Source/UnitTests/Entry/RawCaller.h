#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Currantfall::Entry::Tests {

/// A port on which nothing listens.
std::uint16_t freePort();

/// A caller that decides itself which bytes it sends when. Does not wait for responses.
class RawCaller
{
public:
    /// Connects to a port of the loopback interface. Throws if it can't.
    explicit RawCaller(std::uint16_t port);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes);
    /// Sends as many of the bytes as the connection takes now, and returns their number.
    std::size_t sendSome(const std::string &bytes);
    /// Sends the end of the stream; responses can still be received.
    void closeSending();
    void close();
    /// Closes with a reset.
    void reset();

    /// All bytes that have been received up to now.
    const std::string &received();
    /// Bodies of the complete responses that have been received, with the status in front, such as
    /// "200 body".
    std::vector<std::string> responses();
    /// Whether the peer has closed the connection.
    bool closedByPeer();

private:
    int descriptor = -1;
    bool peerClosed = false;
    std::string bytes;
};

} // namespace Currantfall::Entry::Tests
