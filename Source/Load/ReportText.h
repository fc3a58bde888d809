#pragma once

#include <string>

#include "Load/LoadRun.h"
#include "Load/Settings.h"

namespace Currantfall::Load {

/// One line per class and phase kind, and the ratios of alternating phases.
std::string reportText(const LoadReport &report, const Settings &settings);

/// The same figures; times in milliseconds.
std::string reportJson(const LoadReport &report, const Settings &settings);

} // namespace Currantfall::Load
