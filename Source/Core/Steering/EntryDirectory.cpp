#include "currantfall/Steering/EntryDirectory.h"

#include <algorithm>
#include <iterator>

namespace Currantfall::Steering {

namespace {

// VMs with less than this part of the largest one's processor are spared.
constexpr double largePart = 0.5;
// A caller with one address only waits for its next lookup when that VM fails.
constexpr std::size_t fewestEntries = 2;

template<typename Predicate>
std::vector<EntryVm> select(const std::vector<EntryVm> &vms, const Predicate &wanted)
{
    std::vector<EntryVm> result;
    std::copy_if(vms.begin(), vms.end(), std::back_inserter(result), wanted);
    return result;
}

} // namespace

std::vector<EntryVm> entriesFor(const Common::ZoneName &zone, const Common::RegionName &region,
                                const std::vector<EntryVm> &vms, std::size_t most)
{
    std::vector<EntryVm> result
            = select(vms, [&zone](const EntryVm &vm) { return vm.zone == zone; });
    if (result.size() < fewestEntries) {
        result = select(vms, [&region](const EntryVm &vm) { return vm.region == region; });
    }
    if (result.size() < fewestEntries) {
        result = vms;
    }
    const auto larger = [](const EntryVm &left, const EntryVm &right) {
        return left.processorShare > right.processorShare;
    };
    std::stable_sort(result.begin(), result.end(), larger);
    while (result.size() > fewestEntries
           && result.back().processorShare < result.front().processorShare * largePart) {
        result.pop_back();
    }
    if (result.size() > most) {
        result.resize(most);
    }
    return result;
}

} // namespace Currantfall::Steering
