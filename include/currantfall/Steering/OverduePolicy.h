#pragma once

#include <absl/time/time.h>

namespace Currantfall::Steering {

/// What is done about a request whose server takes much longer than expected: the server may be
/// dead, the connection silent, or the answer lost.
class OverduePolicy
{
public:
    /// Time after which a connection to the server is tried. `suspected`: other VMs saw the server
    /// fail.
    static absl::Duration checkAfter(absl::Duration expected, bool suspected);

    /// Time after which an idempotent request goes to another server as well, while the first one
    /// goes on. Infinite if the other server could not end it in `remaining`, the time from the
    /// first send to the request's limit. `missed` is the usual work without a cached object.
    static absl::Duration hedgeAfter(absl::Duration expected, absl::Duration missed,
                                     absl::Duration remaining);
};

} // namespace Currantfall::Steering
