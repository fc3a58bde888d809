#pragma once

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Quotas {

/// The fraction of every limit that accrues on this VM. A smaller fraction takes effect at once, a
/// larger one only when the other VMs should have learned that theirs is smaller.
class AccrualShare
{
public:
    /// Sets the fraction that follows from the registered VMs. `known`: this VM was registered
    /// before it started, so that the others count on its fraction already.
    void update(double planned, bool known, Common::Instant now);
    /// Returns whether the fraction in force has changed.
    bool advance(Common::Instant now);
    double inForce() const { return this->current; }

private:
    double current = 0.0;
    double planned = 0.0;
    Common::Instant increaseAt;
    bool started = false;
};

} // namespace Currantfall::Quotas
