#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Peering/FrameCodec.h"

namespace Currantfall::Peering {

/// What a VM says about itself in Hello.
struct PeerIdentity
{
    std::string environment;
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    Common::Incarnation incarnation = 0;
    std::string address;
    std::uint16_t portBase = 0;
    /// Whether it reads compressed values (see ValueCodec.h). VMs of earlier versions do not.
    bool readsCompressedValues = false;

    friend bool operator==(const PeerIdentity &left, const PeerIdentity &right) = default;
};

/// Where a peer listens; `port` is the peer port, not the port base.
struct PeerAddress
{
    Common::VmName vm;
    std::string address; ///< IPv4.
    std::uint16_t port = 0;
    /// The platform lists this address for links; dialed links to other addresses are closed.
    bool listed = false;

    friend auto operator<=>(const PeerAddress &left, const PeerAddress &right) = default;
};

struct TransportSettings
{
    PeerIdentity self;
    std::string listenAddress;    ///< IPv4.
    std::uint16_t listenPort = 0; ///< 0 selects a free port.

    /// Unsent bytes per link beyond which send() refuses. It must hold one frame of the largest
    /// size.
    std::size_t sendBufferBytes = std::size_t { 24 } * 1024 * 1024;
    /// A link with unsent bytes that makes no progress for this time is closed.
    absl::Duration writeTimeout = absl::Seconds(2);
    /// Time from connect or accept to the end of the Hello exchange.
    absl::Duration handshakeTimeout = absl::Seconds(2);
    /// Links to peers that setPeers() no longer names are closed after this time without frames.
    absl::Duration idleTimeout = absl::Seconds(10);
    absl::Duration reconnectMin = absl::Milliseconds(50);
    absl::Duration reconnectMax = absl::Seconds(2);
    /// Seed of the reconnect jitter.
    std::uint64_t seed = 1;
    /// Time that stop() spends on sending what is queued.
    absl::Duration flushTimeout = absl::Seconds(1);
};

/// Called on the peer thread; must not block and must not call stop().
struct PeerHandlers
{
    std::function<void(const Common::VmName &from, Common::Incarnation incarnation,
                       std::unique_ptr<Wire::MessageT> message)>
            onMessage;
    std::function<void(const PeerIdentity &peer, LinkClass linkClass)> onLinkUp;
    std::function<void(const Common::VmName &peer, Common::Incarnation incarnation,
                       LinkClass linkClass, const Common::Error &reason)>
            onLinkDown;
    /// A peer knows a later run of this VM and therefore refuses links. May be empty.
    std::function<void(Common::Incarnation known)> onOutdated;
};

struct LinkCounters
{
    std::uint64_t framesIn = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

/// Indexed by LinkClass. Frames and bytes of Hello are included.
struct TransportCounters
{
    std::array<LinkCounters, linkClassCount> perClass;
    std::uint64_t linksUp = 0;      ///< Links established since the start.
    std::uint64_t linksRefused = 0; ///< Handshakes refused, by this side.
    std::uint64_t linksFailed = 0;  ///< Links closed because of an error.
    std::uint64_t sendsRefused = 0; ///< Calls of send() that returned false.
};

/// An encoded message, shared by the links over which it is sent.
using SharedFrame = std::shared_ptr<const std::string>;

/// The links to all peers, run by one thread.
class PeerTransport
{
public:
    /// Opens the listening socket and starts the thread.
    static Common::Result<std::unique_ptr<PeerTransport>> start(TransportSettings settings,
                                                                PeerHandlers handlers);

    /// Stops the thread.
    ~PeerTransport();

    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Replaces the peers to which links are kept up. Thread-safe.
    void setPeers(std::vector<PeerAddress> peers);

    /// Queues a message. False if there is no established link or its buffer is full: then no byte
    /// of the message was or will be sent. True does not mean that it arrives. Thread-safe and
    /// never waits for the network.
    [[nodiscard]] bool send(const Common::VmName &peer, LinkClass linkClass,
                            std::unique_ptr<Wire::MessageT> message);

    /// Encodes a message that is sent to several peers.
    static SharedFrame encode(LinkClass linkClass, const Wire::MessageT &message);
    /// As above, for a message that was encoded for the same class.
    [[nodiscard]] bool send(const Common::VmName &peer, LinkClass linkClass, SharedFrame frame);

    /// The port on which peers are accepted.
    std::uint16_t port() const;

    TransportCounters counters() const;

    /// Sends what is queued, for at most `flushTimeout`, closes all links and joins the thread.
    /// Calls onLinkDown for every link that was up. May be called more than once.
    void stop();

private:
    class Implementation;
    explicit PeerTransport(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace Currantfall::Peering
