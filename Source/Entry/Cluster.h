#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Membership/MemberTable.h"
#include "currantfall/Peering/PeerTransport.h"

#include "Asio.h"
#include "EntrySettings.h"

namespace Currantfall::Entry {

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
    /// Sets the VMs that are registered in the platform's store.
    void setListedVms(std::vector<Membership::ListedVm> vms, Common::Instant now);

    void send(const Common::VmName &peer, Peering::Wire::BodyUnion body);
    std::vector<Common::VmName> linkedPeers() const;
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
    /// Takes the current view of the member table and updates the peers to connect and the reader
    /// rank.
    void updateView();

    boost::asio::io_context &context;
    Membership::Identity self;
    Membership::MemberTable table;
    Hooks hooks;
    Common::EventLog &log;
    std::shared_ptr<const Membership::MemberView> view;
    std::uint64_t topologyVersion = 0;
    std::size_t rank = 0;
    std::set<Common::VmName> linked;
    std::vector<Peering::PeerAddress> peers;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<Peering::PeerTransport> transport;
};

} // namespace Currantfall::Entry
