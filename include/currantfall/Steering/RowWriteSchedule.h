#pragma once

#include <cstddef>
#include <optional>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// Decides when this VM writes its own row of a table. The row is written at the start, and again
/// if the store has lost it. All VMs can notice that at once, so that they write one after another.
class RowWriteSchedule
{
public:
    /// `share` (0 to 1) is this VM's place among all VMs that write such rows.
    explicit RowWriteSchedule(double share) : share(share) { }

    /// Whether to write now. `listed`: the store has the row as wanted, according to a replica that
    /// was up to date at `confirmedAt`. `vmCount`: number of VMs that write rows.
    bool due(Common::Instant now, bool listed, Common::Instant confirmedAt, std::size_t vmCount);
    void started() { this->writing = true; }
    void finished(Common::Instant now, bool succeeded);

private:
    double share;
    bool writing = false;
    std::size_t failures = 0;
    Common::Instant latestEnd;
    /// End of the last write that succeeded.
    std::optional<Common::Instant> writtenAt;
    /// Since when the row is missing although it was listed or written before.
    std::optional<Common::Instant> missingSince;
    bool everListed = false;
};

} // namespace Currantfall::Steering
