#pragma once

#include <string>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// An entry VM that takes callers.
struct EntryVm
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    std::string address; ///< "IP:port" for callers.

    friend bool operator==(const EntryVm &left, const EntryVm &right) = default;
};

/// The entry VMs that a caller in `zone` of `region` should use, of which it picks one at random:
/// those of its zone if there are several, else those of its region, else all. At most `most`.
std::vector<EntryVm> entriesFor(const Common::ZoneName &zone, const Common::RegionName &region,
                                const std::vector<EntryVm> &vms, std::size_t most);

} // namespace Currantfall::Steering
