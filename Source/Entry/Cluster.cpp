#include "Cluster.h"

#include <algorithm>
#include <utility>

#include <absl/time/clock.h>

#include "currantfall/Common/RendezvousHash.h"

#include "Settings.h"
#include "WireConversion.h"

namespace Currantfall::Entry {

namespace {

using Membership::MemberState;
namespace Wire = Peering::Wire;

// Hash key of the reader order. All VMs must use the same key to agree on which VM reads the store.
constexpr const char *readerOrderKey = "store-readers";
constexpr const char *environmentName = "platform";
// A link is considered lost if the kernel of the peer sends no acknowledgement for this time.
constexpr absl::Duration linkTimeout = absl::Seconds(1);
constexpr absl::Duration maxReconnectDelay = absl::Milliseconds(800);
// Limits how long the entry thread waits for queued messages when the links close. Losing them is
// acceptable.
constexpr absl::Duration flushTimeout = absl::Milliseconds(200);

} // namespace

Common::Result<std::unique_ptr<Cluster>> Cluster::start(boost::asio::io_context &context,
                                                        const EntrySettings &settings,
                                                        Common::Incarnation minIncarnation,
                                                        Hooks hooks, Common::EventLog &log)
{
    Membership::Identity self;
    self.vm = settings.vm;
    self.zone = settings.zone;
    self.region = settings.region;
    self.incarnation = std::max(static_cast<Common::Incarnation>(absl::ToUnixMicros(absl::Now())),
                                minIncarnation);
    self.address = settings.address;
    self.portBase = static_cast<std::uint16_t>(settings.peers.port - Daemon::peerPortOf(0));
    Membership::MembershipSettings memberSettings;
    memberSettings.briefDigests = true;
    auto table = Membership::MemberTable::create(Common::monotonicNow(), self, memberSettings);
    if (!table) {
        return tl::unexpected(table.error());
    }
    std::unique_ptr<Cluster> cluster(
            new Cluster(context, self, std::move(*table), std::move(hooks), log));

    Peering::TransportSettings transport;
    transport.self = { environmentName,  self.vm,      self.zone,    self.region,
                       self.incarnation, self.address, self.portBase };
    transport.listenAddress = settings.peers.host;
    transport.listenPort = static_cast<std::uint16_t>(settings.peers.port);
    transport.seed = self.incarnation;
    transport.writeTimeout = linkTimeout;
    transport.handshakeTimeout = linkTimeout;
    transport.reconnectMax = maxReconnectDelay;
    transport.flushTimeout = flushTimeout;
    Peering::PeerHandlers handlers;
    Cluster *target = cluster.get();
    const auto postToEntryThread = [target, alive = cluster->alive](auto work) {
        boost::asio::post(target->context, [alive, work = std::move(work)]() mutable {
            if (*alive) {
                work();
            }
        });
    };
    handlers.onMessage = [target, postToEntryThread](const Common::VmName &from,
                                                     Common::Incarnation incarnation,
                                                     std::unique_ptr<Wire::MessageT> message) {
        postToEntryThread([target, from, incarnation,
                           message = std::shared_ptr<Wire::MessageT>(std::move(message))] {
            target->onMessage(from, incarnation, *message);
        });
    };
    handlers.onLinkUp = [target, postToEntryThread](const Peering::PeerIdentity &peer,
                                                    Peering::LinkClass linkClass) {
        if (linkClass == Peering::LinkClass::Control) {
            postToEntryThread([target, peer] { target->onLinkUp(peer); });
        }
    };
    handlers.onLinkDown =
            [target, postToEntryThread](const Common::VmName &peer, Common::Incarnation incarnation,
                                        Peering::LinkClass linkClass, const Common::Error &reason) {
                if (linkClass == Peering::LinkClass::Control) {
                    postToEntryThread([target, peer, incarnation, reason] {
                        target->onLinkDown(peer, incarnation, reason);
                    });
                }
            };
    handlers.onOutdated = [target, postToEntryThread](Common::Incarnation known) {
        postToEntryThread([target, known] { target->hooks.onIncarnationOutdated(known); });
    };
    auto started = Peering::PeerTransport::start(std::move(transport), std::move(handlers));
    if (!started) {
        return tl::unexpected(started.error());
    }
    cluster->transport = std::move(*started);
    return cluster;
}

Cluster::Cluster(boost::asio::io_context &context, Membership::Identity self,
                 Membership::MemberTable table, Hooks hooks, Common::EventLog &log)
    : context(context), self(std::move(self)), table(std::move(table)), hooks(std::move(hooks)),
      log(log), view(this->table.view())
{ }

Cluster::~Cluster()
{
    *this->alive = false;
    this->stop();
}

void Cluster::stop()
{
    if (this->transport) {
        this->transport->stop();
    }
}

void Cluster::advance(Common::Instant now)
{
    if (this->table.nextDue() <= now) {
        this->table.setOwnState(now, this->hooks.ownState());
    }
    const Membership::Outgoing outgoing = this->table.advance(now);
    const auto sendToAll
            = [this](const std::vector<Common::VmName> &receivers, const auto &message) {
                  for (const Common::VmName &peer : receivers) {
                      Wire::BodyUnion body;
                      auto copy = message;
                      body.Set(std::move(copy));
                      this->send(peer, std::move(body));
                  }
              };
    if (outgoing.heartbeat) {
        sendToAll(outgoing.heartbeat->to, Daemon::toWire(outgoing.heartbeat->heartbeat));
    }
    for (const Membership::OutgoingDigest &digest : outgoing.digests) {
        sendToAll(digest.to, Daemon::toWire(digest.digest));
    }
    this->updateView();
}

void Cluster::setListedVms(std::vector<Membership::ListedVm> vms, Common::Instant now)
{
    this->table.applyPlatformList(now, vms);
    this->updateView();
}

void Cluster::send(const Common::VmName &peer, Wire::BodyUnion body)
{
    auto message = std::make_unique<Wire::MessageT>();
    message->body = std::move(body);
    // A failed send can be ignored: the state is sent again when the link to the peer is
    // re-established.
    (void)this->transport->send(peer, Peering::LinkClass::Control, std::move(message));
}

std::vector<Common::VmName> Cluster::linkedPeers() const
{
    return { this->linked.begin(), this->linked.end() };
}

void Cluster::onMessage(const Common::VmName &from, Common::Incarnation incarnation,
                        Wire::MessageT &message)
{
    const Common::Instant now = Common::monotonicNow();
    if (const auto *heartbeat = message.body.AsHeartbeat()) {
        // A heartbeat must carry the identity that the handshake of its link established.
        if (heartbeat->vm == from.value() && heartbeat->incarnation == incarnation) {
            this->table.applyHeartbeat(now, Daemon::fromWire(*heartbeat));
        }
    } else if (const auto *digest = message.body.AsMemberDigest()) {
        this->table.applyDigest(now, from, Daemon::fromWire(*digest));
    } else {
        this->hooks.onMessage(from, message);
    }
}

void Cluster::onLinkUp(const Peering::PeerIdentity &peer)
{
    this->table.applyLinkUp(
            Common::monotonicNow(),
            { peer.vm, peer.zone, peer.region, peer.incarnation, peer.address, peer.portBase });
    this->linked.insert(peer.vm);
    this->log.important("peer_link_up", { { "peer", peer.vm.value() } });
    this->updateView();
    this->hooks.onLinkUp(peer.vm);
}

void Cluster::onLinkDown(const Common::VmName &peer, Common::Incarnation incarnation,
                         const Common::Error &reason)
{
    this->table.applyLinkDown(Common::monotonicNow(), peer, incarnation);
    this->linked.erase(peer);
    nlohmann::ordered_json fields { { "peer", peer.value() } };
    fields["reason"] = reason.toString();
    this->log.important("peer_link_down", std::move(fields));
    this->updateView();
}

void Cluster::updateView()
{
    this->view = this->table.view();
    std::vector<Peering::PeerAddress> desiredPeers;
    for (const Membership::Endpoint &endpoint : this->table.peersToConnect()) {
        desiredPeers.push_back(
                { endpoint.vm, endpoint.address, Daemon::peerPortOf(endpoint.portBase) });
    }
    if (desiredPeers != this->peers && this->transport) {
        this->peers = desiredPeers;
        this->transport->setPeers(std::move(desiredPeers));
    }
    if (this->topologyVersion == this->view->topologyVersion()) {
        return;
    }
    this->topologyVersion = this->view->topologyVersion();
    std::vector<std::string> live { this->self.vm.value() };
    for (const auto &member : this->view->members()) {
        if (member->state == MemberState::Live && member->vm != this->self.vm) {
            live.push_back(member->vm.value());
        }
    }
    const auto order = Common::rankCandidates(
            readerOrderKey, std::move(live),
            [](const std::string &name) -> const std::string & { return name; });
    this->rank = static_cast<std::size_t>(
            std::find(order.begin(), order.end(), this->self.vm.value()) - order.begin());
    this->hooks.onMembersChanged();
}

} // namespace Currantfall::Entry
