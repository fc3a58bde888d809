#pragma once

namespace Currantfall::Entry {

/// Runs the daemon of an entry VM until SIGTERM or SIGINT; returns the exit code. `pathVariable` is
/// the name of the environment variable that contains the path of the settings file.
int runEntryProgram(const char *pathVariable);

/// Validates the settings file, prints the first error if there is one, and returns the exit code.
int checkEntrySettings(const char *path);

} // namespace Currantfall::Entry
