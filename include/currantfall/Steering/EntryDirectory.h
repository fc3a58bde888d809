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
    double processorShare = 1.0;

    friend bool operator==(const EntryVm &left, const EntryVm &right) = default;
};

/// The entry VMs that a caller in `zone` of `region` should use, of which it picks one at random:
/// those of its zone if there are several, else those of its region, else all. Of unequal VMs only
/// the larger ones are named: fewer VMs reuse their connections to backend servers more often, and
/// know more of the servers' load. At most `most`.
std::vector<EntryVm> entriesFor(const Common::ZoneName &zone, const Common::RegionName &region,
                                const std::vector<EntryVm> &vms, std::size_t most);

} // namespace Currantfall::Steering
