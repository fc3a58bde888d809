#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantfall/Common/Error.h"

namespace Currantfall::Common {

/// One flag of a program.
struct Flag
{
    std::string name; ///< Without dashes, such as "port-base".
    std::string help;
    /// Shown in the help, such as "HOST:PORT". Empty for a switch without a value.
    std::string valueName;
    bool repeatable = false;
    /// False for flags of a single run, such as --force, which a variable must not turn on for all.
    bool hasVariable = true;
};

/// The settings of one run. A flag that is not on the command line is taken from the environment
/// variable of the same name: --port-base is also <prefix>PORT_BASE. A switch is on if its variable
/// is "1" or "true" and off if it is "0", "false" or empty. The values of a repeatable flag are
/// separated by commas in its variable.
class CommandLine
{
public:
    /// Refuses unknown flags, missing values and repeated flags that are not repeatable. An empty
    /// `environmentPrefix` leaves environment variables unused.
    static Result<CommandLine> parse(const std::vector<Flag> &flags,
                                     const std::string &environmentPrefix, int argc,
                                     const char *const *argv);

    bool enabled(const std::string &flag) const { return this->settings.contains(flag); }
    std::optional<std::string> value(const std::string &flag) const;
    std::string valueOr(const std::string &flag, const std::string &fallback) const;
    /// A whole number from `least` to `most`; `fallback` without the flag.
    Result<long> number(const std::string &flag, long fallback, long least, long most) const;
    std::vector<std::string> values(const std::string &flag) const;
    const std::vector<std::string> &positional() const { return this->arguments; }

    /// One line per flag.
    static std::string describe(const std::vector<Flag> &flags);

private:
    CommandLine() = default;

    std::map<std::string, std::vector<std::string>> settings;
    std::vector<std::string> arguments;
};

} // namespace Currantfall::Common
