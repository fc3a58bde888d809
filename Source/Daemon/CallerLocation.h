#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "currantfall/Configuration/ClientBlockTable.h"

namespace Currantfall::Daemon {

/// Host byte order; nothing if `text` is not an IPv4 address.
std::optional<std::uint32_t> parseAddress(const std::string &text);

/// The zone of the client block that contains `address` (host byte order), if there is one.
std::optional<Common::ZoneName> zoneOfCaller(const Configuration::Environment &environment,
                                             const Configuration::ClientBlockTable *clientBlocks,
                                             std::uint32_t address);

/// The region of a caller by its IPv4 address; empty if no client block names it.
Common::RegionName regionOfCaller(const Configuration::Environment &environment,
                                  const Configuration::ClientBlockTable *clientBlocks,
                                  const std::string &address);

} // namespace Currantfall::Daemon
