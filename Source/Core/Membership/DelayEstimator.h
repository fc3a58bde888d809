#pragma once

#include <algorithm>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Membership {

/// Estimates how much longer than usual a message of one sender was under way, from the sender's
/// and this VM's clocks, whose origins differ. Without it, messages that a frozen link delivers
/// late would make a member look fresh.
class DelayEstimator
{
public:
    /// Delay of a message beyond the shortest one of the last 10 to 20 s of arrivals. The window
    /// lets a sender recover whose clock stood still while its VM was suspended.
    absl::Duration excess(Common::Instant arrival, absl::Duration sentAt)
    {
        const absl::Duration offset = arrival.sinceOrigin() - sentAt;
        if (arrival - this->windowStart >= window) {
            // Only one step per arrival: the first message after a long gap is compared with those
            // before the gap.
            this->previousLowest = this->lowest;
            this->lowest = offset;
            this->windowStart = arrival;
        }
        this->lowest = std::min(this->lowest, offset);
        return offset - std::min(this->lowest, this->previousLowest);
    }

private:
    static constexpr absl::Duration window = absl::Seconds(10);

    Common::Instant windowStart = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    absl::Duration lowest = absl::InfiniteDuration();
    absl::Duration previousLowest = absl::InfiniteDuration();
};

} // namespace Currantfall::Membership
