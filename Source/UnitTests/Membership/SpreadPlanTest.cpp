#include "currantfall/Membership/SpreadPlan.h"

#include <algorithm>
#include <deque>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "currantfall/Common/RendezvousHash.h"

using namespace Currantfall;
using namespace Currantfall::Membership;

namespace {

using Common::VmName;
using Common::ZoneName;

/// A fleet whose VMs have links to their zone and, if they are digest partners, to the partners of
/// the other zones. Messages are delivered at once, in the order in which they are sent.
class Fleet
{
public:
    Fleet(int regions, int zonesPerRegion, int vmsPerZone)
    {
        for (int zone = 0; zone < regions * zonesPerRegion; ++zone) {
            const ZoneName name("z" + std::to_string(zone));
            const Common::RegionName region("r" + std::to_string(zone / zonesPerRegion));
            this->zones.emplace(name, region);
            for (int vm = 0; vm < vmsPerZone; ++vm) {
                this->vms.push_back(
                        { VmName(name.value() + "-" + std::to_string(vm)), name, region });
            }
        }
    }

    const std::vector<LinkedPeer> &members() const { return this->vms; }

    SpreadPlan planOf(const LinkedPeer &vm) const
    {
        std::vector<LinkedPeer> peers;
        for (const LinkedPeer &other : this->vms) {
            if (other.vm != vm.vm && !this->failed.contains(other.vm) && this->linked(vm, other)) {
                peers.push_back(other);
            }
        }
        return { vm, peers, this->zones };
    }

    struct Deliveries
    {
        std::map<VmName, int> copies;
        int betweenZones = 0;
        int betweenRegions = 0;
        int mostSentByOneVm = 0;
    };
    /// Sends one message of the VM; each receiver passes its first copy on.
    Deliveries send(const LinkedPeer &origin, SpreadDuty duty) const
    {
        Deliveries result;
        std::map<VmName, int> sent;
        std::deque<std::pair<VmName, SpreadTarget>> queue;
        const auto push = [&](const VmName &from, const std::vector<SpreadTarget> &targets) {
            sent[from] += static_cast<int>(targets.size());
            for (const SpreadTarget &target : targets) {
                queue.emplace_back(from, target);
            }
        };
        result.copies[origin.vm] = 1;
        push(origin.vm, this->planOf(origin).targets(duty));
        while (!queue.empty()) {
            const auto [from, target] = queue.front();
            queue.pop_front();
            const LinkedPeer &sender = this->find(from);
            const LinkedPeer &receiver = this->find(target.vm);
            result.betweenRegions += sender.region != receiver.region ? 1 : 0;
            result.betweenZones
                    += sender.region == receiver.region && sender.zone != receiver.zone ? 1 : 0;
            if (++result.copies[target.vm] == 1) {
                push(target.vm, this->planOf(receiver).targets(from, target.duty));
            }
        }
        for (const auto &[vm, count] : sent) {
            result.mostSentByOneVm = std::max(result.mostSentByOneVm, count);
        }
        return result;
    }

    std::set<VmName> failed;
    /// Zones between which there are no links.
    std::set<std::pair<ZoneName, ZoneName>> cut;

private:
    const LinkedPeer &find(const VmName &vm) const
    {
        return *std::find_if(this->vms.begin(), this->vms.end(),
                             [&vm](const LinkedPeer &other) { return other.vm == vm; });
    }

    bool linked(const LinkedPeer &left, const LinkedPeer &right) const
    {
        if (left.zone == right.zone) {
            return true;
        }
        return !this->cut.contains({ left.zone, right.zone })
               && !this->cut.contains({ right.zone, left.zone })
               && this->isPartner(left, right.zone) && this->isPartner(right, left.zone);
    }

    bool isPartner(const LinkedPeer &vm, const ZoneName &towards) const
    {
        std::vector<VmName> candidates;
        for (const LinkedPeer &other : this->vms) {
            if (other.zone == vm.zone && !this->failed.contains(other.vm)) {
                candidates.push_back(other.vm);
            }
        }
        const auto nameOf = [](const VmName &name) -> const std::string & { return name.value(); };
        const auto partners = Common::topCandidates(vm.zone.value() + ">" + towards.value(),
                                                    std::move(candidates), 2, nameOf);
        return std::find(partners.begin(), partners.end(), vm.vm) != partners.end();
    }

    std::vector<LinkedPeer> vms;
    std::map<ZoneName, Common::RegionName> zones;
};

int total(const Fleet::Deliveries &deliveries)
{
    int copies = 0;
    for (const auto &[vm, count] : deliveries.copies) {
        copies += count;
    }
    return copies;
}

} // namespace

// Answers the pattern of a fleet of hundreds of VMs in which each VM passes each message on to all
// its peers: processor time, and bytes between regions.
TEST_CASE("A message reaches all VMs with few copies, whatever the size of the fleet")
{
    const int vmsPerZone = GENERATE(1, 2, 7, 33);
    const Fleet fleet(3, 3, vmsPerZone);
    for (const std::size_t index :
         { std::size_t { 0 }, fleet.members().size() / 2, fleet.members().size() - 1 }) {
        const auto deliveries = fleet.send(fleet.members()[index], SpreadDuty::Fleet);
        INFO("vms per zone " << vmsPerZone << ", origin " << index);
        CHECK(deliveries.copies.size() == fleet.members().size());
        CHECK(total(deliveries) <= 3 * static_cast<int>(fleet.members().size()));
        // Once to each other region by each of the zone's two digest partners.
        CHECK(deliveries.betweenRegions <= 2 * 2);
        // The same to the other zones of the region, in each of the three regions.
        CHECK(deliveries.betweenZones <= 3 * 2 * 2 * 2);
        CHECK(deliveries.mostSentByOneVm <= vmsPerZone + 8);
    }
}

TEST_CASE("A message for a region stays in it")
{
    const Fleet fleet(3, 3, 7);
    const auto deliveries = fleet.send(fleet.members().front(), SpreadDuty::Region);
    CHECK(deliveries.copies.size() == 21);
    CHECK(deliveries.betweenRegions == 0);
}

TEST_CASE("A message reaches all VMs although digest partners have failed")
{
    Fleet fleet(3, 3, 7);
    // Their zones choose others.
    for (const LinkedPeer &vm : fleet.members()) {
        if (Common::rendezvousWeight("failed", vm.vm.value()) % 3 == 0
            && vm.vm != fleet.members().front().vm) {
            fleet.failed.insert(vm.vm);
        }
    }
    const auto deliveries = fleet.send(fleet.members().front(), SpreadDuty::Fleet);
    CHECK(deliveries.copies.size() == fleet.members().size() - fleet.failed.size());
}

// Versions are compared over all links between zones, so that a zone gets through a third one what
// a cut link has kept from it.
TEST_CASE("A zone that a cut separates from the origin has peers to compare versions with")
{
    Fleet fleet(1, 3, 4);
    fleet.cut.insert({ ZoneName("z0"), ZoneName("z2") });
    const auto deliveries = fleet.send(fleet.members().front(), SpreadDuty::Fleet);
    CHECK(deliveries.copies.size() == 8);
    std::size_t links = 0;
    for (const LinkedPeer &vm : fleet.members()) {
        if (vm.zone == ZoneName("z2")) {
            links += fleet.planOf(vm).repairPeers().size();
        }
    }
    CHECK(links == 4);
    // What arrives that way is passed on inside the zone.
    const LinkedPeer &receiver = fleet.members().back();
    const auto targets = fleet.planOf(receiver).targets(fleet.members()[4].vm, SpreadDuty::Zone);
    CHECK(targets.size() == 3);
}

// Mixed fleets: VMs of earlier versions send without a duty.
TEST_CASE("A message without a duty is passed on to the whole fleet, but not back")
{
    const Fleet fleet(2, 2, 3);
    const LinkedPeer &vm = fleet.members().front();
    const VmName source = fleet.members()[1].vm;
    const auto targets = fleet.planOf(vm).targets(source, SpreadDuty::Everyone);
    CHECK_FALSE(targets.empty());
    CHECK(std::none_of(targets.begin(), targets.end(),
                       [&source](const auto &target) { return target.vm == source; }));
    CHECK(spreadDutyOf(200) == SpreadDuty::None);
}
