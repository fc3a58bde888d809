#pragma once

namespace Currantfall::Entry {

/// Runs an entry VM of the platform until it is told to stop; returns the exit code. `variable`
/// names the environment variable with the path of the settings file.
int runEntryProgram(const char *variable);

/// Reads the settings in the same way, prints what is wrong with them, and returns the exit code.
int checkEntrySettings(const char *path);

} // namespace Currantfall::Entry
