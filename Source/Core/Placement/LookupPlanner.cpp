#include "currantfall/Placement/LookupPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <tuple>

#include "currantfall/Common/RendezvousHash.h"

namespace Currantfall::Placement {

namespace {

// Loads lag, so an owner without free slots at the time of its report still gets some callers.
constexpr double busyWeight = 0.1;

enum class Distance {
    Zone,
    Region,
    OtherRegion,
    /// Another region without free slots, or a suspect member.
    LastResort,
};

struct Candidate
{
    Distance distance = Distance::LastResort;
    bool ownsNone = true;
    /// The smaller, the earlier.
    double draw = 0.0;
    const PlacementMember *member = nullptr;
};

/// Exponentially distributed with the rate `weight`, so that the smallest of several draws falls on
/// each with a probability in proportion to its weight.
double drawFor(const Common::VmName &vm, std::uint64_t seed, double weight)
{
    const std::uint64_t hash = Common::rendezvousWeight(std::to_string(seed), vm.value());
    const double uniform = (static_cast<double>(hash) + 1.0)
                           / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2.0);
    return -std::log(uniform) / weight;
}

Candidate candidateFor(const PlacementMember &member, const Configuration::Region *clientRegion,
                       const Common::ServiceName &service, const Common::ZoneName &clientZone,
                       std::uint64_t seed)
{
    const PlacementLoad *load = member.loadOf(service);
    const auto freeSlots = load == nullptr ? 0.0 : static_cast<double>(load->freeSlots);
    const auto totalSlots = load == nullptr ? 0.0 : static_cast<double>(load->totalSlots);
    Candidate result;
    result.member = &member;
    result.ownsNone = totalSlots == 0.0;
    result.draw = drawFor(member.vm, seed, freeSlots + busyWeight * std::max(1.0, totalSlots));
    if (member.suspect) {
        return result;
    }
    if (member.zone == clientZone) {
        result.distance = Distance::Zone;
    } else if (clientRegion != nullptr && member.region == clientRegion->name) {
        result.distance = Distance::Region;
    } else if (freeSlots > 0.0) {
        result.distance = Distance::OtherRegion;
    }
    return result;
}

} // namespace

std::vector<Common::VmName> LookupPlanner::plan(const Configuration::Environment &environment,
                                                const std::vector<PlacementMember> &members,
                                                const Common::ServiceName &service,
                                                const Common::ZoneName &clientZone,
                                                std::uint64_t seed)
{
    const Configuration::Region *clientRegion = environment.regionOf(clientZone);
    std::vector<Candidate> candidates;
    candidates.reserve(members.size());
    for (const PlacementMember &member : members) {
        if (!member.leaving) {
            candidates.push_back(candidateFor(member, clientRegion, service, clientZone, seed));
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return std::tie(left.distance, left.ownsNone, left.draw, left.member->vm)
                         < std::tie(right.distance, right.ownsNone, right.draw, right.member->vm);
              });
    std::vector<Common::VmName> entries;
    for (const Candidate &candidate : candidates) {
        const bool near = candidate.distance <= Distance::Region;
        const std::size_t limit = near ? mostEntries : fewestEntries;
        if (entries.size() >= limit) {
            break;
        }
        entries.push_back(candidate.member->vm);
    }
    return entries;
}

} // namespace Currantfall::Placement
