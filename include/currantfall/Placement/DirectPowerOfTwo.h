#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Placement {

/// A backend server's own, lagging report.
struct BackendServerLoad
{
    Common::BackendServerName name;
    std::size_t inUse = 0;
    std::size_t slots = 0;

    friend bool operator==(const BackendServerLoad &left, const BackendServerLoad &right) = default;
};

/// Baseline without owners: the less loaded of two servers drawn at random.
class DirectPowerOfTwo
{
public:
    static std::optional<Common::BackendServerName>
    choose(const std::vector<BackendServerLoad> &servers,
           const absl::flat_hash_set<Common::BackendServerName> &excluded, std::uint64_t random);
};

} // namespace Currantfall::Placement
