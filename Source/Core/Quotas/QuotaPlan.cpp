#include "currantfall/Quotas/QuotaPlan.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Quotas {

namespace {

// As in the directory, which names these VMs to callers.
constexpr double minProcessorFraction = 0.5;
constexpr std::size_t minHolders = 2;

std::vector<QuotaVm> largestOf(std::vector<QuotaVm> vms)
{
    std::sort(vms.begin(), vms.end(), [](const QuotaVm &left, const QuotaVm &right) {
        return left.processorShare != right.processorShare
                       ? left.processorShare > right.processorShare
                       : left.vm < right.vm;
    });
    while (vms.size() > minHolders
           && vms.back().processorShare < vms.front().processorShare * minProcessorFraction) {
        vms.pop_back();
    }
    return vms;
}

} // namespace

QuotaPlan::QuotaPlan(const std::vector<QuotaVm> &registered)
{
    std::map<Common::ZoneName, std::vector<QuotaVm>> byZone;
    for (const QuotaVm &vm : registered) {
        byZone[vm.zone].push_back(vm);
        this->registered.insert(vm.vm);
    }
    for (auto &[zone, vms] : byZone) {
        const std::vector<QuotaVm> holders = largestOf(std::move(vms));
        double processors = 0.0;
        for (const QuotaVm &vm : holders) {
            processors += vm.processorShare;
        }
        for (const QuotaVm &vm : holders) {
            this->holdersByZone[zone].push_back(vm.vm);
            this->shares[vm.vm]
                    = vm.processorShare / processors / static_cast<double>(byZone.size());
        }
    }
}

double QuotaPlan::shareOf(const Common::VmName &vm) const
{
    const auto found = this->shares.find(vm);
    return found == this->shares.end() ? 0.0 : found->second;
}

const std::vector<Common::VmName> &QuotaPlan::holders(const Common::ZoneName &zone) const
{
    static const std::vector<Common::VmName> none;
    const auto found = this->holdersByZone.find(zone);
    return found == this->holdersByZone.end() ? none : found->second;
}

std::optional<Common::VmName> QuotaPlan::agent(const Common::ZoneName &zone,
                                               const std::set<Common::VmName> &reachable) const
{
    const std::vector<Common::VmName> &candidates = this->holders(zone);
    const auto found = std::find_if(
            candidates.begin(), candidates.end(),
            [&reachable](const Common::VmName &vm) { return reachable.contains(vm); });
    return found == candidates.end() ? std::nullopt : std::optional(*found);
}

std::vector<Common::ZoneName> QuotaPlan::zones() const
{
    std::vector<Common::ZoneName> result;
    result.reserve(this->holdersByZone.size());
    for (const auto &[zone, holders] : this->holdersByZone) {
        result.push_back(zone);
    }
    return result;
}

} // namespace Currantfall::Quotas
