#pragma once

#include <string>
#include <vector>

#include "ExecutionLedger.h"
#include "SoakCallers.h"

namespace Currantfall::Tests {

/// A time in which an entry VM did not run, or in which the link of a backend server was impaired.
struct Disruption
{
    /// Host at which callers reach the VM, or the address of the server.
    std::string subject;
    SoakClock::time_point begin;
    SoakClock::time_point end;
};

/// Requests that servers got although they had said that they did not want them. A disruption of
/// the VM since the notice excuses both, and one of the server's link the latter.
struct NoticeVerdict
{
    /// Requests that reached a server that leaves, although their caller sent them later than the
    /// drain time after its VM had returned a response of that server.
    std::vector<std::string> leaving;
    /// Pauses in which more than two requests of the VM that the server asked reached it, from half
    /// a second after the server asked until the end of the pause.
    std::vector<std::string> pauses;
};
NoticeVerdict judgeNotices(const std::vector<SoakRecord> &records,
                           const std::vector<Arrival> &arrivals,
                           const std::vector<Disruption> &disruptions,
                           std::chrono::milliseconds drainTime);

} // namespace Currantfall::Tests
