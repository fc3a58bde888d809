#pragma once

#include <array>
#include <memory>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Peering/PeerTransport.h"

#include "Link.h"

namespace Currantfall::Peering {

/// All links of a VM, and which one of them is used for each peer and class. If two VMs dial each
/// other at the same time, the dial of the VM with the lower name wins.
class LinkTable
{
public:
    LinkTable(PeerIdentity self, absl::Duration handshakeTimeout);

    Link &add(std::unique_ptr<Link> link);
    /// nullptr if the link was removed.
    Link *find(LinkId id) const;
    std::unique_ptr<Link> remove(LinkId id);
    std::vector<LinkId> ids() const;

    /// nullptr if there is no established link.
    Link *established(const Common::VmName &vm, LinkClass linkClass) const;
    /// True if there is an established link or one that this VM is dialing.
    bool inUse(const Common::VmName &vm, LinkClass linkClass) const;
    /// Latest frame on any established link of the peer.
    Common::Instant lastFrameAt(const Common::VmName &vm) const;
    /// Accepted links whose peer has not said Hello.
    std::size_t anonymousLinks() const;

    /// The latest run of the peer that had a link; 0 if none had.
    Common::Incarnation knownIncarnation(const Common::VmName &vm) const;

    /// Whether the peer that said Hello on `link` may use it. The code is Conflict if another link
    /// of the same peer takes precedence, otherwise Refused.
    Common::Result<void> judgeHello(const Link &link, const PeerIdentity &peer, LinkClass linkClass,
                                    Common::Instant now) const;

    /// Links that must be closed before `link` is established for an admitted peer: those of
    /// earlier incarnations and those that `link` replaces.
    std::vector<LinkId> replacedBy(const Link &link, const PeerIdentity &peer,
                                   LinkClass linkClass) const;

    /// Makes `link` the one that is used.
    void establish(Link &link, const PeerIdentity &peer, LinkClass linkClass, Common::Instant now);

private:
    struct Slot
    {
        LinkId established = 0;
        LinkId dialing = 0;
    };
    using Slots = std::array<Slot, linkClassCount>;

    const Slot *slot(const Common::VmName &vm, LinkClass linkClass) const;

    PeerIdentity self;
    absl::Duration handshakeTimeout;
    absl::flat_hash_map<LinkId, std::unique_ptr<Link>> links;
    absl::flat_hash_map<Common::VmName, Slots> slots;
    /// Highest incarnation seen of each VM; kept after its links end, so that an earlier run of a
    /// replaced process can't come back.
    absl::flat_hash_map<Common::VmName, Common::Incarnation> incarnations;
};

} // namespace Currantfall::Peering
