#include "RateLimit.h"

#include <algorithm>

namespace Currantfall::Standins {

RateLimit::RateLimit(double perSecond)
    : perSecond(perSecond), capacity(std::max(1.0, perSecond)), tokens(this->capacity)
{ }

bool RateLimit::allow(Common::Instant now)
{
    if (this->perSecond == 0.0) {
        return true;
    }
    const std::lock_guard lock(this->mutex);
    const double elapsed = absl::ToDoubleSeconds(now - this->refilled);
    this->tokens = std::min(this->capacity, this->tokens + elapsed * this->perSecond);
    this->refilled = now;
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

} // namespace Currantfall::Standins
