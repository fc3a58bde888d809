#pragma once

#include <functional>
#include <vector>

#include "currantfall/Membership/MemberTable.h"
#include "currantfall/Peering/PeerTransport.h"
#include "currantfall/Placement/OwnershipTable.h"

#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// Membership and slot ownership on the steering thread: feeds heartbeats, digests, links and the
/// platform's list to the member table, sends what is due, and recomputes owners on changes.
class ClusterFlow
{
public:
    struct Hooks
    {
        std::function<void(std::vector<Peering::PeerAddress>)> setPeers;
        /// This VM's state for the next heartbeats.
        std::function<Membership::ReportedState()> ownState;
        std::function<void()> onTopologyChanged;
        std::function<void()> onOwnershipChanged;
        /// This process was paused for so long that leases and credits have lapsed.
        std::function<void()> onPause;
        /// Requests in flight on a backend server.
        std::function<std::size_t(const Common::BackendServerName &)> inFlight;
    };

    static Common::Result<ClusterFlow> create(SteeringContext &context,
                                              const Membership::Identity &self, Hooks hooks);

    void onHeartbeat(const Common::VmName &from, Common::Incarnation incarnation,
                     const Membership::Heartbeat &heartbeat);
    void onDigest(const Common::VmName &from, const Membership::Digest &digest);
    void onLinkUp(const Peering::PeerIdentity &peer);
    void onLinkDown(const Common::VmName &peer, Common::Incarnation incarnation);
    void onPlatformList(const std::vector<Membership::ListedVm> &list);
    void onSlotRelease(const Common::BackendServerName &server, const Common::VmName &vm,
                       Common::Incarnation incarnation);
    void onConfigurationChanged();

    /// Sends due messages, detects pauses of this process, and applies view changes. Called before
    /// each event, so that no event is handled with a view from before a pause.
    void advance();
    Common::Instant nextDue() const;

    /// Asks for a link to a VM outside the own zone's mesh.
    void requestPeer(const Common::VmName &vm);
    /// Applies the set of links to be kept, from which idle requests drop out over time.
    void updatePeers();

    /// Members for routing decisions, with this VM's load of one service brought up to date.
    const std::vector<Placement::PlacementMember> &
    placementMembers(const Membership::ServiceLoad &ownLoad);
    const std::vector<Placement::PlacementMember> &placementMembers();

    const Placement::OwnershipTable &ownership() const { return *this->owners; }
    /// Whether this VM is one of the two of its zone that read the platform often.
    bool readsPlatformOften() const;

private:
    ClusterFlow(SteeringContext &context, Membership::MemberTable table, Hooks hooks);

    void applyView();
    void updateOwnership();
    void applyChanges(const std::vector<Placement::OwnershipChange> &changes);
    void sendReleases();

    SteeringContext &context;
    Membership::MemberTable table;
    Hooks hooks;
    std::unique_ptr<Placement::OwnershipTable> owners;
    std::uint64_t viewVersion = 0;
    std::uint64_t topologyVersion = 0;
    bool haveView = false;
    std::vector<Placement::PlacementMember> placement;
    std::vector<Peering::PeerAddress> peers;
    std::vector<Common::BackendServerName> releasing;
    Common::Instant lastAdvance;
    /// Cached, because the ownership table looks at every backend server to find it.
    Common::Instant ownershipDue = Common::Instant::infinite();
};

} // namespace Currantfall::Daemon
