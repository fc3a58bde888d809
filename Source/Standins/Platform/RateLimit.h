#pragma once

#include <mutex>

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
    std::mutex mutex;
    double tokens;
    Common::Instant refilled;
};

} // namespace Currantfall::Standins
