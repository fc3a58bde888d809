#pragma once

#include <vector>

#include <httplib.h>

#include "currantfall/Common/Outcome.h"

namespace Currantfall::Daemon {

/// The headers that a proxy passes on: without hop-by-hop headers, headers that the HTTP library
/// makes itself, and the system's own headers other than Currantfall-Request.
std::vector<Common::Header> endToEndHeaders(const httplib::Headers &headers);

} // namespace Currantfall::Daemon
