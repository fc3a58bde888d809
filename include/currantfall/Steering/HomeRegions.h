#pragma once

#include <optional>
#include <set>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// Regions that may handle a request and hold its body: all regions, or a set of them.
class HomeRegions
{
public:
    /// All regions.
    HomeRegions() = default;
    /// The regions of a list in the configuration, in which an empty list means all regions.
    static HomeRegions fromList(const std::vector<Common::RegionName> &list);

    bool allRegions() const { return !this->regions; }
    bool contains(const Common::RegionName &region) const;
    /// The regions in the order of their names; empty if all regions are homes.
    std::vector<Common::RegionName> list() const;
    /// Regions that are in both. May contain no region at all.
    HomeRegions intersectedWith(const HomeRegions &other) const;

    friend bool operator==(const HomeRegions &left, const HomeRegions &right) = default;

private:
    /// Unset if all regions are homes.
    std::optional<std::set<Common::RegionName>> regions;
};

} // namespace Currantfall::Steering
