#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Peering/PeerTransport.h"

namespace Currantfall::Peering {

/// Which peers are to be dialed, and when: exponential backoff with jitter, so that daemons that
/// lost a peer at the same moment don't return at the same moment.
class DialPlan
{
public:
    struct Dial
    {
        PeerAddress target;
        LinkClass linkClass = LinkClass::Control;
    };

    explicit DialPlan(const TransportSettings &settings);

    /// Keeps the backoff of peers that stay. `self` is left out.
    void setPeers(Common::Instant now, std::vector<PeerAddress> peers);

    bool contains(const Common::VmName &vm) const { return this->targets.contains(vm); }

    /// True if the platform lists another address of the peer than `dialed`.
    bool isMoved(const PeerAddress &dialed) const;

    /// Removes and returns the dials that are due.
    std::vector<Dial> takeDue(Common::Instant now);

    /// When takeDue() has work next.
    Common::Instant next() const { return this->nextDue; }

    /// A dial or its link ended: dials again after the backoff.
    void retryLater(Common::Instant now, const Common::VmName &vm, LinkClass linkClass);

    /// A link was up for long enough that the next dial needs no long backoff.
    void resetBackoff(const Common::VmName &vm, LinkClass linkClass);

private:
    struct Attempt
    {
        Common::Instant due;
        int failures = 0;
    };
    struct Target
    {
        PeerAddress address;
        std::array<Attempt, linkClassCount> attempts;
    };

    Attempt *find(const Common::VmName &vm, LinkClass linkClass);
    absl::Duration backoff(int failures);

    Common::VmName self;
    absl::Duration shortest;
    absl::Duration longest;
    std::mt19937_64 random;
    absl::flat_hash_map<Common::VmName, Target> targets;
    Common::Instant nextDue = Common::Instant::infinite();
};

} // namespace Currantfall::Peering
