#include "Cluster.h"

#include <algorithm>
#include <utility>

#include <absl/time/clock.h>

#include "currantfall/Membership/ReaderOrder.h"

#include "Settings.h"
#include "WireConversion.h"

namespace Currantfall::Entry {

namespace {

using Membership::MemberState;
namespace Wire = Peering::Wire;

constexpr const char *environmentName = "platform";
// A link is considered lost if the kernel of the peer sends no acknowledgement for this time.
constexpr absl::Duration linkTimeout = absl::Seconds(1);
constexpr absl::Duration maxReconnectDelay = absl::Milliseconds(800);
// Limits how long the entry thread waits for queued messages when the links close. Losing them is
// acceptable.
constexpr absl::Duration flushTimeout = absl::Milliseconds(100);
// Partners of zones whose VMs are all silent change with time, without a change of any member.
constexpr absl::Duration maxPeersAge = absl::Seconds(1);

} // namespace

std::string toString(PeerDistance distance)
{
    switch (distance) {
    case PeerDistance::SameZone:
        return "zone";
    case PeerDistance::SameRegion:
        return "region";
    case PeerDistance::OtherRegion:
        return "other-region";
    }
    return "unknown";
}

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
    transport.self = { environmentName,  self.vm,      self.zone,     self.region,
                       self.incarnation, self.address, self.portBase, true };
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
    if (outgoing.heartbeat) {
        Wire::BodyUnion body;
        body.Set(Daemon::toWire(outgoing.heartbeat->heartbeat));
        this->send(outgoing.heartbeat->to, std::move(body));
    }
    for (const Membership::OutgoingDigest &digest : outgoing.digests) {
        Wire::BodyUnion body;
        body.Set(Daemon::toWire(digest.digest));
        this->send(digest.to, std::move(body));
    }
    this->updateView(now);
}

void Cluster::setListedVms(std::vector<Membership::ListedVm> vms, Common::Instant now)
{
    this->table.applyPlatformList(now, vms);
    this->updateView(now);
    this->updateRank();
}

void Cluster::send(const std::vector<Common::VmName> &peers, Wire::BodyUnion body)
{
    if (peers.empty()) {
        return;
    }
    Wire::MessageT message;
    message.body = std::move(body);
    const Peering::SharedFrame frame
            = Peering::PeerTransport::encode(Peering::LinkClass::Control, message);
    for (const Common::VmName &peer : peers) {
        // A failed send can be ignored: the state is sent again when the link to the peer is
        // re-established.
        if (this->transport->send(peer, Peering::LinkClass::Control, frame)) {
            PeerTraffic &sent = this->traffic[{ message.body.type, this->distanceTo(peer) }];
            ++sent.messages;
            sent.bytes += frame->size();
        }
    }
}

void Cluster::spread(const std::vector<Membership::SpreadTarget> &targets,
                     const std::function<Wire::BodyUnion(Membership::SpreadDuty)> &message)
{
    std::map<Membership::SpreadDuty, std::vector<Common::VmName>> byDuty;
    for (const Membership::SpreadTarget &target : targets) {
        byDuty[target.duty].push_back(target.vm);
    }
    for (const auto &[duty, peers] : byDuty) {
        this->send(peers, message(duty));
    }
}

bool Cluster::readsCompressedValues(const Common::VmName &peer) const
{
    return this->compressedValueReaders.contains(peer);
}

PeerDistance Cluster::distanceTo(const Common::VmName &peer) const
{
    const auto found = this->linked.find(peer);
    if (found == this->linked.end() || found->second.zone == this->self.zone) {
        return PeerDistance::SameZone;
    }
    return found->second.region == this->self.region ? PeerDistance::SameRegion
                                                     : PeerDistance::OtherRegion;
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
    const Common::Instant now = Common::monotonicNow();
    const Membership::Identity identity { peer.vm,          peer.zone,    peer.region,
                                          peer.incarnation, peer.address, peer.portBase };
    const bool extra = !this->memberPeers.contains(peer.vm)
                       && std::find(this->extraPeers.begin(), this->extraPeers.end(), peer.vm)
                                  != this->extraPeers.end();
    if (extra) {
        this->extraLinks.insert_or_assign(peer.vm, identity);
    } else {
        this->extraLinks.erase(peer.vm);
        this->table.applyLinkUp(now, identity);
    }
    this->linked.insert_or_assign(peer.vm,
                                  Membership::LinkedPeer { peer.vm, peer.zone, peer.region });
    if (peer.readsCompressedValues) {
        this->compressedValueReaders.insert(peer.vm);
    } else {
        this->compressedValueReaders.erase(peer.vm);
    }
    this->log.important("peer_link_up", { { "peer", peer.vm.value() } });
    this->updateView(now);
    this->updateSpreadPlan();
    this->hooks.onLinkUp(peer.vm);
}

void Cluster::onLinkDown(const Common::VmName &peer, Common::Incarnation incarnation,
                         const Common::Error &reason)
{
    const Common::Instant now = Common::monotonicNow();
    this->table.applyLinkDown(now, peer, incarnation);
    this->linked.erase(peer);
    this->extraLinks.erase(peer);
    this->compressedValueReaders.erase(peer);
    nlohmann::ordered_json fields { { "peer", peer.value() } };
    fields["reason"] = reason.toString();
    this->log.important("peer_link_down", std::move(fields));
    this->updateView(now);
    this->updateSpreadPlan();
}

void Cluster::updateView(Common::Instant now)
{
    this->view = this->table.view();
    const bool changed = this->topologyVersion != this->view->topologyVersion();
    if (changed || now - this->peersUpdatedAt >= maxPeersAge) {
        this->peersUpdatedAt = now;
        this->updatePeers();
    }
    if (!changed) {
        return;
    }
    this->topologyVersion = this->view->topologyVersion();
    this->updateRank();
    this->updateSpreadPlan();
    this->hooks.onMembersChanged();
}

void Cluster::updatePeers()
{
    std::vector<Peering::PeerAddress> desiredPeers;
    this->memberPeers.clear();
    for (const Membership::Endpoint &endpoint : this->table.peersToConnect()) {
        desiredPeers.push_back(
                { endpoint.vm, endpoint.address, Daemon::peerPortOf(endpoint.portBase) });
        this->memberPeers.insert(endpoint.vm);
    }
    for (const Common::VmName &vm : this->extraPeers) {
        const Membership::Member *member = this->view->find(vm);
        if (!this->memberPeers.contains(vm) && member != nullptr && !member->address.empty()) {
            desiredPeers.push_back({ vm, member->address, Daemon::peerPortOf(member->portBase) });
        }
    }
    for (auto link = this->extraLinks.begin(); link != this->extraLinks.end();) {
        if (this->memberPeers.contains(link->first)) {
            this->table.applyLinkUp(Common::monotonicNow(), link->second);
            link = this->extraLinks.erase(link);
        } else {
            ++link;
        }
    }
    if (desiredPeers != this->peers && this->transport) {
        this->peers = desiredPeers;
        this->transport->setPeers(std::move(desiredPeers));
    }
}

void Cluster::setExtraPeers(std::vector<Common::VmName> vms)
{
    if (vms != this->extraPeers) {
        this->extraPeers = std::move(vms);
        this->updatePeers();
    }
}

void Cluster::updateRank()
{
    const auto reader = [this](const Common::VmName &vm) {
        return Membership::StoreReader { vm, this->hooks.processorShareOf(vm) };
    };
    std::vector<Membership::StoreReader> live { reader(this->self.vm) };
    for (const auto &member : this->view->members()) {
        if (member->state == MemberState::Live && member->vm != this->self.vm) {
            live.push_back(reader(member->vm));
        }
    }
    this->rank = Membership::readerRank(this->self.vm, std::move(live));
}

void Cluster::updateSpreadPlan()
{
    std::map<Common::ZoneName, Common::RegionName> zones;
    for (const auto &member : this->view->members()) {
        if (member->state == MemberState::Live || member->state == MemberState::Leaving) {
            zones.try_emplace(member->zone, member->region);
        }
    }
    std::vector<Membership::LinkedPeer> linkedPeers;
    linkedPeers.reserve(this->linked.size());
    for (const auto &[vm, peer] : this->linked) {
        if (!this->extraLinks.contains(vm)) {
            linkedPeers.push_back(peer);
        }
    }
    this->plan = Membership::SpreadPlan({ this->self.vm, this->self.zone, this->self.region },
                                        std::move(linkedPeers), zones);
}

} // namespace Currantfall::Entry
