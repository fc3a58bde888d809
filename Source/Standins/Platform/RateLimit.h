#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Standins {

/// A token bucket that holds one second's worth of operations, but at least one. Thread-safe.
class RateLimit
{
public:
    /// `perSecond` of 0 allows everything.
    explicit RateLimit(double perSecond);

    bool allow(Common::Instant now);

private:
    const double perSecond;
    const double capacity;
    absl::Mutex mutex;
    double tokens ABSL_GUARDED_BY(mutex);
    Common::Instant refilled ABSL_GUARDED_BY(mutex);
};

} // namespace Currantfall::Standins
