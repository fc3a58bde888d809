#pragma once

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "currantfall/Peering/PeerTransport.h"

#include "Link.h"

namespace Currantfall::Peering {

/// What other threads have asked of the peer thread. Thread-safe; the caller wakes the thread.
class Mailbox
{
public:
    struct Content
    {
        std::vector<LinkId> linksToFlush;
        std::optional<std::vector<PeerAddress>> peers;
        bool stop = false;
    };

    /// Returns true if the thread must be woken because the mailbox was empty.
    bool flushLink(LinkId link)
    {
        const std::lock_guard lock(this->mutex);
        const bool first = this->content.linksToFlush.empty();
        this->content.linksToFlush.push_back(link);
        return first;
    }

    void setPeers(std::vector<PeerAddress> peers)
    {
        const std::lock_guard lock(this->mutex);
        this->content.peers = std::move(peers);
    }

    void requestStop()
    {
        const std::lock_guard lock(this->mutex);
        this->content.stop = true;
    }

    Content take()
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->content, Content());
    }

private:
    std::mutex mutex;
    Content content;
};

} // namespace Currantfall::Peering
