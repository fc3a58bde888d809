#include "currantfall/Steering/EntryDirectory.h"

#include <algorithm>
#include <iterator>
#include <utility>

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
    case LookupScope::Leaving:
        return "leaving";
    case LookupScope::AllRegions:
        return "all-regions";
    case LookupScope::None:
        return "none";
    }
    return "unknown";
}

LookupResult entriesFor(const Lookup &lookup, const std::vector<EntryVm> &vms,
                        std::size_t maxEntries)
{
    const auto select = [&vms](const auto &predicate) {
        return filter(vms, [&](const EntryVm &vm) { return !vm.leaving && predicate(vm); });
    };
    LookupResult result { LookupScope::Zone,
                          select([&](const EntryVm &vm) { return vm.zone == lookup.zone; }) };
    if (result.vms.size() < minEntries) {
        result = { LookupScope::Region,
                   select([&](const EntryVm &vm) { return vm.region == lookup.region; }) };
    }
    if (result.vms.size() < minEntries) {
        result = { lookup.homes.allRegions() ? LookupScope::AllRegions : LookupScope::Homes,
                   select([&](const EntryVm &vm) {
                       return vm.region == lookup.region || lookup.homes.contains(vm.region);
                   }) };
    }
    if (result.vms.empty()) {
        auto leaving = filter(vms, [&](const EntryVm &vm) { return vm.region == lookup.region; });
        if (!leaving.empty()) {
            result = { LookupScope::Leaving, std::move(leaving) };
        } else if (lookup.regionLost) {
            result = { LookupScope::AllRegions, select([](const EntryVm &) { return true; }) };
        }
    }
    if (result.vms.empty()) {
        result.scope = LookupScope::None;
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
