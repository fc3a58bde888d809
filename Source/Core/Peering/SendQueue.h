#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <sys/uio.h>
#include <vector>

namespace Currantfall::Peering {

/// Encoded frames that wait for the socket of one link. Any thread may push; only the peer thread
/// gathers and consumes. Peering uses std::mutex because ThreadSanitizer can't see the ordering of
/// absl::Mutex in Debian's library, which is built without it.
class SendQueue
{
public:
    enum class Push {
        Refused,
        Queued,
        QueuedFirst, ///< The queue was empty: the peer thread must be woken.
    };

    explicit SendQueue(std::size_t byteLimit) : byteLimit(byteLimit) { }

    /// Refuses if the limit would be exceeded or the queue was closed.
    Push push(std::shared_ptr<const std::string> frame);

    /// Refuses further frames; queued ones can still be sent.
    void close();

    /// Buffers of the first unsent bytes, valid until consume(). Appends nothing if empty.
    void gather(std::vector<iovec> &buffers, std::size_t maxBuffers);

    /// Removes sent bytes from the front; returns the number of frames that were sent completely.
    std::size_t consume(std::size_t bytes);

    std::size_t pendingBytes() const;

private:
    const std::size_t byteLimit;
    mutable std::mutex mutex;
    std::deque<std::shared_ptr<const std::string>> frames; // Shared by the links of a broadcast.
    std::size_t frontSent = 0; // Bytes of the first frame that were sent.
    std::size_t pending = 0;
    bool closed = false;
};

} // namespace Currantfall::Peering
