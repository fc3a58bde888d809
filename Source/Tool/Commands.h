#pragma once

#include <ostream>
#include <string>

#include "currantfall/Platform/RevisionStore.h"

#include "Output.h"
#include "ToolSettings.h"

namespace Currantfall::Tool {

ExitCode check(const ToolSettings &settings, Output &output);
ExitCode diff(const ToolSettings &settings, Output &output);
ExitCode promote(const ToolSettings &settings, Output &output);
ExitCode rollback(const ToolSettings &settings, Output &output);
ExitCode drain(const ToolSettings &settings, Output &output);
ExitCode status(const ToolSettings &settings, Output &output);
ExitCode lookup(const ToolSettings &settings, Output &output);

/// The whole program.
int runTool(int argc, const char *const *argv, std::ostream &out, std::ostream &errors);

/// Refuses another number of arguments.
Common::Result<void> requireArguments(const ToolSettings &settings, std::size_t least,
                                      std::size_t most);

/// A client of the platform that --platform names.
Common::Result<Platform::PlatformClient> connectPlatform(const ToolSettings &settings);

Platform::RevisionStore<Platform::PlatformClient> revisionStore(Platform::PlatformClient &client,
                                                                const ToolSettings &settings,
                                                                const std::string &environment);

/// Prints the revision that a change has made.
ExitCode showRevision(const std::string &environment, const Platform::EnvironmentRow &row,
                      Output &output);

} // namespace Currantfall::Tool
