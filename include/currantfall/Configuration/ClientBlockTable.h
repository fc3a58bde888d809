#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "currantfall/Common/Error.h"
#include "currantfall/Configuration/Environment.h"
#include "currantfall/Configuration/Ipv4Network.h"

namespace Currantfall::Configuration {

/// Position of a zone in zonesInOrder().
using ZoneIndex = std::uint16_t;

/// All zones of the regions in document order.
std::vector<Common::ZoneName> zonesInOrder(const Environment &environment);

/// Finds the zone of a client by the longest matching network. Immutable.
class ClientBlockTable
{
public:
    struct Block
    {
        Ipv4Network network;
        ZoneIndex zone = 0;
    };

    /// Networks may nest. A network that occurs twice is an error, and so is a zone index of 65535.
    static Common::Result<ClientBlockTable> create(std::vector<Block> blocks);
    /// The table of the document's client blocks.
    static Common::Result<ClientBlockTable> fromEnvironment(const Environment &environment);

    /// The zone of the longest network that contains `address` (host byte order).
    std::optional<ZoneIndex> lookup(std::uint32_t address) const;

    std::size_t intervalCount() const { return this->starts.size(); }
    /// Heap memory of the table.
    std::size_t byteSize() const;

private:
    ClientBlockTable() = default;

    void append(std::uint64_t start, ZoneIndex zone);

    // Two flat arrays take 6 bytes per interval; pairs would be padded to 8.
    std::vector<std::uint32_t> starts;
    std::vector<ZoneIndex> zones;
};

} // namespace Currantfall::Configuration
