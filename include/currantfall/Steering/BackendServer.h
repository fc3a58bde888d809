#pragma once

#include <cstdint>
#include <string>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// A backend server as it registered itself in the platform's store.
struct BackendServer
{
    /// Not unique per run: a server may restart under the same name, see `startTime`.
    Common::BackendServerName name;
    Common::ServiceName service;
    std::string address; ///< IPv4 address.
    std::uint16_t port = 0;
    Common::ZoneName zone;
    std::uint32_t slots = 1;
    bool draining = false;
    /// How long the server stays cold, counted from the time when it wrote this entry.
    absl::Duration coldFor = absl::ZeroDuration();
    /// Start time of the process. Distinguishes runs under the same name.
    absl::Time startTime = absl::UnixEpoch();

    friend bool operator==(const BackendServer &left, const BackendServer &right) = default;
};

} // namespace Currantfall::Steering
