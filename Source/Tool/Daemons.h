#pragma once

#include <optional>
#include <string>
#include <vector>

#include "currantfall/Platform/HostPort.h"
#include "currantfall/Platform/PlatformClient.h"

#include "ToolSettings.h"
#include "VmStatus.h"

namespace Currantfall::Tool {

/// Offset of the admin port from the port base of an entry VM.
inline constexpr int adminPortOffset = 9;

/// A daemon to be asked.
struct Daemon
{
    Platform::HostPort admin;
    /// The entry of the platform's list; absent for --daemon.
    std::optional<Platform::ListedVm> listed;

    /// The listed name, or the admin address.
    std::string name() const;
    /// True unless the platform lists it as leaving.
    bool expectedLive() const;
    Platform::HostPort lookups() const;
};

struct DaemonReport
{
    Daemon daemon;
    Common::Result<VmStatus> status;
};

/// The daemons of --daemon or, without it, of the platform's list.
Common::Result<std::vector<Daemon>> findDaemons(const ToolSettings &settings);

/// Asks the daemons, many at the same time, and ends within half of --timeout-ms, so that a drain
/// still has time for its write. Those that were not reached by then count as not heard from. The
/// reports have the order of `daemons`.
std::vector<DaemonReport> askDaemons(const std::vector<Daemon> &daemons,
                                     const ToolSettings &settings);

/// The body of a successful GET. Errors: Unavailable without an answer, Refused for other statuses.
Common::Result<std::string> fetch(const Platform::HostPort &server, const std::string &path,
                                  absl::Duration timeout);

} // namespace Currantfall::Tool
