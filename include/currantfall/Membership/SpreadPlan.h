#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Membership {

/// How far the receiver of a message passes it on. The values are those on the wire.
enum class SpreadDuty : std::uint8_t {
    Everyone = 0, ///< To all its peers; sent by VMs of earlier versions.
    Fleet = 1,    ///< To its zone if it is of another zone, to the other zones and regions.
    Region = 2,   ///< To its zone if it is of another zone, and to the other zones of its region.
    Zone = 3,     ///< To its zone if it is of another zone.
    None = 4,
};

/// The duty of a received value; None if it is not known.
SpreadDuty spreadDutyOf(std::uint8_t value);

/// A peer with an established link.
struct LinkedPeer
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;

    friend auto operator<=>(const LinkedPeer &left, const LinkedPeer &right) = default;
};

struct SpreadTarget
{
    Common::VmName vm;
    SpreadDuty duty = SpreadDuty::None;

    friend auto operator<=>(const SpreadTarget &left, const SpreadTarget &right) = default;
};

/// Decides to which peers a VM sends a message that all VMs, or those of its region, are to get,
/// and what these pass on. A message crosses the border between two zones of a region, and the
/// border to another region, once for each digest partner of its zone; inside a zone it is sent by
/// the VMs that brought it there. Each VM therefore gets it about as often as a zone has digest
/// partners, whatever the size of the fleet.
///
/// Messages do not arrive everywhere while links are missing. State that all VMs need must also be
/// compared between peers (see repairPeers()).
class SpreadPlan
{
public:
    SpreadPlan() = default;
    /// `zones`: all zones that have live VMs.
    SpreadPlan(LinkedPeer self, std::vector<LinkedPeer> peers,
               const std::map<Common::ZoneName, Common::RegionName> &zones);

    /// Targets of a message of this VM. `duty` is Fleet or Region.
    std::vector<SpreadTarget> targets(SpreadDuty duty) const;
    /// Targets of a message that `source` has sent to this VM with `duty`.
    std::vector<SpreadTarget> targets(const Common::VmName &source, SpreadDuty duty) const;

    /// Peers of other zones, with which this VM compares its state, so that what one path has lost
    /// arrives by another one.
    const std::vector<Common::VmName> &repairPeers() const { return this->otherZonePeers; }
    const std::vector<Common::VmName> &zonePeers() const { return this->mates; }

private:
    void addMates(SpreadDuty duty, std::vector<SpreadTarget> &targets) const;
    void addZones(std::vector<SpreadTarget> &targets) const;
    void addRegions(std::vector<SpreadTarget> &targets) const;

    LinkedPeer self;
    std::map<Common::VmName, LinkedPeer> peers;
    std::vector<Common::VmName> mates;
    std::vector<Common::VmName> otherZonePeers;
    /// The peer through which each other zone of the region is reached.
    std::vector<Common::VmName> zoneEntries;
    /// The peer through which each other region is reached, if this VM has a link to the zone that
    /// passes messages of this zone on.
    std::vector<Common::VmName> regionEntries;
};

} // namespace Currantfall::Membership
