#pragma once

#include <cstddef>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Admission {

/// The slots of one backend server that may be used. A shed answer lowers it; it regrows one slot
/// per step of time.
class ConcurrencyLimit
{
public:
    struct Settings
    {
        /// How long a lowered limit stays before it grows by one.
        absl::Duration regrowStep = absl::Seconds(1);
    };

    explicit ConcurrencyLimit(std::size_t slots) : ConcurrencyLimit(slots, Settings()) { }
    ConcurrencyLimit(std::size_t slots, Settings settings);

    /// The server shed a request while `inUse` requests, including the shed one, ran on it. The
    /// limit becomes less than `inUse`, and at least 1 so that recovery is noticed.
    void shed(Common::Instant now, std::size_t inUse);
    /// Another document gave the server another number of slots.
    void setSlots(std::size_t slots);

    std::size_t limit(Common::Instant now) const;
    /// When the limit next grows; Instant::infinite() if it is not lowered.
    Common::Instant nextGrowth(Common::Instant now) const;

private:
    std::size_t slots;
    Settings settings;
    std::size_t lowered;
    Common::Instant loweredAt;
};

} // namespace Currantfall::Admission
