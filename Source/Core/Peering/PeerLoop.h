#pragma once

#include <cstdint>
#include <memory>
#include <mutex>

#include "currantfall/Common/Log.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Peering/PeerTransport.h"

#include "DialPlan.h"
#include "Link.h"
#include "LinkTable.h"
#include "Mailbox.h"
#include "Poller.h"
#include "SendDirectory.h"

namespace Currantfall::Peering {

/// The work of the peer thread. Only run() touches the links; the other public functions are
/// thread-safe.
class PeerLoop
{
public:
    PeerLoop(TransportSettings settings, PeerHandlers handlers, FileDescriptor listener,
             Poller poller);

    /// Runs until stop() and the flush that follows it.
    void run();

    void stop();
    void setPeers(std::vector<PeerAddress> peers);
    bool send(const Common::VmName &peer, LinkClass linkClass, SharedFrame frame);
    TransportCounters counters() const;

private:
    void handleMailbox(Common::Instant now);
    void handleEvent(const Poller::Event &event, Common::Instant now);
    void maintain(Common::Instant now);
    absl::Duration waitTime(Common::Instant now) const;

    void acceptLinks(Common::Instant now);
    void pauseAccepting(Common::Instant now);
    void resumeAccepting(Common::Instant now);
    void dial(const DialPlan::Dial &dial, Common::Instant now);
    void finishConnect(Link &link, Common::Instant now);
    void flushLink(Link &link, Common::Instant now);
    Common::Result<void> handleFrame(Link &link, Frame frame, Common::Instant now);
    Common::Result<void> handleHello(Link &link, const Wire::HelloT &hello, Common::Instant now);
    void queueHello(Link &link, const Common::VmName &receiver, LinkClass linkClass);
    void closeLink(LinkId id, const Common::Error &reason, Common::Instant now);

    void beginDrain(Common::Instant now);
    bool drained(Common::Instant now);

    void publishCounters();
    LinkCounters &countersOf(LinkClass linkClass);

    const TransportSettings settings;
    const PeerHandlers handlers;
    const Common::Log log;
    FileDescriptor listener;
    Poller poller;
    Mailbox mailbox;
    SendDirectory directory;

    LinkTable links;
    DialPlan dialPlan;
    LinkId lastLinkId;
    Common::Instant nextMaintenance;
    Common::Instant acceptAgain = Common::Instant::infinite(); // Infinite unless paused.
    bool draining = false;
    Common::Instant drainDeadline;

    TransportCounters working; // Of the peer thread.
    mutable std::mutex countersMutex;
    TransportCounters published;
    std::uint64_t sendsRefused = 0; // Guarded by countersMutex.
};

} // namespace Currantfall::Peering
