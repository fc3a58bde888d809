#pragma once

#include <cstddef>

#include "platform/HttpMessages.h"

namespace Currantfall::Entry {

/// Approximate memory of a request besides its body.
std::size_t headerMemory(const Adapter::HttpRequest &request);

} // namespace Currantfall::Entry
