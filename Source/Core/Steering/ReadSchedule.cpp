#include "currantfall/Steering/ReadSchedule.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Steering {

namespace {

// Time in which links to peers are established and a table arrives, for each VM that may start at
// the same time as this one.
constexpr absl::Duration delayPerVm = absl::Milliseconds(10);
constexpr absl::Duration maxDelay = absl::Seconds(1);
// At the first start each VM finds those that were listed before it read the list.
constexpr absl::Duration maxFirstListDelay = absl::Seconds(1);
constexpr absl::Duration maxFirstTableDelay = absl::Seconds(2);
constexpr absl::Duration linkTime = absl::Milliseconds(500);

} // namespace

absl::Duration firstReadDelay(const FirstRead &first)
{
    if (first.listsVms) {
        return first.firstStart ? maxFirstListDelay * first.share : absl::ZeroDuration();
    }
    if (first.firstStart) {
        return maxFirstListDelay + linkTime + maxFirstTableDelay * first.share;
    }
    if (first.small) {
        return absl::ZeroDuration();
    }
    const absl::Duration range
            = first.listedVms
                      ? std::min(delayPerVm * static_cast<double>(*first.listedVms), maxDelay)
                      : maxDelay;
    return range * first.share;
}

bool ReadSchedule::due(Common::Instant now, std::size_t rank, bool loaded,
                       Common::Instant confirmedAt) const
{
    if (this->reading) {
        return false;
    }
    if (this->failures > 0) {
        const double doublings = std::min<double>(static_cast<double>(this->failures) - 1.0, 10.0);
        const absl::Duration backoff = std::min(
                this->settings.initialBackoff * std::exp2(doublings), this->settings.maxBackoff);
        if (now - this->latestEnd < backoff) {
            return false;
        }
    }
    if (!loaded) {
        return true;
    }
    if (rank == 0) {
        return now - this->latestEnd >= this->settings.interval;
    }
    const absl::Duration rankDelay
            = std::min(this->settings.delayPerRank * static_cast<double>(rank - 1),
                       this->settings.maxRankDelay);
    return now - confirmedAt >= this->settings.staleAfter + rankDelay;
}

void ReadSchedule::finished(Common::Instant now, bool succeeded)
{
    this->reading = false;
    this->latestEnd = now;
    this->failures = succeeded ? 0 : this->failures + 1;
}

} // namespace Currantfall::Steering
