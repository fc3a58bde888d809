#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "currantfall/Admission/Discipline.h"
#include "currantfall/Admission/FairQueue.h"

namespace Currantfall::Admission {

/// Ranks in order, except that a rank with a floor gets at least that part of the starts while it
/// has work; fair among flows within a rank.
class RankedFair
{
public:
    explicit RankedFair(const DisciplineSettings &settings);

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
        double floor = 0.0;
        /// Starts that the rank has not got yet although its floor entitles it to them.
        double deficit = 0.0;
        FairQueue queue;
    };

    Rank *entitled();
    Rank *firstWithWork();
    Rank &rankOf(Common::RankIndex rank);

    std::vector<Rank> ranks;
};

} // namespace Currantfall::Admission
