#pragma once

#include <array>
#include <cstdint>
#include <limits>

#include <absl/time/time.h>

namespace Currantfall::Standins {

/// How the relay treats the connections of one listening address.
struct LinkSettings
{
    /// Added to every byte in each direction.
    absl::Duration delay = absl::ZeroDuration();
    /// Connections are closed and new ones are refused.
    bool cut = false;
    /// Bytes are accepted but held until the link is no longer frozen: towards the target, and
    /// towards the caller.
    std::array<bool, 2> freeze {};
    /// Resets so far; one more resets all open connections.
    std::uint64_t resets = 0;
    /// Shared by all connections of the link, for each direction.
    double bytesPerSecond = std::numeric_limits<double>::infinity();

    friend bool operator==(const LinkSettings &left, const LinkSettings &right) = default;
};

} // namespace Currantfall::Standins
