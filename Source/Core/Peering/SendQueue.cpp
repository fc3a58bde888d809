#include "SendQueue.h"

#include <utility>

namespace Currantfall::Peering {

SendQueue::Push SendQueue::push(std::string frame)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->closed || this->pending + frame.size() > this->byteLimit) {
        return Push::Refused;
    }
    const bool wasEmpty = this->frames.empty();
    this->pending += frame.size();
    this->frames.push_back(std::move(frame));
    return wasEmpty ? Push::QueuedFirst : Push::Queued;
}

void SendQueue::close()
{
    const absl::MutexLock lock(&this->mutex);
    this->closed = true;
}

void SendQueue::gather(std::vector<iovec> &buffers, std::size_t maxBuffers)
{
    const absl::MutexLock lock(&this->mutex);
    std::size_t offset = this->frontSent;
    for (std::string &frame : this->frames) {
        if (buffers.size() == maxBuffers) {
            return;
        }
        // Elements of a deque stay in place while other threads append.
        buffers.push_back({ frame.data() + offset, frame.size() - offset });
        offset = 0;
    }
}

std::size_t SendQueue::consume(std::size_t bytes)
{
    const absl::MutexLock lock(&this->mutex);
    this->pending -= bytes;
    std::size_t finished = 0;
    bytes += this->frontSent;
    while (!this->frames.empty() && bytes >= this->frames.front().size()) {
        bytes -= this->frames.front().size();
        this->frames.pop_front();
        ++finished;
    }
    this->frontSent = bytes;
    return finished;
}

std::size_t SendQueue::pendingBytes() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->pending;
}

} // namespace Currantfall::Peering
