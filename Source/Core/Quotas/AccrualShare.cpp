#include "currantfall/Quotas/AccrualShare.h"

#include <algorithm>

namespace Currantfall::Quotas {

namespace {

// At the first start of a VM. While all VMs start, their list grows for some seconds.
constexpr absl::Duration firstDelay = absl::Seconds(2);
// After the removal of another VM, which may not know it yet.
constexpr absl::Duration increaseDelay = absl::Seconds(10);

} // namespace

void AccrualShare::update(double newPlanned, bool known, Common::Instant now)
{
    if (newPlanned == this->planned) {
        return;
    }
    this->planned = newPlanned;
    this->current = std::min(this->current, newPlanned);
    const absl::Duration delay = this->started ? increaseDelay
                                 : known       ? absl::ZeroDuration()
                                               : firstDelay;
    this->increaseAt = now + delay;
    this->advance(now);
}

bool AccrualShare::advance(Common::Instant now)
{
    if (this->current >= this->planned || now < this->increaseAt) {
        return false;
    }
    this->current = this->planned;
    this->started = true;
    return true;
}

} // namespace Currantfall::Quotas
