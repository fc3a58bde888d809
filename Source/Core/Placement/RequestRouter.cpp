#include "currantfall/Placement/RequestRouter.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Currantfall::Placement {

namespace {

enum class Availability {
    Free,      ///< Has free slots.
    Queueing,  ///< Waits for less than one round of its slots.
    Saturated, ///< Waits for longer.
};

struct Owner
{
    const PlacementMember *member = nullptr;
    /// Requests running and queued per slot.
    double pressure = 0.0;
};

/// Groups are tried in this order.
struct GroupKey
{
    int order = 0;
    TargetKind kind = TargetKind::Self;
    std::size_t regionPosition = 0;

    bool operator<(const GroupKey &other) const
    {
        return std::tie(this->order, this->kind, this->regionPosition)
               < std::tie(other.order, other.kind, other.regionPosition);
    }
};

Availability availabilityOf(const PlacementLoad &load)
{
    if (load.freeSlots > load.queued) {
        return Availability::Free;
    }
    return load.queued < load.totalSlots ? Availability::Queueing : Availability::Saturated;
}

double pressureOf(const PlacementLoad &load)
{
    const auto total = static_cast<double>(load.totalSlots);
    return (total - static_cast<double>(load.freeSlots) + static_cast<double>(load.queued)) / total;
}

TargetKind kindOf(const PlacementMember &member, const PlacementMember &self)
{
    if (member.vm == self.vm) {
        return TargetKind::Self;
    }
    if (member.zone == self.zone) {
        return TargetKind::Zone;
    }
    return member.region == self.region ? TargetKind::Region : TargetKind::OtherRegion;
}

int orderOf(TargetKind kind, Availability availability)
{
    if (kind == TargetKind::OtherRegion) {
        return 2;
    }
    switch (availability) {
    case Availability::Free:
        return 0;
    case Availability::Queueing:
        return 1;
    case Availability::Saturated:
        break;
    }
    return 3;
}

std::size_t regionPosition(const Configuration::Environment &environment,
                           const Common::RegionName &name)
{
    std::size_t position = 0;
    while (position < environment.regions.size() && environment.regions[position].name != name) {
        ++position;
    }
    return position;
}

/// Moves the less loaded of two random owners to the front and sorts the others by load.
void powerOfTwo(std::vector<Owner> &owners, std::uint64_t random)
{
    const auto lessLoaded = [](const Owner &left, const Owner &right) {
        return std::tie(left.pressure, left.member->vm)
               < std::tie(right.pressure, right.member->vm);
    };
    if (owners.size() > 1) {
        const std::size_t first = (random & 0xffffffffU) % owners.size();
        const std::size_t step = 1 + (random >> 32U) % (owners.size() - 1);
        const std::size_t second = (first + step) % owners.size();
        const bool useSecond = owners[second].pressure < owners[first].pressure;
        std::swap(owners.front(), owners[useSecond ? second : first]);
        std::sort(owners.begin() + 1, owners.end(), lessLoaded);
    }
}

} // namespace

std::vector<RouteTarget> RequestRouter::route(const Configuration::Environment &environment,
                                              const std::vector<PlacementMember> &members,
                                              const RouteQuery &query)
{
    const auto self
            = std::find_if(members.begin(), members.end(), [&query](const PlacementMember &member) {
                  return member.vm == query.self;
              });
    if (self == members.end()) {
        return {};
    }
    std::map<GroupKey, std::vector<Owner>> groups;
    for (const PlacementMember &member : members) {
        const PlacementLoad *load = member.loadOf(query.service);
        const bool usable = load != nullptr && load->totalSlots > 0 && !member.leaving
                            && !member.suspect && !query.excluded.contains(member.vm);
        if (!usable) {
            continue;
        }
        const TargetKind kind = kindOf(member, *self);
        const bool otherRegion = kind == TargetKind::OtherRegion;
        const bool onCredit = otherRegion || query.everywhereOnCredit;
        if (onCredit && !query.withCredit.contains(member.vm)) {
            continue;
        }
        const GroupKey key { orderOf(kind, availabilityOf(*load)), kind,
                             otherRegion ? regionPosition(environment, member.region) : 0 };
        groups[key].push_back({ &member, pressureOf(*load) });
    }
    std::vector<RouteTarget> targets;
    for (auto &[key, owners] : groups) {
        powerOfTwo(owners, query.random);
        for (const Owner &owner : owners) {
            targets.push_back({ key.kind, owner.member->vm });
        }
    }
    return targets;
}

} // namespace Currantfall::Placement
