#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

#include "Load/Results.h"

namespace Currantfall::Load {

/// What requests got by the time of their planned arrival, to see for how long a failure affects
/// callers. Thread-safe.
class Timeline
{
public:
    /// Records nothing with an `interval` of zero.
    explicit Timeline(absl::Duration interval);

    void add(Common::Instant scheduled, CallOutcome outcome, absl::Duration latency);

    /// A line for each interval: begin in seconds of the system clock, requests, answered ones, and
    /// the largest latency of those in milliseconds. Empty if nothing was recorded.
    std::string toText() const;

private:
    struct Interval
    {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        absl::Duration slowest = absl::ZeroDuration();
    };

    const absl::Duration interval;
    const absl::Time begin;
    const Common::Instant beginInstant;
    /// Not an absl::Mutex: ThreadSanitizer does not see the locks of the uninstrumented library.
    mutable std::mutex mutex;
    std::map<std::int64_t, Interval> intervals;
};

} // namespace Currantfall::Load
