#pragma once

#include <cmath>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Quotas {

/// Events per second, as an exponentially weighted mean.
class DecayingRate
{
public:
    explicit DecayingRate(absl::Duration timeConstant) : timeConstant(timeConstant) { }

    void add(double count, Common::Instant now)
    {
        this->rate = this->perSecond(now) + count / absl::ToDoubleSeconds(this->timeConstant);
        this->updatedAt = now;
    }
    double perSecond(Common::Instant now) const
    {
        return this->rate
               * std::exp(-absl::FDivDuration(now - this->updatedAt, this->timeConstant));
    }

private:
    absl::Duration timeConstant;
    double rate = 0.0;
    Common::Instant updatedAt;
};

} // namespace Currantfall::Quotas
