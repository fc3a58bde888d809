#pragma once

#include <cstddef>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Placement {

/// What a member reports about the backend servers of one service that it owns.
struct PlacementLoad
{
    Common::ServiceName service;
    std::size_t freeSlots = 0;
    std::size_t totalSlots = 0;
    std::size_t queued = 0;

    friend bool operator==(const PlacementLoad &left, const PlacementLoad &right) = default;
};

/// An entry VM as seen by the local member table. Dead members are not listed.
struct PlacementMember
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    Common::Incarnation incarnation = 0;
    bool leaving = false;
    bool suspect = false;
    std::vector<PlacementLoad> loads;

    /// Nullptr if the member reports nothing about the service.
    const PlacementLoad *loadOf(const Common::ServiceName &service) const;

    friend bool operator==(const PlacementMember &left, const PlacementMember &right) = default;
};

} // namespace Currantfall::Placement
