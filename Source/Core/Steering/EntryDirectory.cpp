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

std::vector<EntryVm> entriesFor(const Common::ZoneName &zone, const Common::RegionName &region,
                                const std::vector<EntryVm> &vms, std::size_t maxEntries)
{
    std::vector<EntryVm> result
            = filter(vms, [&zone](const EntryVm &vm) { return vm.zone == zone; });
    if (result.size() < minEntries) {
        result = filter(vms, [&region](const EntryVm &vm) { return vm.region == region; });
    }
    if (result.size() < minEntries) {
        result = vms;
    }
    const auto larger = [](const EntryVm &left, const EntryVm &right) {
        return left.processorShare > right.processorShare;
    };
    std::stable_sort(result.begin(), result.end(), larger);
    while (result.size() > minEntries
           && result.back().processorShare < result.front().processorShare * minProcessorFraction) {
        result.pop_back();
    }
    if (result.size() > maxEntries) {
        result.resize(maxEntries);
    }
    return result;
}

} // namespace Currantfall::Steering
