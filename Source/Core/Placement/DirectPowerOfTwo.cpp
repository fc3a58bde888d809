#include "currantfall/Placement/DirectPowerOfTwo.h"

namespace Currantfall::Placement {

namespace {

double loadOf(const BackendServerLoad &server)
{
    return static_cast<double>(server.inUse) / static_cast<double>(server.slots);
}

} // namespace

std::optional<Common::BackendServerName>
DirectPowerOfTwo::choose(const std::vector<BackendServerLoad> &servers,
                         const absl::flat_hash_set<Common::BackendServerName> &excluded,
                         std::uint64_t random)
{
    std::vector<const BackendServerLoad *> usable;
    usable.reserve(servers.size());
    for (const BackendServerLoad &server : servers) {
        if (server.slots > 0 && !excluded.contains(server.name)) {
            usable.push_back(&server);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const std::size_t first = (random & 0xffffffffU) % usable.size();
    if (usable.size() == 1) {
        return usable.front()->name;
    }
    const std::size_t step = 1 + (random >> 32U) % (usable.size() - 1);
    const std::size_t second = (first + step) % usable.size();
    const bool useSecond = loadOf(*usable[second]) < loadOf(*usable[first]);
    return usable[useSecond ? second : first]->name;
}

} // namespace Currantfall::Placement
