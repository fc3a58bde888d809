#include "currantfall/Steering/RegionShareGuard.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Steering {

namespace {

constexpr absl::Duration intervalLength = absl::Milliseconds(250);
// The latest requests are compared with those of the time before them.
constexpr absl::Duration latestTime = absl::Seconds(2);
constexpr absl::Duration usualTime = absl::Seconds(16);
// By how much the share of some regions may exceed the usual one, besides chance.
constexpr double maxGrowth = 0.03;
// Standard deviations of the latest share that count as chance.
constexpr double chanceDeviations = 1.0;
// With fewer requests, shares say little.
constexpr double minRequests = 50.0;
constexpr absl::Duration returnTime = absl::Seconds(1);

} // namespace

RegionShareGuard::Sum RegionShareGuard::sumBetween(Common::Instant from, Common::Instant to,
                                                   const HomeRegions &homes) const
{
    Sum sum;
    for (const Interval &interval : this->intervals) {
        if (interval.start < from || interval.start >= to) {
            continue;
        }
        for (const auto &[region, count] : interval.requests) {
            sum.total += count;
            sum.inHomes += homes.contains(region) ? count : 0.0;
        }
    }
    return sum;
}

bool RegionShareGuard::admits(const HomeRegions &homes, Common::Instant now) const
{
    if (homes.allRegions()) {
        return true;
    }
    const Common::Instant boundary = now - latestTime;
    const Sum latest = this->sumBetween(boundary, Common::Instant::infinite(), homes);
    const Sum usual = this->sumBetween(boundary - usualTime, boundary, homes);
    if (latest.total < minRequests || usual.total < minRequests) {
        return true;
    }
    const double deviation = std::sqrt(usual.share() * (1.0 - usual.share()) / latest.total);
    return latest.share() <= usual.share() + maxGrowth + chanceDeviations * deviation;
}

void RegionShareGuard::record(const Common::RegionName &region, Common::Instant now)
{
    if (this->intervals.empty() || now - this->intervals.back().start >= intervalLength) {
        this->intervals.push_back({ now, {} });
        while (now - this->intervals.front().start > latestTime + usualTime) {
            this->intervals.pop_front();
        }
    }
    this->intervals.back().requests[region] += 1.0;
}

absl::Duration RegionShareGuard::retryAfter()
{
    return returnTime;
}

} // namespace Currantfall::Steering
