#include "currantfall/Configuration/ClientBlockTable.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

namespace Currantfall::Configuration {

namespace {

constexpr ZoneIndex noZone = std::numeric_limits<ZoneIndex>::max();
constexpr std::uint64_t addressSpaceEnd = std::uint64_t { 1 } << 32U;

// Enclosing networks come directly before the networks inside them.
bool comesBefore(const ClientBlockTable::Block &left, const ClientBlockTable::Block &right)
{
    return left.network < right.network;
}

std::uint64_t endOf(const ClientBlockTable::Block &block)
{
    return std::uint64_t { block.network.lastAddress() } + 1;
}

Common::Result<void> check(const std::vector<ClientBlockTable::Block> &sorted)
{
    const char *const step = "build client-block table";
    for (std::size_t index = 0; index < sorted.size(); ++index) {
        const std::string network = sorted[index].network.toString();
        if (sorted[index].zone == noZone) {
            return Common::failure(Common::ErrorCode::InvalidInput, step, {},
                                   network + " has no valid zone");
        }
        if (index > 0 && sorted[index].network == sorted[index - 1].network) {
            return Common::failure(Common::ErrorCode::InvalidInput, step, {},
                                   network + " occurs twice");
        }
    }
    return {};
}

} // namespace

std::vector<Common::ZoneName> zonesInOrder(const Environment &environment)
{
    std::vector<Common::ZoneName> zones;
    for (const Region &region : environment.regions) {
        zones.insert(zones.end(), region.zones.begin(), region.zones.end());
    }
    return zones;
}

Common::Result<ClientBlockTable> ClientBlockTable::create(std::vector<Block> blocks)
{
    std::sort(blocks.begin(), blocks.end(), comesBefore);
    if (auto checked = check(blocks); !checked) {
        return tl::unexpected(std::move(checked.error()));
    }
    ClientBlockTable table;
    table.append(0, noZone);
    // The networks around the current address, the longest one last.
    std::vector<Block> enclosing;
    const auto closeUntil = [&table, &enclosing](std::uint64_t address) {
        while (!enclosing.empty() && endOf(enclosing.back()) <= address) {
            const std::uint64_t end = endOf(enclosing.back());
            enclosing.pop_back();
            table.append(end, enclosing.empty() ? noZone : enclosing.back().zone);
        }
    };
    for (const Block &block : blocks) {
        closeUntil(block.network.address);
        table.append(block.network.address, block.zone);
        enclosing.push_back(block);
    }
    closeUntil(addressSpaceEnd);
    table.starts.shrink_to_fit();
    table.zones.shrink_to_fit();
    return table;
}

Common::Result<ClientBlockTable> ClientBlockTable::fromEnvironment(const Environment &environment)
{
    const auto zones = zonesInOrder(environment);
    if (zones.size() > noZone) {
        return Common::failure(Common::ErrorCode::TooLarge, "build client-block table", {},
                               "more than 65535 zones");
    }
    absl::flat_hash_map<std::string, ZoneIndex> indexes;
    for (const Common::ZoneName &zone : zones) {
        indexes.emplace(zone.value(), static_cast<ZoneIndex>(indexes.size()));
    }
    std::vector<Block> blocks;
    blocks.reserve(environment.clientBlocks.size());
    for (const ClientBlock &clientBlock : environment.clientBlocks) {
        auto network = Ipv4Network::parse(clientBlock.cidr);
        if (!network) {
            return tl::unexpected(std::move(network.error()));
        }
        const auto zone = indexes.find(clientBlock.zone.value());
        blocks.push_back({ *network, zone == indexes.end() ? noZone : zone->second });
    }
    return create(std::move(blocks));
}

void ClientBlockTable::append(std::uint64_t start, ZoneIndex zone)
{
    if (start >= addressSpaceEnd) {
        return;
    }
    const auto address = static_cast<std::uint32_t>(start);
    // A network that starts where another one ends or starts replaces its interval.
    if (!this->starts.empty() && this->starts.back() == address) {
        this->starts.pop_back();
        this->zones.pop_back();
    }
    if (!this->zones.empty() && this->zones.back() == zone) {
        return;
    }
    this->starts.push_back(address);
    this->zones.push_back(zone);
}

std::optional<ZoneIndex> ClientBlockTable::lookup(std::uint32_t address) const
{
    // The first interval starts at 0, so that there is always one at or before the address.
    const auto next = std::upper_bound(this->starts.begin(), this->starts.end(), address);
    const ZoneIndex zone = this->zones[static_cast<std::size_t>(next - this->starts.begin()) - 1];
    return zone == noZone ? std::nullopt : std::optional<ZoneIndex>(zone);
}

std::size_t ClientBlockTable::byteSize() const
{
    return this->starts.capacity() * sizeof(std::uint32_t)
           + this->zones.capacity() * sizeof(ZoneIndex);
}

} // namespace Currantfall::Configuration
