#include "currantfall/Steering/OverduePolicy.h"

#include <algorithm>

namespace Currantfall::Steering {

namespace {

// Multiple of the expected time that few requests of a sound server take.
constexpr double overdueFactor = 3.0;
constexpr double suspectFactor = 1.0;
// A server that is five times as slow, as a busy one may be, still answers from its cache in this
// multiple of the expected time.
constexpr double hedgeFactor = 6.0;
// The same for work without a cached object, whose times vary less.
constexpr double missedFactor = 2.5;

} // namespace

absl::Duration OverduePolicy::checkAfter(absl::Duration expected, bool suspected)
{
    return expected * (suspected ? suspectFactor : overdueFactor);
}

absl::Duration OverduePolicy::hedgeAfter(absl::Duration expected, absl::Duration missed,
                                         absl::Duration remaining)
{
    const absl::Duration after = std::max(expected * hedgeFactor, missed * missedFactor);
    return after + missed <= remaining ? after : absl::InfiniteDuration();
}

} // namespace Currantfall::Steering
