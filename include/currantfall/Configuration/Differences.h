#pragma once

#include <string>
#include <vector>

#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Configuration {

/// One line per changed item, such as
/// "services.bellbook.backend_servers.bellbook-lm-a-1.slots: 3 -> 4". Items are matched by name, so
/// that moving one within its list is no change, except for ranks, whose order is their priority.
std::vector<std::string> describeDifferences(const Environment &before, const Environment &after);

} // namespace Currantfall::Configuration
