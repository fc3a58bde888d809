#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// Limit for the retries of all VMs together in any time window: `ratio` times the requests of the
/// window, plus `extra`.
struct RetryLimits
{
    double ratio = 0.2; ///< Retries per request of the window.
    double extra = 0.0; ///< Constant number of retries per window, shared by all VMs.
    absl::Duration window = absl::Seconds(10);

    friend bool operator==(const RetryLimits &left, const RetryLimits &right) = default;
};

/// This VM's retry budget for one service. The ratio applies to the VM's own requests and the
/// constant is divided by the number of VMs, so that the limit holds in total even while VMs can't
/// reach each other (see the split connection budget in "Scaling PgBouncer Beyond the
/// Single-Threaded Limit").
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryLimits limits) : limits(limits) { }

    void onRequest(Common::Instant now);
    /// Uses one retry of the budget. Returns false if none is left in the window.
    [[nodiscard]] bool tryTake(Common::Instant now, std::size_t vmCount);

private:
    struct Interval
    {
        Common::Instant start;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Interval &current(Common::Instant now);
    std::pair<double, double> usedAndAllowed(Common::Instant now, std::size_t vmCount);

    RetryLimits limits;
    std::deque<Interval> intervals;
};

} // namespace Currantfall::Steering
