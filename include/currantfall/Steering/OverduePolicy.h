#pragma once

#include <absl/time/time.h>

namespace Currantfall::Steering {

/// Decides when to act on a request that takes much longer than expected: the server may have
/// failed, the connection may be broken, or the answer may be lost.
class OverduePolicy
{
public:
    /// Time after which a connection to the server is attempted to check that it is reachable.
    /// `suspected` is true if the outcomes on all VMs show that the server fails.
    static absl::Duration checkAfter(absl::Duration expected, bool suspected);

    /// Time after which an idempotent request is hedged, that is, also sent to another server while
    /// the first attempt continues. Infinite if the other server could not finish it within
    /// `remaining`, the time from the first attempt to the deadline of the request. `cacheMissTime`
    /// is the mean service time with a cache miss.
    static absl::Duration hedgeAfter(absl::Duration expected, absl::Duration cacheMissTime,
                                     absl::Duration remaining);
};

} // namespace Currantfall::Steering
