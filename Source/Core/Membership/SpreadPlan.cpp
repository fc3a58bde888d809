#include "currantfall/Membership/SpreadPlan.h"

#include <string>
#include <utility>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Membership {

namespace {

using Common::RegionName;
using Common::VmName;
using Common::ZoneName;

template<typename Name>
Name chosenFor(const std::string &key, std::vector<Name> candidates)
{
    const auto nameOf = [](const Name &name) -> const std::string & { return name.value(); };
    return Common::topCandidates(key, std::move(candidates), 1, nameOf).front();
}

} // namespace

SpreadDuty spreadDutyOf(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(SpreadDuty::None) ? static_cast<SpreadDuty>(value)
                                                                : SpreadDuty::None;
}

SpreadPlan::SpreadPlan(LinkedPeer self, std::vector<LinkedPeer> peers,
                       const std::map<ZoneName, RegionName> &zones)
    : self(std::move(self))
{
    std::map<ZoneName, std::vector<VmName>> byZone;
    for (LinkedPeer &peer : peers) {
        if (peer.zone == this->self.zone) {
            this->mates.push_back(peer.vm);
        } else {
            this->otherZonePeers.push_back(peer.vm);
            byZone[peer.zone].push_back(peer.vm);
        }
        VmName name = peer.vm;
        this->peers.emplace(std::move(name), std::move(peer));
    }
    std::map<RegionName, std::vector<ZoneName>> byRegion;
    for (const auto &[zone, region] : zones) {
        byRegion[region].push_back(zone);
    }
    for (const auto &[region, regionZones] : byRegion) {
        const bool own = region == this->self.region;
        // All VMs of this zone choose the same zone of another region.
        const ZoneName entryZone
                = chosenFor(this->self.zone.value() + ">" + region.value(), regionZones);
        for (const ZoneName &zone : regionZones) {
            const auto linked = byZone.find(zone);
            if (linked == byZone.end() || (!own && zone != entryZone)) {
                continue;
            }
            // Different VMs of this zone mostly choose different peers of the other one.
            (own ? this->zoneEntries : this->regionEntries)
                    .push_back(chosenFor(this->self.vm.value(), linked->second));
        }
    }
}

std::vector<SpreadTarget> SpreadPlan::targets(SpreadDuty duty) const
{
    std::vector<SpreadTarget> targets;
    this->addMates(duty, targets);
    this->addZones(targets);
    if (duty == SpreadDuty::Fleet) {
        this->addRegions(targets);
    }
    return targets;
}

std::vector<SpreadTarget> SpreadPlan::targets(const VmName &source, SpreadDuty duty) const
{
    std::vector<SpreadTarget> targets;
    if (duty == SpreadDuty::Everyone) {
        targets = this->targets(SpreadDuty::Fleet);
        std::erase_if(targets, [&source](const auto &target) { return target.vm == source; });
        return targets;
    }
    const auto known = this->peers.find(source);
    const bool fromMate = known != this->peers.end() && known->second.zone == this->self.zone;
    if (!fromMate && duty != SpreadDuty::None) {
        this->addMates(duty == SpreadDuty::Zone ? SpreadDuty::None : duty, targets);
    }
    if (duty == SpreadDuty::Fleet || duty == SpreadDuty::Region) {
        this->addZones(targets);
    }
    if (duty == SpreadDuty::Fleet) {
        this->addRegions(targets);
    }
    std::erase_if(targets, [&source](const auto &target) { return target.vm == source; });
    return targets;
}

void SpreadPlan::addMates(SpreadDuty duty, std::vector<SpreadTarget> &targets) const
{
    for (const VmName &vm : this->mates) {
        targets.push_back({ vm, duty });
    }
}

void SpreadPlan::addZones(std::vector<SpreadTarget> &targets) const
{
    for (const VmName &vm : this->zoneEntries) {
        targets.push_back({ vm, SpreadDuty::Zone });
    }
}

void SpreadPlan::addRegions(std::vector<SpreadTarget> &targets) const
{
    for (const VmName &vm : this->regionEntries) {
        targets.push_back({ vm, SpreadDuty::Region });
    }
}

} // namespace Currantfall::Membership
