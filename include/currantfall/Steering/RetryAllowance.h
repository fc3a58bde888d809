#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// What all VMs together may send beyond the first attempt of each request, in any window.
struct RetryTerms
{
    double ratio = 0.2; ///< Of the requests of the window.
    double extra = 0.0; ///< On top of it.
    absl::Duration window = absl::Seconds(10);

    friend bool operator==(const RetryTerms &left, const RetryTerms &right) = default;
};

/// This VM's part of the retries to one service. The ratio follows the VM's own requests and the
/// constant is divided by the number of VMs, so that the sum holds while VMs can't reach each other
/// (the split connection budget of "Scaling PgBouncer Beyond the Single-Threaded Limit").
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryTerms terms) : terms(terms) { }

    void onRequest(Common::Instant now);
    /// Takes one retry; false if there is none left in the window.
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

    RetryTerms terms;
    std::deque<Interval> intervals;
};

} // namespace Currantfall::Steering
