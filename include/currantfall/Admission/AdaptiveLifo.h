#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "currantfall/Admission/Discipline.h"

namespace Currantfall::Admission {

/// Ranks in order; within a rank first come, first served until the queue has not been empty for
/// the overload interval. Then the newest request starts first and those that waited too long are
/// shed, as CoDel does by sojourn time.
class AdaptiveLifo
{
public:
    explicit AdaptiveLifo(const DisciplineSettings &settings);

    void push(const QueueEntry &entry);
    std::optional<QueueEntry> pop(Common::Instant now);
    void remove(const QueueEntry &entry);
    std::vector<QueueEntry> shed(Common::Instant now);
    std::optional<QueueEntry> displace(const QueueEntry &entry, std::size_t maxQueued);
    WorkAhead workAhead(const QueuedRequest &request) const;
    std::size_t queuedOf(Common::RankIndex rank) const;

private:
    struct Rank
    {
        std::map<std::uint64_t, QueueEntry> entries;
        /// When the queue was last empty; only valid with entries.
        Common::Instant lastEmpty;
        bool overloaded = false;
    };

    std::size_t indexOf(const QueuedRequest &request) const;
    void assess(Rank &rank, Common::Instant now) const;

    absl::Duration overloadInterval;
    absl::Duration overloadedWait;
    std::vector<Rank> ranks;
};

} // namespace Currantfall::Admission
