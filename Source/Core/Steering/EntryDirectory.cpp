#include "currantfall/Steering/EntryDirectory.h"

#include <algorithm>
#include <iterator>

namespace Currantfall::Steering {

namespace {

// VMs whose processor share is less than this fraction of the largest one's are left out.
constexpr double minProcessorFraction = 0.5;
// Minimum number of VMs returned. A caller with a single address would have to wait for its next
// lookup if that VM fails.
constexpr std::size_t minEntries = 2;

template<typename Predicate>
std::vector<EntryVm> filter(const std::vector<EntryVm> &vms, const Predicate &predicate)
{
    std::vector<EntryVm> result;
    std::copy_if(vms.begin(), vms.end(), std::back_inserter(result), predicate);
    return result;
}

} // namespace

std::string toString(LookupScope scope)
{
    switch (scope) {
    case LookupScope::Zone:
        return "zone";
    case LookupScope::Region:
        return "region";
    case LookupScope::Homes:
        return "homes";
    case LookupScope::AllRegions:
        return "all-regions";
    }
    return "unknown";
}

LookupResult entriesFor(const Common::ZoneName &zone, const Common::RegionName &region,
                        const HomeRegions &homes, const std::vector<EntryVm> &vms,
                        std::size_t maxEntries)
{
    LookupResult result { LookupScope::Zone,
                          filter(vms, [&zone](const EntryVm &vm) { return vm.zone == zone; }) };
    if (result.vms.size() < minEntries) {
        result = { LookupScope::Region,
                   filter(vms, [&region](const EntryVm &vm) { return vm.region == region; }) };
    }
    if (result.vms.size() < minEntries) {
        const auto mayHoldBody = [&](const EntryVm &vm) {
            return vm.region == region || homes.contains(vm.region);
        };
        result = { homes.allRegions() ? LookupScope::AllRegions : LookupScope::Homes,
                   filter(vms, mayHoldBody) };
    }
    std::vector<EntryVm> &chosen = result.vms;
    const auto larger = [](const EntryVm &left, const EntryVm &right) {
        return left.processorShare > right.processorShare;
    };
    std::stable_sort(chosen.begin(), chosen.end(), larger);
    while (chosen.size() > minEntries
           && chosen.back().processorShare < chosen.front().processorShare * minProcessorFraction) {
        chosen.pop_back();
    }
    if (chosen.size() > maxEntries) {
        chosen.resize(maxEntries);
    }
    return result;
}

} // namespace Currantfall::Steering
