#include "currantfall/Common/Time.h"

#include <ctime>

namespace Currantfall::Common {

Instant monotonicNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant::fromOrigin(absl::DurationFromTimespec(time));
}

} // namespace Currantfall::Common
