#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "currantfall/Configuration/Environment.h"
#include "currantfall/Placement/PlacementMember.h"

namespace Currantfall::Placement {

/// Chooses the entry VMs that a lookup returns.
class LookupPlanner
{
public:
    /// More entries than this lengthen a caller's failover; fewer leave it without an alternative.
    static constexpr std::size_t mostEntries = 4;

    /// A caller needs an alternative when its first entry VM dies.
    static constexpr std::size_t fewestEntries = 2;

    /// Entry VMs for a caller in `clientZone`, best first: at most four and, if so many are usable,
    /// at least two. Members that are leaving are never returned. Within a distance, VMs that own
    /// slots of the service come first, in an order drawn by free slots from `seed`: equal seeds
    /// give equal orders, different seeds spread the callers.
    ///
    /// Other regions and suspect members only fill up to two entries: callers that try the next
    /// entry after a refusal would otherwise shift load between regions without credits.
    static std::vector<Common::VmName> plan(const Configuration::Environment &environment,
                                            const std::vector<PlacementMember> &members,
                                            const Common::ServiceName &service,
                                            const Common::ZoneName &clientZone, std::uint64_t seed);
};

} // namespace Currantfall::Placement
