#include "currantfall/Steering/HomeRegions.h"

#include <algorithm>
#include <iterator>

namespace Currantfall::Steering {

HomeRegions HomeRegions::fromList(const std::vector<Common::RegionName> &list)
{
    HomeRegions homes;
    if (!list.empty()) {
        homes.regions.emplace(list.begin(), list.end());
    }
    return homes;
}

bool HomeRegions::contains(const Common::RegionName &region) const
{
    return !this->regions || this->regions->contains(region);
}

std::vector<Common::RegionName> HomeRegions::list() const
{
    return this->regions
                   ? std::vector<Common::RegionName>(this->regions->begin(), this->regions->end())
                   : std::vector<Common::RegionName>();
}

HomeRegions HomeRegions::intersectedWith(const HomeRegions &other) const
{
    if (!this->regions || !other.regions) {
        return this->regions ? *this : other;
    }
    HomeRegions result;
    result.regions.emplace();
    std::set_intersection(this->regions->begin(), this->regions->end(), other.regions->begin(),
                          other.regions->end(),
                          std::inserter(*result.regions, result.regions->end()));
    return result;
}

} // namespace Currantfall::Steering
