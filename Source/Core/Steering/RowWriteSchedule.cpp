#include "currantfall/Steering/RowWriteSchedule.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Steering {

namespace {

// Rate at which all VMs together write lost rows again. It leaves most of the store's write rate to
// others.
constexpr double rewritesPerSecond = 50.0;
// The confirmation time of a replica is off by the delay of peer messages. A replica must be at
// least this much newer than a write to show it.
constexpr absl::Duration confirmationTolerance = absl::Milliseconds(500);
constexpr absl::Duration initialBackoff = absl::Milliseconds(250);
constexpr absl::Duration maxBackoff = absl::Seconds(4);

} // namespace

bool RowWriteSchedule::due(Common::Instant now, bool listed, Common::Instant confirmedAt,
                           std::size_t vmCount)
{
    if (listed) {
        this->everListed = true;
        this->missingSince.reset();
        return false;
    }
    if (this->writing) {
        return false;
    }
    if (this->failures > 0) {
        const double doublings = std::min<double>(static_cast<double>(this->failures) - 1.0, 10.0);
        const absl::Duration backoff = std::min(initialBackoff * std::exp2(doublings), maxBackoff);
        return now - this->latestEnd >= backoff * (1.0 + this->share);
    }
    if (this->writtenAt && confirmedAt <= *this->writtenAt + confirmationTolerance) {
        return false;
    }
    if (!this->writtenAt && !this->everListed) {
        return true;
    }
    if (!this->missingSince) {
        this->missingSince = now;
    }
    const absl::Duration spread
            = absl::Seconds(1) * (static_cast<double>(vmCount) / rewritesPerSecond);
    return now - *this->missingSince >= spread * this->share;
}

void RowWriteSchedule::finished(Common::Instant now, bool succeeded)
{
    this->writing = false;
    this->latestEnd = now;
    this->failures = succeeded ? 0 : this->failures + 1;
    if (succeeded) {
        this->writtenAt = now;
        this->missingSince.reset();
    }
}

} // namespace Currantfall::Steering
