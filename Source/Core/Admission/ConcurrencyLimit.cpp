#include "currantfall/Admission/ConcurrencyLimit.h"

#include <algorithm>

namespace Currantfall::Admission {

ConcurrencyLimit::ConcurrencyLimit(std::size_t slots, Settings settings)
    : slots(slots), settings(settings), lowered(slots)
{ }

void ConcurrencyLimit::shed(Common::Instant now, std::size_t inUse)
{
    const std::size_t belowUse = inUse > 1 ? inUse - 1 : 1;
    this->lowered = std::min(this->limit(now), belowUse);
    this->loweredAt = now;
}

void ConcurrencyLimit::setSlots(std::size_t newSlots)
{
    const bool wasLowered = this->lowered < this->slots;
    this->slots = newSlots;
    this->lowered = wasLowered ? std::min(this->lowered, newSlots) : newSlots;
}

std::size_t ConcurrencyLimit::limit(Common::Instant now) const
{
    if (this->lowered >= this->slots) {
        return this->slots;
    }
    const double steps = absl::FDivDuration(now - this->loweredAt, this->settings.regrowStep);
    const auto regrown = static_cast<std::size_t>(std::max(0.0, steps));
    return std::min(this->slots, this->lowered + regrown);
}

Common::Instant ConcurrencyLimit::nextGrowth(Common::Instant now) const
{
    const std::size_t current = this->limit(now);
    if (current >= this->slots) {
        return Common::Instant::infinite();
    }
    const auto steps = static_cast<double>(current - this->lowered + 1);
    return this->loweredAt + this->settings.regrowStep * steps;
}

} // namespace Currantfall::Admission
