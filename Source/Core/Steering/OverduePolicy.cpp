#include "currantfall/Steering/OverduePolicy.h"

#include <algorithm>

namespace Currantfall::Steering {

namespace {

// Multiple of the expected time after which a server is checked. Few requests to a healthy server
// take longer.
constexpr double checkFactor = 3.0;
// The same for a server that fails according to the outcomes on all VMs.
constexpr double suspectedCheckFactor = 1.0;
// Multiple of the expected time after which a request is hedged. A busy server may be five times
// slower than usual and still answers from its cache within this time.
constexpr double hedgeFactor = 6.0;
// The same for the service time with a cache miss, which varies less.
constexpr double cacheMissHedgeFactor = 2.5;

} // namespace

absl::Duration OverduePolicy::checkAfter(absl::Duration expected, bool suspected)
{
    return expected * (suspected ? suspectedCheckFactor : checkFactor);
}

absl::Duration OverduePolicy::hedgeAfter(absl::Duration expected, absl::Duration cacheMissTime,
                                         absl::Duration remaining)
{
    const absl::Duration hedgeDelay
            = std::max(expected * hedgeFactor, cacheMissTime * cacheMissHedgeFactor);
    return hedgeDelay + cacheMissTime <= remaining ? hedgeDelay : absl::InfiniteDuration();
}

} // namespace Currantfall::Steering
