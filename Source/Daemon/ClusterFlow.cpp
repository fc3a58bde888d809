#include "ClusterFlow.h"

#include <algorithm>
#include <utility>

#include "currantfall/Common/RendezvousHash.h"

#include "Settings.h"
#include "WireConversion.h"

namespace Currantfall::Daemon {

namespace {

using Membership::MemberState;
using Placement::OwnershipState;

constexpr std::size_t platformReadersPerZone = 2;

Placement::PlacementLoad toPlacement(const Membership::ServiceLoad &load)
{
    return { load.service, load.freeSlots, load.totalSlots, load.queued };
}

Placement::PlacementMember toPlacement(const Membership::Member &member)
{
    Placement::PlacementMember result;
    result.vm = member.vm;
    result.zone = member.zone;
    result.region = member.region;
    result.incarnation = member.incarnation;
    result.leaving = member.state == MemberState::Leaving;
    result.suspect = member.state == MemberState::Suspect || member.state == MemberState::Unknown;
    result.loads.reserve(member.loads.size());
    for (const Membership::ServiceLoad &load : member.loads) {
        result.loads.push_back(toPlacement(load));
    }
    return result;
}

} // namespace

Common::Result<ClusterFlow> ClusterFlow::create(SteeringContext &context,
                                                const Membership::Identity &self, Hooks hooks)
{
    Membership::MembershipSettings settings;
    settings.briefDigests = true;
    auto table = Membership::MemberTable::create(context.now, self, settings);
    if (!table) {
        return tl::unexpected(table.error());
    }
    return ClusterFlow(context, std::move(*table), std::move(hooks));
}

ClusterFlow::ClusterFlow(SteeringContext &context, Membership::MemberTable table, Hooks hooks)
    : context(context), table(std::move(table)), hooks(std::move(hooks)),
      owners(std::make_unique<Placement::OwnershipTable>(context.self.vm, context.now)),
      lastAdvance(context.now)
{
    this->context.members = this->table.view();
}

void ClusterFlow::onHeartbeat(const Common::VmName &from, Common::Incarnation incarnation,
                              const Membership::Heartbeat &heartbeat)
{
    // The link tells who the sender is; a heartbeat in another name would revive a dead member.
    if (heartbeat.vm != from || heartbeat.incarnation != incarnation) {
        this->context.log.warn("heartbeat in another VM's name dropped", from.value());
        return;
    }
    this->table.applyHeartbeat(this->context.now, heartbeat);
}

void ClusterFlow::onDigest(const Common::VmName &from, const Membership::Digest &digest)
{
    this->table.applyDigest(this->context.now, from, digest);
}

void ClusterFlow::onLinkUp(const Peering::PeerIdentity &peer)
{
    this->table.applyLinkUp(this->context.now, { peer.vm, peer.zone, peer.region, peer.incarnation,
                                                 peer.address, peer.portBase });
}

void ClusterFlow::onLinkDown(const Common::VmName &peer, Common::Incarnation incarnation)
{
    this->table.applyLinkDown(this->context.now, peer, incarnation);
}

void ClusterFlow::onPlatformList(const std::vector<Membership::ListedVm> &list)
{
    this->table.applyPlatformList(this->context.now, list);
}

void ClusterFlow::onSlotRelease(const Common::BackendServerName &server, const Common::VmName &vm,
                                Common::Incarnation incarnation)
{
    this->applyChanges(this->owners->applyRelease(this->context.now, server, vm, incarnation));
}

void ClusterFlow::onConfigurationChanged()
{
    this->updateOwnership();
}

void ClusterFlow::advance()
{
    if (this->table.nextDue() <= this->context.now) {
        this->table.setOwnState(this->context.now, this->hooks.ownState());
    }
    const Membership::Outgoing outgoing = this->table.advance(this->context.now);
    if (outgoing.heartbeat) {
        const auto message = toWire(outgoing.heartbeat->heartbeat);
        for (const Common::VmName &peer : outgoing.heartbeat->to) {
            this->context.sendControl(peer, message);
        }
    }
    for (const Membership::OutgoingDigest &digest : outgoing.digests) {
        const auto message = toWire(digest.digest);
        for (const Common::VmName &peer : digest.to) {
            this->context.sendControl(peer, message);
        }
    }
    // Peers may count this VM as silent since its last heartbeat, which was up to a period before
    // the last call; the shorter bound makes this VM stop before its lease ends in their view.
    const absl::Duration gap = this->context.now - this->lastAdvance;
    this->lastAdvance = this->context.now;
    if (gap > Placement::longestUnreportedPause) {
        this->context.log.warn("this process was paused; its ownership of backend servers and its "
                               "credits have lapsed");
        this->context.metrics.addToCounter("currantfall_pauses_total");
        this->applyChanges(this->owners->pause(this->context.now));
        this->hooks.onPause();
    }
    this->applyView();
    if (this->ownershipDue <= this->context.now) {
        this->applyChanges(this->owners->advance(this->context.now));
        this->ownershipDue = this->owners->nextDue();
    }
    this->sendReleases();
}

Common::Instant ClusterFlow::nextDue() const
{
    return std::min(this->table.nextDue(), this->ownershipDue);
}

void ClusterFlow::requestPeer(const Common::VmName &vm)
{
    this->table.requestPeer(this->context.now, vm);
    this->updatePeers();
}

const std::vector<Placement::PlacementMember> &
ClusterFlow::placementMembers(const Membership::ServiceLoad &ownLoad)
{
    for (Placement::PlacementMember &member : this->placement) {
        if (member.vm != this->context.self.vm) {
            continue;
        }
        const auto found = std::find_if(
                member.loads.begin(), member.loads.end(),
                [&ownLoad](const auto &load) { return load.service == ownLoad.service; });
        if (found != member.loads.end()) {
            *found = toPlacement(ownLoad);
        } else {
            member.loads.push_back(toPlacement(ownLoad));
        }
    }
    return this->placement;
}

const std::vector<Placement::PlacementMember> &ClusterFlow::placementMembers()
{
    return this->placement;
}

bool ClusterFlow::readsPlatformOften() const
{
    std::vector<std::string> live;
    for (const auto &member : this->context.members->inZone(this->context.zone)) {
        if (member->state == MemberState::Live || member->vm == this->context.self.vm) {
            live.push_back(member->vm.value());
        }
    }
    const auto readers = Common::topCandidates(
            "platform-readers", std::move(live), platformReadersPerZone,
            [](const std::string &name) -> const std::string & { return name; });
    return std::find(readers.begin(), readers.end(), this->context.self.vm.value())
           != readers.end();
}

void ClusterFlow::applyView()
{
    auto view = this->table.view();
    if (this->haveView && view->version() == this->viewVersion) {
        return;
    }
    const bool topologyChanged
            = !this->haveView || view->topologyVersion() != this->topologyVersion;
    this->viewVersion = view->version();
    this->topologyVersion = view->topologyVersion();
    this->haveView = true;
    this->context.members = view;
    this->placement.clear();
    for (const auto &member : view->members()) {
        this->placement.push_back(toPlacement(*member));
        if (member->vm == this->context.self.vm) {
            this->placement.back().leaving = this->context.leaving;
        }
    }
    if (topologyChanged) {
        this->updatePeers();
        this->updateOwnership();
        this->hooks.onTopologyChanged();
    }
}

void ClusterFlow::updateOwnership()
{
    if (this->context.environment == nullptr) {
        return;
    }
    std::vector<Placement::MemberHeard> heard;
    const auto &members = this->context.members->members();
    for (std::size_t index = 0; index < members.size(); ++index) {
        Placement::MemberHeard entry;
        entry.member = toPlacement(*members[index]);
        entry.lastHeard = members[index]->lastHeard;
        if (entry.member.vm == this->context.self.vm) {
            entry.member.leaving = this->context.leaving;
            entry.lastHeard = this->context.now;
        }
        heard.push_back(std::move(entry));
    }
    this->applyChanges(this->owners->update(this->context.now, *this->context.environment, heard));
    this->ownershipDue = this->owners->nextDue();
}

void ClusterFlow::applyChanges(const std::vector<Placement::OwnershipChange> &changes)
{
    if (changes.empty()) {
        return;
    }
    this->ownershipDue = this->owners->nextDue();
    for (const Placement::OwnershipChange &change : changes) {
        if (change.state == OwnershipState::Releasing) {
            this->releasing.push_back(change.backendServer);
        }
    }
    this->hooks.onOwnershipChanged();
}

void ClusterFlow::sendReleases()
{
    if (this->releasing.empty()) {
        return;
    }
    std::vector<Common::BackendServerName> remaining;
    bool changed = false;
    for (const Common::BackendServerName &server : this->releasing) {
        if (this->owners->state(server) != OwnershipState::Releasing) {
            continue;
        }
        if (this->hooks.inFlight(server) > 0) {
            remaining.push_back(server);
            continue;
        }
        if (const auto owner = this->owners->owner(server)) {
            Peering::Wire::SlotReleaseT release;
            release.backend_server = server.value();
            release.vm = this->context.self.vm.value();
            release.incarnation = this->context.self.incarnation;
            this->context.sendControl(*owner, std::move(release));
        }
        this->owners->released(server);
        changed = true;
    }
    this->releasing = std::move(remaining);
    if (changed) {
        this->hooks.onOwnershipChanged();
    }
}

void ClusterFlow::updatePeers()
{
    std::vector<Peering::PeerAddress> wanted;
    for (const Membership::Endpoint &endpoint : this->table.peersToConnect()) {
        const Membership::PeerEndpoint at = endpoint.peerEndpoint.value_or(
                Membership::PeerEndpoint { endpoint.address, peerPortOf(endpoint.portBase) });
        wanted.push_back({ endpoint.vm, at.address, at.port, endpoint.peerEndpoint.has_value() });
    }
    if (wanted != this->peers) {
        this->peers = wanted;
        this->hooks.setPeers(std::move(wanted));
    }
}

} // namespace Currantfall::Daemon
