#include "currantfall/Common/Time.h"

#include <chrono>

namespace Currantfall::Common {

Instant monotonicNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant::fromOrigin(absl::FromChrono(sinceEpoch));
}

} // namespace Currantfall::Common
