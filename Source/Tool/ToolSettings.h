#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Platform/HostPort.h"

namespace Currantfall::Tool {

/// The settings of one run.
struct ToolSettings
{
    std::optional<std::string> platform;
    std::optional<std::string> environment;
    std::optional<std::string> operatorName;
    std::vector<Platform::HostPort> daemons; ///< Admin ports.
    absl::Duration timeout = absl::Seconds(10);
    std::optional<Common::Revision> target;   ///< --to
    std::optional<Common::Revision> expected; ///< --expect
    bool json = false;
    bool force = false;
    bool help = false;
    bool version = false;
    std::string command; ///< Empty with help and version.
    std::vector<std::string> arguments;

    /// Refuses unknown, malformed and contradictory settings.
    static Common::Result<ToolSettings> parse(int argc, const char *const *argv);

    static std::string usage();

    /// Upper bound for the answer of one daemon; a slower one counts as not heard from.
    absl::Duration daemonTimeout() const { return this->timeout / 4; }

    /// The value of a setting that the command needs.
    Common::Result<std::string> required(const std::optional<std::string> &value,
                                         const std::string &flag) const;
};

} // namespace Currantfall::Tool
