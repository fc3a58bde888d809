#pragma once

#include <compare>
#include <cstdint>

namespace Currantfall::Steering {

/// Version of the platform's store. Increases with every transaction of an era.
using StoreVersion = std::uint64_t;
/// Counts how often the store has returned from an older copy of itself, which takes versions back
/// and gives them out again. Always 0 for a store without eras.
using StoreEra = std::uint64_t;

/// A state of the store. Positions are ordered by era first, as versions of different eras are not
/// comparable.
class StorePosition
{
public:
    constexpr StorePosition() = default;
    constexpr StorePosition(StoreEra era, StoreVersion version)
        : eraNumber(era), versionNumber(version)
    { }

    constexpr StoreEra era() const { return this->eraNumber; }
    constexpr StoreVersion version() const { return this->versionNumber; }

    // NOLINTNEXTLINE(modernize-use-nullptr): see Common::Name.
    friend auto operator<=>(const StorePosition &left, const StorePosition &right) = default;

private:
    // The order of the members is the order of comparison.
    StoreEra eraNumber = 0;
    StoreVersion versionNumber = 0;
};

} // namespace Currantfall::Steering
