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
    /// The VM is being shut down: it serves requests until it ends, but should get no new callers.
    bool leaving = false;

    friend bool operator==(const EntryVm &left, const EntryVm &right) = default;
};

/// A caller's question for entry VMs.
struct Lookup
{
    Common::ZoneName zone;
    Common::RegionName region;
    /// Homes of the routes that the caller asks for.
    HomeRegions homes;
    /// Whether no VM of the region has been heard for longer than a restart takes.
    bool regionLost = false;

    friend bool operator==(const Lookup &left, const Lookup &right) = default;
};

/// Which VMs an answer to a lookup names.
enum class LookupScope {
    Zone,       ///< Those of the caller's zone.
    Region,     ///< Those of the caller's region.
    Homes,      ///< Those of the caller's region and of the homes.
    Leaving,    ///< Those of the caller's region that are being shut down.
    AllRegions, ///< All VMs.
    None,       ///< No VM.
};

std::string toString(LookupScope scope);

struct LookupResult
{
    LookupScope scope = LookupScope::Zone;
    std::vector<EntryVm> vms;

    friend bool operator==(const LookupResult &left, const LookupResult &right) = default;
};

/// Returns at most `maxEntries` entry VMs for a caller, which picks one of them at random: those of
/// its zone if there are several, else those of its region, else all that may hold the bodies of
/// its requests, which are those of its region and of the homes. If there is none, those of its
/// region that are being shut down are returned. Callers of a lost region get all VMs, because most
/// of their routes may have no homes; while the VMs of a region restart, its callers get none. If
/// the VMs differ in size, only the larger ones are returned: with fewer VMs, each one reuses its
/// connections to backend servers more often and knows more about the load of the servers.
LookupResult entriesFor(const Lookup &lookup, const std::vector<EntryVm> &vms,
                        std::size_t maxEntries);

} // namespace Currantfall::Steering
