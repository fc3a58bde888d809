#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Peering/PeerTransport.h"

#include "FileDescriptor.h"
#include "SendQueue.h"

namespace Currantfall::Peering {

using LinkId = std::uint64_t;

/// One connection. It reads, writes and times out; who may use it is decided elsewhere.
class Link
{
public:
    enum class Origin {
        Dialed,
        Accepted
    };
    enum class Phase {
        Connecting,    ///< Connect has not ended.
        AwaitingHello, ///< Connected; the peer's Hello is missing.
        Up,
    };

    static std::unique_ptr<Link> dialed(LinkId id, FileDescriptor socket, PeerAddress target,
                                        LinkClass linkClass, std::size_t sendBufferBytes,
                                        Common::Instant now);
    static std::unique_ptr<Link> accepted(LinkId id, FileDescriptor socket,
                                          std::size_t sendBufferBytes, Common::Instant now);

    LinkId id() const { return this->linkId; }
    Origin origin() const { return this->linkOrigin; }
    Phase phase() const { return this->linkPhase; }
    LinkClass linkClass() const { return this->ownClass; }
    const FileDescriptor &socket() const { return this->descriptor; }
    /// Of accepted links empty until established.
    const Common::VmName &vm() const { return this->peerIdentity.vm; }
    const PeerIdentity &peer() const { return this->peerIdentity; }
    /// Peer for errors: the VM name, or the address while the name is unknown.
    const std::string &peerText() const { return this->peerName; }
    const std::shared_ptr<SendQueue> &queue() const { return this->sendQueue; }
    /// Empty for accepted links.
    const PeerAddress &dialedAddress() const { return this->target; }
    Common::Instant startedAt() const { return this->started; }
    Common::Instant establishedAt() const { return this->established; }
    Common::Instant lastFrameAt() const { return this->lastFrame; }

    void setPeerText(const std::string &text);
    void markConnected();
    void markEstablished(const PeerIdentity &identity, LinkClass linkClass, Common::Instant now);

    /// Called for every received frame; an Error ends the link.
    using FrameHandler = std::function<Common::Result<void>(Frame frame)>;

    /// Reads what the socket has, up to a fairness limit. An Error means that the link has ended.
    Common::Result<void> receive(Common::Instant now, const FrameHandler &handler,
                                 LinkCounters &counters);

    /// Writes as much as the socket takes.
    Common::Result<void> flush(Common::Instant now, LinkCounters &counters);

    /// True if unsent bytes wait for the socket to become writable.
    bool blocked() const { return this->writeBlocked; }

    /// Fails if the handshake or a write takes too long.
    Common::Result<void> checkTimeouts(Common::Instant now,
                                       const TransportSettings &settings) const;

    /// Ends the sending direction after all queued bytes were written.
    void shutdownWrites();
    bool writesShutDown() const { return this->writeClosed; }

private:
    Link(LinkId id, Origin origin, FileDescriptor socket, std::size_t sendBufferBytes,
         Common::Instant now);

    LinkId linkId;
    Origin linkOrigin;
    Phase linkPhase = Phase::AwaitingHello;
    LinkClass ownClass = LinkClass::Control;
    FileDescriptor descriptor;
    PeerIdentity peerIdentity;
    PeerAddress target;
    std::string peerName;
    std::shared_ptr<SendQueue> sendQueue;
    FrameReader reader;
    Common::Instant started;
    Common::Instant established;
    Common::Instant lastFrame;
    Common::Instant lastProgress;
    bool writeBlocked = false;
    bool writeClosed = false;
};

} // namespace Currantfall::Peering
