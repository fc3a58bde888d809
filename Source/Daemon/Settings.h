#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"

namespace Currantfall::Daemon {

/// Settings of one entry VM, from flags and from environment variables of the form
/// CURRANTFALL_PORT_BASE. A flag goes before its variable.
struct Settings
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    std::string environment;
    std::string address; ///< IPv4 address of all listeners.
    std::uint16_t portBase = 0;
    std::string platform; ///< "IP:PORT".
    std::string logLevel;
    std::size_t connectionsPerRank = 0;
    std::size_t bodyMemory = 0; ///< Bytes of request bodies held at the same time.
    bool hedging = true;

    std::uint16_t lookupPort() const { return this->portBase; }
    std::uint16_t rankPort(Common::RankIndex rank) const;
    std::uint16_t peerPort() const;
    std::uint16_t adminPort() const;
};

/// The port on which the daemon with this port base accepts peers.
std::uint16_t peerPortOf(std::uint16_t portBase);

/// The port on which it takes requests of services with this rank.
std::uint16_t rankPortOf(std::uint16_t portBase, Common::RankIndex rank);

/// What the command line asks for: to run with settings, or to print a text and exit.
struct Invocation
{
    std::optional<Settings> settings;
    std::string text;
};

/// Reads the command line and the environment variables. Unknown, missing and contradictory
/// settings are ErrorCode::InvalidInput.
Common::Result<Invocation> readInvocation(int argumentCount, const char *const *arguments);

} // namespace Currantfall::Daemon
