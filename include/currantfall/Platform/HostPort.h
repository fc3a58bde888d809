#pragma once

#include <string>

#include "currantfall/Common/Error.h"

namespace Currantfall::Platform {

/// The address of a TCP server.
struct HostPort
{
    std::string host; ///< IPv4 address.
    int port = 0;

    /// Reads "IP:PORT" with a port from 1 to 65535.
    static Common::Result<HostPort> parse(const std::string &text);
    std::string toString() const;

    friend bool operator==(const HostPort &left, const HostPort &right) = default;
};

} // namespace Currantfall::Platform
