#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Membership/MemberTable.h"
#include "currantfall/Membership/SpreadPlan.h"
#include "currantfall/Peering/PeerTransport.h"

#include "Asio.h"
#include "EntrySettings.h"

namespace Currantfall::Entry {

/// Where the receiver of a message is, as seen by its sender.
enum class PeerDistance {
    SameZone,
    SameRegion,
    OtherRegion
};
constexpr std::size_t peerDistanceCount = 3;
std::string toString(PeerDistance distance);

/// Messages that were sent to peers, without those that their links could not take.
struct PeerTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< With the headers of frames, without those of TCP and IP.

    friend bool operator==(const PeerTraffic &left, const PeerTraffic &right) = default;
};
/// By the type of the message's body and the distance.
using PeerTrafficTable = std::map<std::pair<Peering::Wire::Body, PeerDistance>, PeerTraffic>;

/// Maintains the membership of this VM among the entry VMs: peer links, heartbeats and the view of
/// live members. Runs on the entry thread.
class Cluster
{
public:
    struct Hooks
    {
        std::function<void(const Common::VmName &peer, Peering::Wire::MessageT &message)> onMessage;
        std::function<void(const Common::VmName &peer)> onLinkUp;
        /// Called when the member list or the state of a member has changed.
        std::function<void()> onMembersChanged;
        /// Share of a processor core that a VM has.
        std::function<double(const Common::VmName &vm)> processorShareOf;
        /// Returns the state that this VM reports to its peers.
        std::function<Membership::ReportedState()> ownState;
        /// Called when peers refuse this incarnation because they know a later one of this VM.
        std::function<void(Common::Incarnation known)> onIncarnationOutdated;
    };

    /// Uses the wall clock time in microseconds as the incarnation, but at least `minIncarnation`.
    static Common::Result<std::unique_ptr<Cluster>> start(boost::asio::io_context &context,
                                                          const EntrySettings &settings,
                                                          Common::Incarnation minIncarnation,
                                                          Hooks hooks, Common::EventLog &log);
    ~Cluster();

    /// Sends heartbeats and digests that are due and updates the view.
    void advance(Common::Instant now);
    /// Sets the VMs that are registered in the platform's store. Their processor shares may have
    /// changed.
    void setListedVms(std::vector<Membership::ListedVm> vms, Common::Instant now);

    /// Keeps links to these VMs besides those of the membership, for messages that only the two VMs
    /// concern. They carry neither heartbeats nor what is spread to all VMs.
    void setExtraPeers(std::vector<Common::VmName> vms);
    bool hasLink(const Common::VmName &peer) const { return this->linked.contains(peer); }

    /// The message is lost if there is no link to a peer, or if its buffer is full.
    void send(const std::vector<Common::VmName> &peers, Peering::Wire::BodyUnion body);
    /// Sends a message with the duty of each target.
    void spread(const std::vector<Membership::SpreadTarget> &targets,
                const std::function<Peering::Wire::BodyUnion(Membership::SpreadDuty)> &message);
    /// To whom messages are sent that all VMs, or those of the region, are to get.
    const Membership::SpreadPlan &spreadPlan() const { return this->plan; }
    /// Whether there is a link to the peer and it reads compressed values.
    bool readsCompressedValues(const Common::VmName &peer) const;
    const PeerTrafficTable &sentTraffic() const { return this->traffic; }
    const Membership::MemberView &members() const { return *this->view; }
    /// Position of this VM among the live VMs in the order of store readers, which all VMs share.
    std::size_t readerRank() const { return this->rank; }
    Common::Incarnation incarnation() const { return this->self.incarnation; }
    std::uint16_t portBase() const { return this->self.portBase; }

    void stop();

private:
    Cluster(boost::asio::io_context &context, Membership::Identity self,
            Membership::MemberTable table, Hooks hooks, Common::EventLog &log);

    void onMessage(const Common::VmName &from, Common::Incarnation incarnation,
                   Peering::Wire::MessageT &message);
    void onLinkUp(const Peering::PeerIdentity &peer);
    void onLinkDown(const Common::VmName &peer, Common::Incarnation incarnation,
                    const Common::Error &reason);
    /// Takes the current view of the member table. If members have changed, updates what depends on
    /// them: the peers to connect, the reader rank and the spread plan.
    void updateView(Common::Instant now);
    void updatePeers();
    void updateRank();
    void updateSpreadPlan();
    PeerDistance distanceTo(const Common::VmName &peer) const;

    boost::asio::io_context &context;
    Membership::Identity self;
    Membership::MemberTable table;
    Hooks hooks;
    Common::EventLog &log;
    std::shared_ptr<const Membership::MemberView> view;
    std::uint64_t topologyVersion = 0;
    std::size_t rank = 0;
    /// Identities of the peers with an established link.
    std::map<Common::VmName, Membership::LinkedPeer> linked;
    std::set<Common::VmName> compressedValueReaders;
    std::vector<Common::VmName> extraPeers;
    /// Peers to which the membership keeps links.
    std::set<Common::VmName> memberPeers;
    /// Links that only setExtraPeers() asked for.
    std::map<Common::VmName, Membership::Identity> extraLinks;
    Membership::SpreadPlan plan;
    PeerTrafficTable traffic;
    Common::Instant peersUpdatedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    std::vector<Peering::PeerAddress> peers;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<Peering::PeerTransport> transport;
};

} // namespace Currantfall::Entry
