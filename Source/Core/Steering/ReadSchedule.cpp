#include "currantfall/Steering/ReadSchedule.h"

#include <algorithm>
#include <cmath>

namespace Currantfall::Steering {

bool ReadSchedule::due(Common::Instant now, std::size_t rank, bool loaded,
                       Common::Instant confirmedAt) const
{
    if (this->running) {
        return false;
    }
    if (this->failures > 0) {
        const double doublings = std::min<double>(static_cast<double>(this->failures) - 1.0, 10.0);
        const absl::Duration pause
                = std::min(this->terms.firstPause * std::exp2(doublings), this->terms.longestPause);
        if (now - this->latestEnd < pause) {
            return false;
        }
    }
    if (!loaded) {
        return true;
    }
    if (rank == 0) {
        return now - this->latestEnd >= this->terms.interval;
    }
    const absl::Duration step = std::min(this->terms.stepPerRank * static_cast<double>(rank - 1),
                                         this->terms.longestStep);
    return now - confirmedAt >= this->terms.staleAfter + step;
}

void ReadSchedule::finished(Common::Instant now, bool succeeded)
{
    this->running = false;
    this->latestEnd = now;
    this->failures = succeeded ? 0 : this->failures + 1;
}

} // namespace Currantfall::Steering
