#pragma once

#include <cstddef>
#include <optional>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// Determines how often one table of the platform's store is read.
struct ReadSettings
{
    /// Interval between the reads of the first reader.
    absl::Duration interval;
    /// Age of a VM's replica at which the VM reads the store itself, because updates of the first
    /// reader are missing.
    absl::Duration staleAfter;
    /// Added to `staleAfter` for each VM between the first reader and this one in the order of
    /// readers, so that a failed reader is replaced by one VM and not by all VMs at once.
    absl::Duration delayPerRank = absl::Milliseconds(150);
    absl::Duration maxRankDelay = absl::Milliseconds(1500);
    /// Delay after a failed read. Doubles with each consecutive failure, up to `maxBackoff`.
    absl::Duration initialBackoff = absl::Milliseconds(250);
    absl::Duration maxBackoff = absl::Seconds(2);

    friend bool operator==(const ReadSettings &left, const ReadSettings &right) = default;
};

/// What a VM that has just started knows when it needs a table for the first time.
struct FirstRead
{
    /// All VMs start for the first time: no caller waits, and no VM is listed yet.
    bool firstStart = false;
    /// The table is the list of VMs, which leads to the peers that have the other tables.
    bool listsVms = false;
    /// The table has few rows, and lookups are refused without it.
    bool small = false;
    /// Number of VMs in the list, or nothing if it is not known yet.
    std::optional<std::size_t> listedVms;
    /// Place of this VM among all VMs, from 0 to 1.
    double share = 0.0;

    friend bool operator==(const FirstRead &left, const FirstRead &right) = default;
};

/// Time from its start for which a VM expects to get a table from peers instead of the store, so
/// that many VMs that start at the same time do not all read the store. The first of them read
/// early.
absl::Duration firstReadDelay(const FirstRead &first);

/// Decides when this VM reads a table. The first VM reads regularly and sends updates to the
/// others. Each other VM reads only when its replica has become stale for any reason, so no leader
/// election is needed.
class ReadSchedule
{
public:
    explicit ReadSchedule(ReadSettings settings) : settings(settings) { }

    /// `rank` is this VM's position in the order of readers among the VMs that it receives messages
    /// from.
    bool due(Common::Instant now, std::size_t rank, bool loaded, Common::Instant confirmedAt) const;
    /// Whether the latest read failed.
    bool failing() const { return this->failures > 0; }
    void started() { this->reading = true; }
    void finished(Common::Instant now, bool succeeded);

private:
    ReadSettings settings;
    bool reading = false;
    std::size_t failures = 0;
    Common::Instant latestEnd = Common::Instant::fromOrigin(-absl::InfiniteDuration());
};

} // namespace Currantfall::Steering
