#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "currantfall/Admission/Discipline.h"
#include "currantfall/Admission/FairQueue.h"

namespace Currantfall::Admission {

/// Start-time fair queueing among ranks, each with four times the weight of the next one, and among
/// the flows of a rank. No rank ever waits for another one alone.
class WeightedFair
{
public:
    explicit WeightedFair(const DisciplineSettings &settings);

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
        double weight = 1.0;
        double tag = 0.0;
        FairQueue queue;
    };

    Rank &rankOf(const QueuedRequest &request);

    std::vector<Rank> ranks;
    double virtualTime = 0.0;
};

} // namespace Currantfall::Admission
