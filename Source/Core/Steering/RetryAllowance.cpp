#include "currantfall/Steering/RetryAllowance.h"

#include <algorithm>

namespace Currantfall::Steering {

namespace {

// Requests and retries are counted per interval. The retries of an interval that is only partly in
// the window count in full, so that the limit also holds for windows that start between two
// intervals.
constexpr int intervalsPerWindow = 20;
// Fraction of the limit that is used. The remainder covers requests that reach the backend server
// in a later window than their retries.
constexpr double safetyFactor = 0.8;

} // namespace

RetryAllowance::Interval &RetryAllowance::current(Common::Instant now)
{
    const absl::Duration length = this->limits.window / intervalsPerWindow;
    while (!this->intervals.empty()
           && now - this->intervals.front().start > this->limits.window + length) {
        this->intervals.pop_front();
    }
    if (this->intervals.empty() || now - this->intervals.back().start >= length) {
        this->intervals.push_back({ now, 0, 0 });
    }
    return this->intervals.back();
}

void RetryAllowance::onRequest(Common::Instant now)
{
    ++this->current(now).requests;
}

std::pair<double, double> RetryAllowance::usedAndAllowed(Common::Instant now, std::size_t vmCount)
{
    this->current(now);
    double requests = 0.0;
    double retries = 0.0;
    for (const Interval &interval : this->intervals) {
        requests += interval.requests;
        retries += interval.retries;
    }
    const double vms = static_cast<double>(std::max<std::size_t>(vmCount, 1));
    return { retries, safetyFactor * (this->limits.ratio * requests + this->limits.extra / vms) };
}

bool RetryAllowance::tryTake(Common::Instant now, std::size_t vmCount)
{
    const auto [retries, allowed] = this->usedAndAllowed(now, vmCount);
    if (retries + 1.0 > allowed) {
        return false;
    }
    ++this->current(now).retries;
    return true;
}

} // namespace Currantfall::Steering
