#pragma once

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "currantfall/Configuration/Environment.h"
#include "currantfall/Placement/PlacementMember.h"

namespace Currantfall::Placement {

enum class TargetKind {
    Self,        ///< The queue of this VM.
    Zone,        ///< An owner in the own zone.
    Region,      ///< An owner in another zone of the own region.
    OtherRegion, ///< An owner in another region; needs a credit of that VM.
};

struct RouteTarget
{
    TargetKind kind = TargetKind::Self;
    Common::VmName vm;

    friend bool operator==(const RouteTarget &left, const RouteTarget &right) = default;
};

/// Input of one routing decision.
struct RouteQuery
{
    Common::VmName self;
    Common::ServiceName service;
    /// VMs that have already been tried.
    absl::flat_hash_set<Common::VmName> excluded;
    /// VMs for which a credit is at hand.
    absl::flat_hash_set<Common::VmName> withCredit;
    /// The caller is of another region: owners of the own region need a credit as well.
    bool everywhereOnCredit = false;
    /// Uniformly distributed; decides among equals.
    std::uint64_t random = 0;
};

/// Orders the owners to which a request at this entry VM can go.
class RequestRouter
{
public:
    /// Targets, best first: own queue, owners in the zone, in the region, then other regions with
    /// credits in document order. Owners with free slots come before nearer ones of the region that
    /// have none, and other regions before owners whose queue is longer than their slots. Within a
    /// group, the less loaded of two drawn at random comes first, because loads lag and the least
    /// loaded one would get everything. `members` lists this VM with its current load.
    static std::vector<RouteTarget> route(const Configuration::Environment &environment,
                                          const std::vector<PlacementMember> &members,
                                          const RouteQuery &query);
};

} // namespace Currantfall::Placement
