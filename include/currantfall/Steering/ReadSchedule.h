#pragma once

#include <cstddef>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// How often one table of the platform's store is read.
struct ReadTerms
{
    /// Pause of the first reader between two reads.
    absl::Duration interval;
    /// Age of a VM's copy at which it reads the store itself, although others should have.
    absl::Duration staleAfter;
    /// Added for each VM that comes before this one in the order of readers, so that a reader that
    /// fails is replaced by one VM and not by all.
    absl::Duration stepPerRank = absl::Milliseconds(150);
    absl::Duration longestStep = absl::Milliseconds(1500);
    /// Pause after a failed read; doubles with each further one up to the longest.
    absl::Duration firstPause = absl::Milliseconds(250);
    absl::Duration longestPause = absl::Seconds(2);

    friend bool operator==(const ReadTerms &left, const ReadTerms &right) = default;
};

/// Decides when this VM reads a table. One VM reads often and tells the others; each of them reads
/// only when its own copy has become old, whatever the reason. No VM has to be elected.
class ReadSchedule
{
public:
    explicit ReadSchedule(ReadTerms terms) : terms(terms) { }

    /// `rank` is this VM's position in the order of readers among the VMs that it hears from.
    bool due(Common::Instant now, std::size_t rank, bool loaded, Common::Instant confirmedAt) const;
    void started() { this->running = true; }
    void finished(Common::Instant now, bool succeeded);

private:
    ReadTerms terms;
    bool running = false;
    std::size_t failures = 0;
    Common::Instant latestEnd = Common::Instant::fromOrigin(-absl::InfiniteDuration());
};

} // namespace Currantfall::Steering
