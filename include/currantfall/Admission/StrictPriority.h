#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "currantfall/Admission/Discipline.h"

namespace Currantfall::Admission {

/// Ranks in order, first come, first served within a rank; no floors and no fairness.
class StrictPriority
{
public:
    explicit StrictPriority(const DisciplineSettings &settings);

    void push(const QueueEntry &entry);
    std::optional<QueueEntry> pop(Common::Instant now);
    void remove(const QueueEntry &entry);
    std::vector<QueueEntry> shed(Common::Instant now);
    std::optional<QueueEntry> displace(const QueueEntry &entry, std::size_t maxQueued);
    WorkAhead workAhead(const QueuedRequest &request) const;
    std::size_t queuedOf(Common::RankIndex rank) const;

private:
    using Fifo = std::map<std::uint64_t, QueueEntry>;

    std::size_t indexOf(const QueuedRequest &request) const;

    std::vector<Fifo> ranks;
};

} // namespace Currantfall::Admission
