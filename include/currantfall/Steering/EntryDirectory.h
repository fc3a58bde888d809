#pragma once

#include <string>
#include <vector>

#include "currantfall/Common/Names.h"
#include "currantfall/Steering/HomeRegions.h"

namespace Currantfall::Steering {

/// An entry VM that accepts requests of callers.
struct EntryVm
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    std::string address; ///< Address for callers, as "IP:port".
    double processorShare = 1.0;

    friend bool operator==(const EntryVm &left, const EntryVm &right) = default;
};

/// Which VMs an answer to a lookup names.
enum class LookupScope {
    Zone,       ///< Those of the caller's zone.
    Region,     ///< Those of the caller's region.
    Homes,      ///< Those of the caller's region and of the homes.
    AllRegions, ///< All VMs.
};

std::string toString(LookupScope scope);

struct LookupResult
{
    LookupScope scope = LookupScope::Zone;
    std::vector<EntryVm> vms;

    friend bool operator==(const LookupResult &left, const LookupResult &right) = default;
};

/// Returns at most `maxEntries` entry VMs for a caller in `zone` of `region`, which picks one of
/// them at random: those of its zone if there are several, else those of its region, else all that
/// may hold the bodies of its requests. `homes` are the homes of the routes that it asks for; no VM
/// outside them and its own region is named. If the VMs differ in size, only the larger ones are
/// returned: with fewer VMs, each one reuses its connections to backend servers more often and
/// knows more about the load of the servers.
LookupResult entriesFor(const Common::ZoneName &zone, const Common::RegionName &region,
                        const HomeRegions &homes, const std::vector<EntryVm> &vms,
                        std::size_t maxEntries);

} // namespace Currantfall::Steering
