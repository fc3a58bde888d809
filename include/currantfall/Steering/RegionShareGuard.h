#pragma once

#include <deque>
#include <map>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Steering/HomeRegions.h"

namespace Currantfall::Steering {

/// Keeps the callers' requests from changing the regions in which they run from one moment to the
/// next. Requests that only some regions may handle can't be spread: when a tenant sends many of
/// them at once, the guard admits as many as let the share of their regions grow slowly.
class RegionShareGuard
{
public:
    /// Whether a request that only `homes` may handle can be sent now.
    bool admits(const HomeRegions &homes, Common::Instant now) const;
    /// Records that a request is sent to a server of the region.
    void record(const Common::RegionName &region, Common::Instant now);
    /// When the caller of a refused request should come back: the shares have moved on by then.
    static absl::Duration retryAfter();

private:
    /// Requests by region in a short time.
    struct Interval
    {
        Common::Instant start;
        std::map<Common::RegionName, double> requests;
    };
    /// Requests in several intervals, and those of them that ran in some regions.
    struct Sum
    {
        double total = 0.0;
        double inHomes = 0.0;

        double share() const { return this->inHomes / this->total; }
    };

    Sum sumBetween(Common::Instant from, Common::Instant to, const HomeRegions &homes) const;

    std::deque<Interval> intervals;
};

} // namespace Currantfall::Steering
