#pragma once

// Definitions of the template RevisionStore; included by RevisionStore.h only.

#include "currantfall/Platform/RevisionStore.h"

namespace Currantfall::Platform { } // namespace Currantfall::Platform
