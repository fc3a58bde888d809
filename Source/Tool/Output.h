#pragma once

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include "currantfall/Common/Error.h"

namespace Currantfall::Tool {

/// The exit codes of every program of the project.
enum class ExitCode {
    Success = 0,
    Failed = 1,      ///< The operation failed or was refused.
    Invalid = 2,     ///< Input or settings are invalid.
    Unreachable = 3, ///< The platform or a daemon can't be reached, or the result is unknown.
    Conflict = 4,    ///< Another operator came first.
};

/// The exit code for an error of the platform or a daemon. Invalid input from them is a failed
/// operation, since ExitCode::Invalid is about what the operator gave.
ExitCode exitCodeOf(const Common::Error &error);

/// Prints the result of a command, for people or as one JSON document, and passes on its exit code.
class Output
{
public:
    Output(bool json, std::ostream &out, std::ostream &errors)
        : json(json), out(out), errors(errors)
    { }

    /// Prints `text`, or `document` with --json.
    ExitCode show(const std::string &text, const nlohmann::json &document,
                  ExitCode code = ExitCode::Success);
    ExitCode fail(const Common::Error &error) { return this->fail(error, exitCodeOf(error)); }
    ExitCode fail(const Common::Error &error, ExitCode code);
    /// For invalid settings and input.
    ExitCode invalid(const Common::Error &error) { return this->fail(error, ExitCode::Invalid); }
    /// A message beside the result.
    void warn(const std::string &message);

private:
    bool json;
    std::ostream &out;
    std::ostream &errors;
};

} // namespace Currantfall::Tool
