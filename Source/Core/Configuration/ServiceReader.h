#pragma once

#include "Cursor.h"
#include "Definitions.h"
#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Configuration {

/// Reads an element of "services". Ranks and zones must have been defined.
Service readService(const Cursor &cursor, Definitions &definitions);

} // namespace Currantfall::Configuration
