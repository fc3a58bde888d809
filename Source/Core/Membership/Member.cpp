#include "currantfall/Membership/Member.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Currantfall::Membership {

std::string toString(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Unknown:
        return "unknown";
    }
    return "unknown";
}

MemberView::MemberView(std::uint64_t version, std::uint64_t topologyVersion,
                       std::vector<std::shared_ptr<const Member>> sortedMembers)
    : versionCounter(version), topologyCounter(topologyVersion), sorted(std::move(sortedMembers))
{ }

const Member *MemberView::find(const Common::VmName &vm) const
{
    const auto position = std::lower_bound(
            this->sorted.begin(), this->sorted.end(), vm,
            [](const auto &member, const auto &name) { return member->vm < name; });
    if (position == this->sorted.end() || (*position)->vm != vm) {
        return nullptr;
    }
    return position->get();
}

std::vector<std::shared_ptr<const Member>> MemberView::inZone(const Common::ZoneName &zone) const
{
    std::vector<std::shared_ptr<const Member>> result;
    std::copy_if(this->sorted.begin(), this->sorted.end(), std::back_inserter(result),
                 [&zone](const auto &member) { return member->zone == zone; });
    return result;
}

} // namespace Currantfall::Membership
