#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <httplib.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::HttpStream {

/// What one exchange may still read.
struct ReadBounds
{
    /// Bytes of the head, or since the latest bytes of the body.
    std::size_t bytesWithoutBody = 0;
    Common::Instant deadline = Common::Instant::infinite();

    friend bool operator==(const ReadBounds &left, const ReadBounds &right) = default;
};

/// A client of cpp-httplib that reads a bounded response. The library keeps a head, the size of a
/// chunk and trailer fields in memory for as long as the server sends them, and its read timeout
/// starts again with each byte. Exchanges that exceed a bound fail like lost connections.
class BoundedClient : public httplib::ClientImpl
{
public:
    BoundedClient(const std::string &host, int port) : httplib::ClientImpl(host, port) { }

    /// Nothing is read after this time.
    void setDeadline(Common::Instant deadline) { this->bounds.deadline = deadline; }
    /// To be called when bytes of the body were received. The caller limits their number; without
    /// calls the body counts like the head.
    void noteBodyReceived() { this->bounds.bytesWithoutBody = 0; }

    /// Sends a GET request and reads a body of at most `maxBodyBytes`.
    httplib::Result getBounded(const std::string &path, std::size_t maxBodyBytes);

private:
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool process_socket(const Socket &socket,
                        std::function<bool(httplib::Stream &stream)> callback) override;

    ReadBounds bounds;
};

} // namespace Currantfall::HttpStream
