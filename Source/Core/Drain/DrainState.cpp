#include "currantfall/Drain/DrainState.h"

#include <utility>

namespace Currantfall::Drain {

HeldWork operator+(const HeldWork &left, const HeldWork &right)
{
    return { left.inFlight + right.inFlight, left.queued + right.queued,
             left.keyRecords + right.keyRecords };
}

void DrainState::setTargets(const std::vector<DrainTarget> &targets)
{
    std::map<DrainTarget, Reports> kept;
    for (const DrainTarget &target : targets) {
        kept[target] = std::move(this->reportsByTarget[target]);
    }
    this->reportsByTarget = std::move(kept);
}

void DrainState::setReporters(const std::set<Common::VmName> &vms)
{
    this->reporters = vms;
    for (auto &[target, reports] : this->reportsByTarget) {
        std::erase_if(reports, [&vms](const auto &entry) { return vms.count(entry.first) == 0; });
    }
}

void DrainState::report(const DrainTarget &target, const Common::VmName &vm, const HeldWork &held)
{
    const auto found = this->reportsByTarget.find(target);
    if (found != this->reportsByTarget.end() && this->reporters.count(vm) > 0) {
        found->second[vm] = held;
    }
}

std::vector<DrainTarget> DrainState::targets() const
{
    std::vector<DrainTarget> result;
    for (const auto &[target, reports] : this->reportsByTarget) {
        result.push_back(target);
    }
    return result;
}

HeldWork DrainState::held(const DrainTarget &target) const
{
    HeldWork sum;
    for (const Holder &holder : this->holders(target)) {
        sum = sum + holder.held.value_or(HeldWork {});
    }
    return sum;
}

std::vector<DrainState::Holder> DrainState::holders(const DrainTarget &target) const
{
    const auto found = this->reportsByTarget.find(target);
    if (found == this->reportsByTarget.end()) {
        return {};
    }
    std::vector<Holder> result;
    for (const Common::VmName &vm : this->reporters) {
        const auto report = found->second.find(vm);
        if (report == found->second.end()) {
            result.push_back({ vm, std::nullopt });
        } else if (!report->second.empty()) {
            result.push_back({ vm, report->second });
        }
    }
    return result;
}

bool DrainState::empty(const DrainTarget &target) const
{
    // Without reporters nobody could say that the target holds something.
    return this->reportsByTarget.count(target) > 0 && !this->reporters.empty()
           && this->holders(target).empty();
}

} // namespace Currantfall::Drain
