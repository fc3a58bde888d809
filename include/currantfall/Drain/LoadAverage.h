#pragma once

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Drain {

/// Mean of the slots in use over about the last ten seconds, weighted by time. The headroom check
/// needs it because the use of a few slots at one moment says little: at 60% load, twelve slots are
/// all in use in one sample of ten.
class LoadAverage
{
public:
    static constexpr absl::Duration window = absl::Seconds(10);

    /// `inUse` slots have been in use since the call before.
    void add(Common::Instant now, double inUse);

    /// In slots; 0 before the second call of add().
    double mean() const { return this->value; }

private:
    Common::Instant first;
    Common::Instant last;
    bool started = false;
    double value = 0.0;
};

} // namespace Currantfall::Drain
