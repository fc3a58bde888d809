#pragma once

#include "Cursor.h"
#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Configuration {

/// Reads and checks a whole document. The result is only meaningful if no diagnostic was added.
Environment readEnvironment(const Cursor &root);

} // namespace Currantfall::Configuration
