#pragma once

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
    /// Bytes are accepted but held until the link is no longer frozen.
    bool freeze = false;
    /// Shared by all connections of the link, for each direction.
    double bytesPerSecond = std::numeric_limits<double>::infinity();

    friend bool operator==(const LinkSettings &left, const LinkSettings &right) = default;
};

} // namespace Currantfall::Standins
