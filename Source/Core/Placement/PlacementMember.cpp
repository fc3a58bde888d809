#include "currantfall/Placement/PlacementMember.h"

#include <algorithm>

namespace Currantfall::Placement {

const PlacementLoad *PlacementMember::loadOf(const Common::ServiceName &service) const
{
    const auto found = std::find_if(
            this->loads.begin(), this->loads.end(),
            [&service](const PlacementLoad &load) { return load.service == service; });
    return found == this->loads.end() ? nullptr : &*found;
}

} // namespace Currantfall::Placement
