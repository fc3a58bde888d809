#include "SendQueue.h"

#include <utility>

namespace Currantfall::Peering {

SendQueue::Push SendQueue::push(std::shared_ptr<const std::string> frame)
{
    const std::lock_guard lock(this->mutex);
    if (this->closed || this->pending + frame->size() > this->byteLimit) {
        return Push::Refused;
    }
    const bool wasEmpty = this->frames.empty();
    this->pending += frame->size();
    this->frames.push_back(std::move(frame));
    return wasEmpty ? Push::QueuedFirst : Push::Queued;
}

void SendQueue::close()
{
    const std::lock_guard lock(this->mutex);
    this->closed = true;
}

void SendQueue::gather(std::vector<iovec> &buffers, std::size_t maxBuffers)
{
    const std::lock_guard lock(this->mutex);
    std::size_t offset = this->frontSent;
    for (const auto &frame : this->frames) {
        if (buffers.size() == maxBuffers) {
            return;
        }
        // Frames stay in place while other threads append.
        // writev() takes the buffers as not constant, but does not change them.
        buffers.push_back({ const_cast<char *>(frame->data()) + offset, frame->size() - offset });
        offset = 0;
    }
}

std::size_t SendQueue::consume(std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->pending -= bytes;
    std::size_t finished = 0;
    bytes += this->frontSent;
    while (!this->frames.empty() && bytes >= this->frames.front()->size()) {
        bytes -= this->frames.front()->size();
        this->frames.pop_front();
        ++finished;
    }
    this->frontSent = bytes;
    return finished;
}

std::size_t SendQueue::pendingBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->pending;
}

} // namespace Currantfall::Peering
