#include "currantfall/Drain/LoadAverage.h"

#include <algorithm>

namespace Currantfall::Drain {

void LoadAverage::add(Common::Instant now, double inUse)
{
    if (!this->started) {
        this->started = true;
        this->first = now;
        this->last = now;
        return;
    }
    const absl::Duration elapsed = now - this->last;
    // The mean covers all of the time until the window has passed once.
    const absl::Duration covered = std::min(now - this->first, window);
    if (elapsed <= absl::ZeroDuration()) {
        return;
    }
    this->last = now;
    const double weight = std::min(1.0, absl::FDivDuration(elapsed, covered));
    this->value += (inUse - this->value) * weight;
}

} // namespace Currantfall::Drain
