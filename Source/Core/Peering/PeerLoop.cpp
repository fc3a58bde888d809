#include "PeerLoop.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

#include "Socket.h"

namespace Currantfall::Peering {

namespace {

using Common::ErrorCode;
using Common::Instant;

constexpr std::uint64_t listenerId = 1;
constexpr absl::Duration maintenancePeriod = absl::Milliseconds(50);
/// Connections without a Hello beyond this number are closed at once; two classes of the largest
/// full mesh that reconnects at the same time stay below it.
constexpr std::size_t maxAnonymousLinks = 1'024;
constexpr int acceptsPerEvent = 64;
/// Wait after an accept that failed for lack of descriptors or memory.
constexpr absl::Duration acceptPause = absl::Milliseconds(500);

Common::Error stopped(const std::string &peer)
{
    return { make_error_code(ErrorCode::Unavailable), "close link", peer, "transport stopped" };
}

PeerIdentity identityOf(const Wire::HelloT &hello)
{
    PeerIdentity peer;
    peer.environment = hello.environment;
    peer.vm = Common::VmName(hello.vm);
    peer.zone = Common::ZoneName(hello.zone);
    peer.region = Common::RegionName(hello.region);
    peer.incarnation = hello.incarnation;
    peer.address = hello.address;
    peer.portBase = hello.port_base;
    peer.readsCompressedValues = hello.reads_compressed_values;
    return peer;
}

} // namespace

PeerLoop::PeerLoop(TransportSettings settings, PeerHandlers handlers, FileDescriptor listener,
                   Poller poller)
    : settings(std::move(settings)), handlers(std::move(handlers)),
      log(Common::Log::forComponent("peering")), listener(std::move(listener)),
      poller(std::move(poller)), links(this->settings.self, this->settings.handshakeTimeout),
      dialPlan(this->settings), lastLinkId(listenerId)
{ }

void PeerLoop::run()
{
    const Common::Result<void> listening = this->poller.add(this->listener, listenerId, false);
    if (!listening) {
        this->log.error(listening.error().toString());
    }
    while (true) {
        const auto &events = this->poller.wait(this->waitTime(Common::monotonicNow()));
        const Instant now = Common::monotonicNow();
        this->handleMailbox(now);
        for (const Poller::Event &event : events) {
            this->handleEvent(event, now);
        }
        this->maintain(now);
        this->publishCounters();
        if (this->draining && this->drained(now)) {
            return;
        }
    }
}

void PeerLoop::stop()
{
    this->mailbox.requestStop();
    this->poller.wake();
}

void PeerLoop::setPeers(std::vector<PeerAddress> peers)
{
    this->mailbox.setPeers(std::move(peers));
    this->poller.wake();
}

bool PeerLoop::send(const Common::VmName &peer, LinkClass linkClass, SharedFrame frame)
{
    const SendDirectory::Entry entry = this->directory.find(peer, linkClass);
    if (entry.queue != nullptr) {
        const bool fits = frame->size() <= frameHeaderBytes + maxMessageBytes;
        const SendQueue::Push pushed
                = fits ? entry.queue->push(std::move(frame)) : SendQueue::Push::Refused;
        if (pushed == SendQueue::Push::QueuedFirst && this->mailbox.flushLink(entry.link)) {
            this->poller.wake();
        }
        if (pushed != SendQueue::Push::Refused) {
            return true;
        }
    }
    const std::lock_guard lock(this->countersMutex);
    ++this->sendsRefused;
    return false;
}

TransportCounters PeerLoop::counters() const
{
    const std::lock_guard lock(this->countersMutex);
    TransportCounters result = this->published;
    result.sendsRefused = this->sendsRefused;
    return result;
}

void PeerLoop::handleMailbox(Instant now)
{
    Mailbox::Content content = this->mailbox.take();
    if (content.peers) {
        this->dialPlan.setPeers(now, std::move(*content.peers));
    }
    for (const LinkId id : content.linksToFlush) {
        Link *link = this->links.find(id);
        if (link != nullptr && !link->blocked()) {
            this->flushLink(*link, now);
        }
    }
    if (content.stop && !this->draining) {
        this->beginDrain(now);
    }
}

void PeerLoop::handleEvent(const Poller::Event &event, Instant now)
{
    if (event.id == listenerId) {
        this->acceptLinks(now);
        return;
    }
    Link *link = this->links.find(event.id);
    if (link == nullptr) {
        return; // Closed by an earlier event of the same round.
    }
    if (link->phase() == Link::Phase::Connecting) {
        this->finishConnect(*link, now);
        return;
    }
    if (event.readable) {
        const Common::Result<void> received = link->receive(
                now, [&](Frame frame) { return this->handleFrame(*link, std::move(frame), now); },
                this->countersOf(link->linkClass()));
        if (!received) {
            this->closeLink(event.id, received.error(), now);
            return;
        }
    }
    if (event.writable) {
        this->flushLink(*link, now);
    }
}

void PeerLoop::maintain(Instant now)
{
    if (!this->draining) {
        for (const DialPlan::Dial &due : this->dialPlan.takeDue(now)) {
            this->dial(due, now);
        }
    }
    if (now < this->nextMaintenance) {
        return;
    }
    this->nextMaintenance = now + maintenancePeriod;
    if (now >= this->acceptAgain) {
        this->resumeAccepting(now);
    }
    for (const LinkId id : this->links.ids()) {
        Link *link = this->links.find(id);
        if (link == nullptr) {
            continue;
        }
        const Common::Result<void> inTime = link->checkTimeouts(now, this->settings);
        if (!inTime) {
            this->closeLink(id, inTime.error(), now);
            continue;
        }
        if (link->origin() == Link::Origin::Dialed
            && this->dialPlan.isMoved(link->dialedAddress())) {
            this->closeLink(id,
                            { make_error_code(ErrorCode::Expired), "close link", link->peerText(),
                              "the platform lists another address" },
                            now);
            continue;
        }
        const bool unwanted = link->phase() == Link::Phase::Up
                              && link->origin() == Link::Origin::Dialed
                              && !this->dialPlan.contains(link->vm());
        if (unwanted && now - this->links.lastFrameAt(link->vm()) > this->settings.idleTimeout) {
            this->closeLink(id,
                            { make_error_code(ErrorCode::Expired), "close link", link->peerText(),
                              "idle link to a peer that is no longer needed" },
                            now);
        }
    }
}

absl::Duration PeerLoop::waitTime(Instant now) const
{
    const Instant next = std::min(this->nextMaintenance, this->dialPlan.next());
    return std::clamp(next - now, absl::ZeroDuration(), maintenancePeriod);
}

void PeerLoop::acceptLinks(Instant now)
{
    for (int accepted = 0; accepted < acceptsPerEvent; ++accepted) {
        FileDescriptor socket(
                ::accept4(this->listener.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.valid()) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                this->pauseAccepting(now);
            }
            return;
        }
        if (this->links.anonymousLinks() >= maxAnonymousLinks
            || !configureLink(socket, this->settings.writeTimeout)) {
            ++this->working.linksRefused;
            continue;
        }
        const LinkId id = ++this->lastLinkId;
        Link &link = this->links.add(
                Link::accepted(id, std::move(socket), this->settings.sendBufferBytes, now));
        link.setPeerText("accepted connection " + std::to_string(id));
        const Common::Result<void> added = this->poller.add(link.socket(), id, false);
        if (!added) {
            this->closeLink(id, added.error(), now);
        }
    }
}

void PeerLoop::pauseAccepting(Instant now)
{
    // The waiting connection would wake the thread again at once, as long as there is no descriptor
    // for it.
    this->log.error(systemError("accept peer link").toString());
    this->poller.remove(this->listener);
    this->acceptAgain = now + acceptPause;
}

void PeerLoop::resumeAccepting(Instant now)
{
    this->acceptAgain = Instant::infinite();
    if (!this->draining && !this->poller.add(this->listener, listenerId, false)) {
        this->acceptAgain = now + acceptPause;
    }
}

void PeerLoop::dial(const DialPlan::Dial &dial, Instant now)
{
    if (this->links.inUse(dial.target.vm, dial.linkClass)) {
        return;
    }
    Common::Result<FileDescriptor> socket
            = startConnect(this->settings.listenAddress, dial.target.address, dial.target.port);
    if (!socket) {
        this->log.debug(socket.error().toString(), dial.target.vm.value());
        this->dialPlan.retryLater(now, dial.target.vm, dial.linkClass);
        return;
    }
    const LinkId id = ++this->lastLinkId;
    const Link &link
            = this->links.add(Link::dialed(id, std::move(*socket), dial.target, dial.linkClass,
                                           this->settings.sendBufferBytes, now));
    const Common::Result<void> added = this->poller.add(link.socket(), id, true);
    if (!added) {
        this->closeLink(id, added.error(), now);
    }
}

void PeerLoop::finishConnect(Link &link, Instant now)
{
    Common::Result<void> connected = connectResult(link.socket(), link.peerText());
    if (connected) {
        connected = configureLink(link.socket(), this->settings.writeTimeout);
    }
    if (!connected) {
        this->closeLink(link.id(), connected.error(), now);
        return;
    }
    link.markConnected();
    this->queueHello(link, link.vm(), link.linkClass());
    this->flushLink(link, now);
}

void PeerLoop::flushLink(Link &link, Instant now)
{
    const Common::Result<void> flushed = link.flush(now, this->countersOf(link.linkClass()));
    if (!flushed) {
        this->closeLink(link.id(), flushed.error(), now);
        return;
    }
    this->poller.modify(link.socket(), link.id(), link.blocked());
}

Common::Result<void> PeerLoop::handleFrame(Link &link, Frame frame, Instant now)
{
    const Wire::HelloT *hello = frame.message->body.AsHello();
    if (link.phase() != Link::Phase::Up) {
        if (hello == nullptr || hello->link_class != static_cast<std::uint8_t>(frame.linkClass)) {
            return Common::failure(ErrorCode::Refused, "exchange Hello", link.peerText(),
                                   "the first frame is no Hello of its link class");
        }
        return this->handleHello(link, *hello, now);
    }
    if (hello != nullptr || frame.linkClass != link.linkClass()) {
        return Common::failure(ErrorCode::InvalidInput, "read frame", link.peerText(),
                               "second Hello or wrong link class");
    }
    this->handlers.onMessage(link.vm(), link.peer().incarnation, std::move(frame.message));
    return {};
}

Common::Result<void> PeerLoop::handleHello(Link &link, const Wire::HelloT &hello, Instant now)
{
    const PeerIdentity peer = identityOf(hello);
    const auto linkClass = static_cast<LinkClass>(hello.link_class);
    if (this->draining) {
        return tl::unexpected(stopped(peer.vm.value()));
    }
    if (peer.environment == this->settings.self.environment
        && hello.known_incarnation > this->settings.self.incarnation && this->handlers.onOutdated) {
        this->handlers.onOutdated(hello.known_incarnation);
    }
    Common::Result<void> judged = this->links.judgeHello(link, peer, linkClass, now);
    if (!judged) {
        ++this->working.linksRefused;
        if (judged.error().code() != make_error_code(ErrorCode::Conflict)) {
            this->log.warn(judged.error().toString(), link.peerText());
        }
        if (link.origin() == Link::Origin::Accepted
            && peer.incarnation < this->links.knownIncarnation(peer.vm)) {
            // Tells the peer why, so that it can start again as a later run.
            this->queueHello(link, peer.vm, linkClass);
            (void)link.flush(now, this->countersOf(linkClass));
        }
        return judged;
    }
    for (const LinkId replaced : this->links.replacedBy(link, peer, linkClass)) {
        this->closeLink(replaced,
                        { make_error_code(ErrorCode::Conflict), "close link", peer.vm.value(),
                          "replaced by a newer link" },
                        now);
    }
    if (link.origin() == Link::Origin::Accepted) {
        this->queueHello(link, peer.vm, linkClass);
    }
    this->links.establish(link, peer, linkClass, now);
    ++this->working.linksUp;
    this->directory.insert(peer.vm, linkClass, { link.id(), link.queue() });
    this->log.debug(toString(linkClass) + " link is up", peer.vm.value());
    // Queued frames, including Hello, go out through the mailbox: flushing here could close the
    // link while its frames are being read.
    this->mailbox.flushLink(link.id());
    this->poller.wake();
    this->handlers.onLinkUp(peer, linkClass);
    return {};
}

void PeerLoop::queueHello(Link &link, const Common::VmName &receiver, LinkClass linkClass)
{
    const PeerIdentity &self = this->settings.self;
    Wire::HelloT hello;
    hello.environment = self.environment;
    hello.vm = self.vm.value();
    hello.zone = self.zone.value();
    hello.region = self.region.value();
    hello.incarnation = self.incarnation;
    hello.link_class = static_cast<std::uint8_t>(linkClass);
    hello.address = self.address;
    hello.port_base = self.portBase;
    hello.known_incarnation = this->links.knownIncarnation(receiver);
    hello.reads_compressed_values = self.readsCompressedValues;
    Wire::MessageT message;
    message.body.Set(std::move(hello));
    link.queue()->push(
            std::make_shared<const std::string>(encodeFrame(protocolVersion, linkClass, message)));
}

void PeerLoop::closeLink(LinkId id, const Common::Error &reason, Instant now)
{
    const std::unique_ptr<Link> link = this->links.remove(id);
    if (link == nullptr) {
        return;
    }
    link->queue()->close();
    const bool up = link->phase() == Link::Phase::Up;
    const std::string text = toString(link->linkClass()) + " link ended: " + reason.toString();
    if (up && !this->draining) {
        this->log.warn(text, link->peerText());
    } else {
        this->log.debug(text, link->peerText());
    }
    if (up) {
        this->directory.remove(link->vm(), link->linkClass(), id);
        ++this->working.linksFailed;
        this->handlers.onLinkDown(link->vm(), link->peer().incarnation, link->linkClass(), reason);
    }
    if (up && now - link->establishedAt() > this->settings.reconnectMax) {
        this->dialPlan.resetBackoff(link->vm(), link->linkClass());
    }
    if (!link->vm().empty() && !this->links.inUse(link->vm(), link->linkClass())) {
        this->dialPlan.retryLater(now, link->vm(), link->linkClass());
    }
}

void PeerLoop::beginDrain(Instant now)
{
    this->draining = true;
    this->drainDeadline = now + this->settings.flushTimeout;
    this->listener.reset();
    for (const LinkId id : this->links.ids()) {
        Link *link = this->links.find(id);
        if (link->phase() == Link::Phase::Up) {
            this->directory.remove(link->vm(), link->linkClass(), id);
            link->queue()->close();
            this->flushLink(*link, now);
        } else {
            this->closeLink(id, stopped(link->peerText()), now);
        }
    }
}

bool PeerLoop::drained(Instant now)
{
    const bool expired = now >= this->drainDeadline;
    for (const LinkId id : this->links.ids()) {
        Link *link = this->links.find(id);
        if (expired) {
            this->closeLink(id, stopped(link->peerText()), now);
        } else if (!link->writesShutDown() && link->queue()->pendingBytes() == 0) {
            // Closing at once could reset the connection before the peer has read everything; the
            // peer closes when it has seen the end.
            link->shutdownWrites();
        }
    }
    return this->links.ids().empty();
}

void PeerLoop::publishCounters()
{
    const std::lock_guard lock(this->countersMutex);
    this->published = this->working;
}

LinkCounters &PeerLoop::countersOf(LinkClass linkClass)
{
    return this->working.perClass.at(static_cast<std::size_t>(linkClass));
}

} // namespace Currantfall::Peering
