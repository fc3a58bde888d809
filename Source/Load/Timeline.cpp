#include "Load/Timeline.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

namespace Currantfall::Load {

Timeline::Timeline(absl::Duration interval)
    : interval(interval), begin(absl::Now()), beginInstant(Common::monotonicNow())
{ }

void Timeline::add(Common::Instant scheduled, CallOutcome outcome, absl::Duration latency)
{
    if (this->interval <= absl::ZeroDuration()) {
        return;
    }
    const auto index = static_cast<std::int64_t>(
            std::floor(absl::FDivDuration(scheduled - this->beginInstant, this->interval)));
    const std::lock_guard lock(this->mutex);
    Interval &entry = this->intervals[index];
    ++entry.requests;
    if (outcome == CallOutcome::Answered) {
        ++entry.answered;
        entry.slowest = std::max(entry.slowest, latency);
    }
}

std::string Timeline::toText() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[index, entry] : this->intervals) {
        const absl::Time start = this->begin + static_cast<double>(index) * this->interval;
        text += absl::StrFormat("timeline %.3f %d %d %.1f\n",
                                absl::ToDoubleSeconds(start - absl::UnixEpoch()), entry.requests,
                                entry.answered, absl::ToDoubleMilliseconds(entry.slowest));
    }
    return text;
}

} // namespace Currantfall::Load
