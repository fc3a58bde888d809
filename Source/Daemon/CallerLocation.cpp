#include "CallerLocation.h"

#include <algorithm>
#include <arpa/inet.h>

namespace Currantfall::Daemon {

std::optional<std::uint32_t> parseAddress(const std::string &text)
{
    in_addr parsed {};
    if (inet_pton(AF_INET, text.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return ntohl(parsed.s_addr);
}

std::optional<Common::ZoneName> zoneOfCaller(const Configuration::Environment &environment,
                                             const Configuration::ClientBlockTable *clientBlocks,
                                             std::uint32_t address)
{
    const auto index = clientBlocks == nullptr ? std::nullopt : clientBlocks->lookup(address);
    if (!index) {
        return std::nullopt;
    }
    const auto zones = Configuration::zonesInOrder(environment);
    return *index < zones.size() ? std::optional(zones[*index]) : std::nullopt;
}

Common::RegionName regionOfCaller(const Configuration::Environment &environment,
                                  const Configuration::ClientBlockTable *clientBlocks,
                                  const std::string &address)
{
    const auto parsed = parseAddress(address);
    const auto zone = parsed ? zoneOfCaller(environment, clientBlocks, *parsed) : std::nullopt;
    if (!zone) {
        return {};
    }
    for (const Configuration::Region &region : environment.regions) {
        if (std::find(region.zones.begin(), region.zones.end(), *zone) != region.zones.end()) {
            return region.name;
        }
    }
    return {};
}

} // namespace Currantfall::Daemon
