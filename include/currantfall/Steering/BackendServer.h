#pragma once

#include <cstdint>
#include <string>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Steering {

/// What a backend server says of itself in the platform's store.
struct BackendServer
{
    /// Names one run of the server, unless it starts again under the same name.
    Common::BackendServerName name;
    Common::ServiceName service;
    std::string address; ///< IPv4 address.
    std::uint16_t port = 0;
    Common::ZoneName zone;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Time that it stays cold, from the moment at which it wrote this.
    absl::Duration coldFor = absl::ZeroDuration();
    /// Start of the process; distinguishes runs under one name.
    absl::Time born = absl::UnixEpoch();

    friend bool operator==(const BackendServer &left, const BackendServer &right) = default;
};

} // namespace Currantfall::Steering
